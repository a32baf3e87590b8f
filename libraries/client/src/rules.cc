// The subcommands `rules check`, `rules publish` and `rules show`.
#include "cranberryshunt/rules/rules.h"

#include <fmt/format.h>

#include <cstdio>
#include <thread>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/client/client.h"
#include "http.h"
#include "output.h"

namespace cranberryshunt::client {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr std::chrono::milliseconds kPublishRetryPause{100};

// Reads and checks the rules files of `directories`. If there are errors,
// prints all of them and fails with the exit code.
tl::expected<std::vector<rules::SourceFile>, int> ReadAndCheck(
    const std::vector<std::string>& directories,
    bool as_json) {
  auto files = rules::ReadRuleFiles(directories);
  if (!files) {
    return tl::unexpected(PrintError(files.error(), as_json));
  }
  const auto parsed = rules::Parse(*files);
  if (parsed) {
    return std::move(*files);
  }
  const Json errors(json_array());
  for (const auto& error : parsed.error()) {
    if (as_json) {
      json_array_append_new(
          errors.get(),
          json_pack("{s:s, s:i, s:s}", "path", error.source.path.c_str(),
                    "line", error.source.line, "message",
                    error.message.c_str()));
    } else {
      fmt::print(stderr, "{}\n", rules::FormatError(error));
    }
  }
  if (as_json) {
    const Json body(json_pack("{s:O}", "errors", errors.get()));
    Print(body.get(), true);
  } else {
    fmt::print(stderr, "cranberryshunt: the rules have {} error{}\n",
               parsed.error().size(), parsed.error().size() == 1 ? "" : "s");
  }
  return tl::unexpected(static_cast<int>(kExitConflict));
}

// Returns the current revision of the cell. If the call fails, prints the error
// and sets `exit_code`.
Result<std::int64_t> FetchRevision(EntryCaller& caller, int& exit_code) {
  const auto reply = caller.Call("GET", "/v1/rules", nullptr);
  if (!reply) {
    exit_code = PrintError(reply.error(), caller.json());
    return tl::unexpected(reply.error());
  }
  if (reply->status != kHttpOk) {
    exit_code = PrintErrorReply(*reply, caller.json());
    return Fail(ResultCode::kUnavailable, "the revision could not be read");
  }
  return IntegerOf(reply->body.get(), "revision");
}

Json EncodePublication(const PublishOptions& publish,
                       std::int64_t base_revision,
                       const std::vector<rules::SourceFile>& files) {
  Json body(json_object());
  SetText(body.get(), "publication_id", RandomId("publication-"));
  SetInteger(body.get(), "base_revision", base_revision);
  SetText(body.get(), "version",
          publish.version.empty() ? std::to_string(base_revision + 1)
                                  : publish.version);
  SetText(body.get(), "operator", publish.operator_name);
  json_t* list = json_array();
  for (const auto& file : files) {
    json_array_append_new(
        list, json_pack("{s:s, s:s%}", "path", file.path.c_str(), "content",
                        file.content.data(), file.content.size()));
  }
  json_object_set_new(body.get(), "files", list);
  return body;
}

bool IsNotInForceYet(const HttpReply& reply) {
  const json_t* error = json_object_get(reply.body.get(), "error");
  return IntegerOf(error, "code") ==
         static_cast<int>(ResultCode::kNotInForceYet);
}

bool IsPublished(const HttpReply& reply) {
  return reply.status == kHttpOk || reply.status == kHttpAccepted;
}

}  // namespace

int CheckRules(const std::vector<std::string>& directories, bool json) {
  const auto files = ReadAndCheck(directories, json);
  if (!files) {
    return files.error();
  }
  const auto parsed = rules::Parse(*files);
  const Json body(json_pack("{s:I, s:I, s:I, s:I}", "files",
                            json_int_t(files->size()), "placement_rules",
                            json_int_t(parsed->placement.size()), "alerts",
                            json_int_t(parsed->alerts.size()), "quotas",
                            json_int_t(parsed->quotas.size())));
  Print(body.get(), json);
  return kExitDone;
}

int PublishRules(const ClientOptions& options, const PublishOptions& publish) {
  const auto files = ReadAndCheck(publish.directories, options.json);
  if (!files) {
    return files.error();
  }
  EntryCaller caller(options);
  int exit_code = kExitFailed;
  const auto base = publish.base_revision
                        ? Result<std::int64_t>(*publish.base_revision)
                        : FetchRevision(caller, exit_code);
  if (!base) {
    return exit_code;
  }
  // The same publication is sent until it is in force. It is published only
  // once, even when a reply is lost, because its id stays the same.
  const Json body = EncodePublication(publish, *base, *files);
  while (true) {
    const auto reply = caller.Call("POST", "/v1/rules/publish", body.get());
    if (!reply) {
      return PrintError(reply.error(), caller.json());
    }
    const bool not_in_force_yet = IsNotInForceYet(*reply);
    if (!not_in_force_yet && !IsPublished(*reply)) {
      return PrintErrorReply(*reply, caller.json());
    }
    const bool in_force =
        json_is_true(json_object_get(reply->body.get(), "in_force"));
    if (in_force || caller.time_left() <= kPublishRetryPause) {
      Print(reply->body.get(), caller.json());
      return in_force ? kExitDone : kExitPending;
    }
    std::this_thread::sleep_for(kPublishRetryPause);
  }
}

int ShowRules(const ClientOptions& options) {
  EntryCaller caller(options);
  const auto reply = caller.Call("GET", "/v1/rules", nullptr);
  if (!reply) {
    return PrintError(reply.error(), options.json);
  }
  if (reply->status != kHttpOk) {
    return PrintErrorReply(*reply, options.json);
  }
  if (options.json) {
    Print(reply->body.get(), true);
    return kExitDone;
  }
  // The contents of files are printed unchanged; a table would cut them.
  const Json summary(json_copy(reply->body.get()));
  json_object_del(summary.get(), "files");
  Print(summary.get(), false);
  std::size_t index = 0;
  const json_t* file = nullptr;
  json_array_foreach(json_object_get(reply->body.get(), "files"), index, file) {
    fmt::print("\n# {}\n{}", TextOf(file, "path"), TextOf(file, "content"));
  }
  return kExitDone;
}

}  // namespace cranberryshunt::client
