// Conversion between the formats of the platform and the types of this system.
#include <criterion/criterion.h>

#include "control_codec.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/platform/settings.h"
#include "cranberryshunt/targets/json_reader.h"
#include "job_codec.h"
#include "worker_caller.h"

using namespace cranberryshunt;            // NOLINT
using namespace cranberryshunt::platform;  // NOLINT

namespace {

constexpr char kSettings[] = R"(
nodeName = "core-1"
ip = "10.1.0.16"
zone = "z1"
region = "r1"
portRange = [7720,7735]
seeds = ["10.1.0.16:8166","10.2.0.33:8166"]
bootstrap = true
dataDir = "/data"
advice = "10.200.1.9:8169"
aNewField = [1, 2]
[listen]
control = "10.1.0.16:8166"
[bounds]
gangTimeoutMs = 4000
stopMs = 350
maxHoldMs = 6000
farX = 2.5
graceS = 6
catchUpS = 5
)";

constexpr char kConfiguration[] = R"({"version":7,
"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","kind":"unsafe",
"timeoutMs":3000,"targetLatencyMs":1200,"priority":1,"service":"s",
"maxAttempts":4,"stretch":2.2,
"advice":{"decideMs":520.0,"periodMs":7.4,"validMs":1500}}],
"services":[{"name":"s","enforcesCapacity":false}],"limits":{}})";

// With accounts of two queues, one of which allows anonymous use.
constexpr char kAccounts[] = R"({"version":8,
"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","timeoutMs":3000,
"service":"s"},{"name":"r2","host":"h","pathPrefix":"/b/","timeoutMs":3000,
"service":"s","allowAnonymous":true}],"services":[{"name":"s"}],
"tenants":[{"name":"north","apiKeys":["KEY-n1","KEY-n2","KEY-n1"],"priority":2,
"weight":2.5,"cap":{"cpu":64000,"memMb":131072,"gpu":4}},
{"name":"south","apiKeys":["KEY-s1"],"weight":1,"cap":{"cpu":1000}},
{"name":"east"}]})";

constexpr char kReport[] =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
    "slots":8,"state":"draining","coldLeftMs":0,"born":77,
    "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
    "clockMs":482113,"remainingMs":900,"seq":4})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  cr_assert_neq(at, std::string::npos, "no %s", from.c_str());
  return text.replace(at, from.size(), to);
}

http::HttpAnswer MakeAnswer(int status, std::string body) {
  http::HttpAnswer answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

}  // namespace

Test(settings, reads_the_settings_of_the_platform) {
  const auto settings = ParseSettings(kSettings);
  cr_assert(settings.has_value());
  cr_expect(settings->OwnPeerAddress() == "10.1.0.16:7720");
  cr_expect(settings->PeerAddresses()[1] == "10.2.0.33:7720");
  cr_expect_eq(settings->max_worker_lease.count(), 6'000);
  cr_expect_eq(settings->gang_timeout.count(), 4'000);
  cr_expect_eq(settings->max_stop_time.count(), 350);
  cr_expect_eq(settings->far_run_factor, 2.5);
  cr_expect_eq(settings->catch_up_time.count(), 5'000);
  cr_expect(settings->bootstrap);
}

// Guards against reporting only the first of several errors.
Test(settings, reports_all_errors_at_once) {
  auto text = Replaced(kSettings, "\"core-1\"", "7");
  text = Replaced(text, "[7720,7735]", "\"7720\"");
  text = Replaced(text, "bootstrap = true", "bootstrap = 1");
  const auto settings = ParseSettings(text);
  cr_assert_not(settings.has_value());
  for (const char* it : {"nodeName", "portRange", "bootstrap"}) {
    cr_expect_neq(settings.error().message().find(it), std::string::npos, "%s",
                  it);
  }
}

// Guards against settings that name an address to which nothing can listen or
// connect.
Test(settings, refuses_addresses_and_ports_out_of_range) {
  const std::pair<std::string, std::string> cases[] = {
      {"10.2.0.33:8166", "10.2.0.33:0"},
      {"10.2.0.33:8166", "10.2.0.33:99999"},
      {"10.2.0.33:8166", "host:8166"},
      {"control = \"10.1.0.16:8166\"", "control = \"10.1.0.16:65536\""},
      {"10.200.1.9:8169", "10.200.1.9:8169 "},
      {"[7720,7735]", "[7720,\"x\"]"},
      {"[7720,7735]", "[7720,7719]"},
      {"[7720,7735]", "[7720,65536]"}};
  for (const auto& [from, to] : cases) {
    cr_expect_not(ParseSettings(Replaced(kSettings, from, to)).has_value(),
                  "%s", to.c_str());
  }
}

// Guards against the undefined conversion of durations out of range.
Test(settings, refuses_numbers_out_of_range) {
  for (const char* it : {"1e300", "inf", "nan", "-1", "\"6\""}) {
    const auto value = std::string("graceS = ") + it;
    cr_expect_not(
        ParseSettings(Replaced(kSettings, "graceS = 6", value)).has_value(),
        "%s", it);
  }
}

Test(job_codec, reads_a_job_of_two_steps) {
  const auto job = DecodeJob(
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256},
      {"count":2,"gang":true,"dependsOn":[0],"checkpointing":true,
      "antiAffinity":3,"affinity":"r1-3","newField":1}]})");
  cr_assert(job.has_value());
  cr_expect_eq(job->occurrences, 1);
  cr_expect_eq(job->steps[1].depends_on[0], 0);
  cr_expect_eq(job->steps[1].max_per_worker, 3);
  cr_expect(job->steps[1].data_rack == "r1-3");
}

// Guards against accepting a job with a part that cannot be read.
Test(job_codec, refuses_malformed_jobs_and_names_the_field) {
  const std::pair<const char*, const char*> cases[] = {
      {"{", ""},
      {"[]", ""},
      {R"({"spec":"x"})", "steps"},
      {R"({"steps":[]})", "steps"},
      {R"({"steps":[{"count":-1}]})", "steps[0].count"},
      {R"({"steps":[{"count":"4"}]})", "steps[0].count"},
      {R"({"steps":[{"dependsOn":[0]}]})", "steps[0].dependsOn"},
      {R"({"steps":[{"count":20000}],"repetitions":90000})", "steps"},
      {R"({"steps":[{"count":1e300}]})", "steps[0].count"},
      {R"({"steps":[{"cpu":99999999999999999999}]})", ""},
      {R"({"steps":[{"count":1}],"repetitions":4503599627370495})",
       "repetitions"},
      {R"({"steps":[{},{"dependsOn":[4294967296]}]})", "steps[1].dependsOn"},
      {R"({"steps":[{},{"dependsOn":[-1]}]})", "steps[1].dependsOn"},
  };
  for (const auto& [body, field] : cases) {
    const auto job = DecodeJob(body);
    cr_assert_not(job.has_value(), "%s", body);
    cr_expect(job.error().field() == field, "%s: %s", body,
              job.error().field().c_str());
  }
}

// Guards against reporting a job as refused although it may have been stored.
Test(job_codec, distinguishes_refused_from_unknown_outcome) {
  const Error error(ResultCode::kNoLeader, "no leader");
  cr_expect_eq(EncodeError(error, 0, false).status, 503);
  cr_expect_eq(EncodeError(error, 0, true).status, 504);
  const Error full(ResultCode::kQueueFull, "full");
  cr_expect_eq(EncodeError(full, 1'500, false).status, 429);
  cr_expect_eq(EncodeError(full, 1'500, false).retry_after_ms, 1'500);
  for (const auto it : {ResultCode::kQueueFull, ResultCode::kNotReady,
                        ResultCode::kNotFound, ResultCode::kImpossible,
                        ResultCode::kInvalidField, ResultCode::kTooLarge}) {
    cr_expect_eq(EncodeError(Error(it, "refused"), 0, true).status, 504, "%s",
                 std::string(ResultCodeName(it)).c_str());
  }
}

// Guards against refusals because of a key or a cap that callers repeat, since
// they take 503 for a passing fault.
Test(job_codec, distinguishes_refusals_of_accounts) {
  const std::pair<ResultCode, int> cases[] = {
      {ResultCode::kUnauthorized, 401},
      {ResultCode::kWrongAccount, 403},
      {ResultCode::kQuotaExceeded, 400}};
  for (const auto& [code, status] : cases) {
    const auto name = std::string(ResultCodeName(code));
    cr_expect_eq(EncodeError(Error(code, "no"), 0, false).status, status, "%s",
                 name.c_str());
    cr_expect_eq(EncodeError(Error(code, "no"), 0, true).status, 504, "%s",
                 name.c_str());
  }
}

Test(control_codec, reads_a_configuration) {
  const auto table = DecodeRoutingTable(kConfiguration);
  cr_assert(table.has_value());
  cr_expect_eq(table->version, 7);
  cr_expect(table->document == kConfiguration);
  cr_expect(table->queues[0].needs_advice);
  cr_expect_eq(table->queues[0].advice.ticket_valid_ms, 1'500);
}

// Guards against acknowledging an invalid configuration.
Test(control_codec, refuses_invalid_configurations) {
  const std::string good = kConfiguration;
  cr_expect_not(
      DecodeRoutingTable(good.substr(0, good.size() / 2)).has_value());
  cr_expect_not(DecodeRoutingTable(
                    Replaced(good, "\"timeoutMs\":3000", "\"timeoutMs\":0"))
                    .has_value());
  cr_expect_not(DecodeRoutingTable(
                    Replaced(good, "\"service\":\"s\"", "\"service\":\"t\""))
                    .has_value());
  cr_expect_not(
      DecodeRoutingTable(Replaced(good, "\"version\":7", "\"version\":\"7\""))
          .has_value());
  const auto begin = good.find("{\"name\":\"r1\"");
  const auto route = good.substr(begin, good.find("}}]") + 2 - begin);
  cr_expect_not(DecodeRoutingTable(Replaced(good, route, route + "," + route))
                    .has_value());
}

// Guards against acknowledging a configuration with an advice policy that
// cannot be read, and taking 0 for its values.
Test(control_codec, refuses_configurations_with_unreadable_advice) {
  for (const char* it : {"\"520\"", "null", "-1", "1e300", "{}"}) {
    const auto table =
        DecodeRoutingTable(Replaced(kConfiguration, "\"decideMs\":520.0",
                                    std::string("\"decideMs\":") + it));
    cr_assert_not(table.has_value(), "%s", it);
    cr_expect(table.error().field() == "routes[0].advice.decideMs", "%s",
              table.error().field().c_str());
  }
}

Test(control_codec, reads_accounts) {
  const auto table = DecodeRoutingTable(kAccounts);
  cr_assert(table.has_value());
  cr_expect(table->checks_keys);
  cr_expect_not(table->queues[0].allows_anonymous);
  cr_expect(table->queues[1].allows_anonymous);
  cr_assert_eq(table->accounts.size(), 3);
  const auto& north = table->accounts[0];
  cr_expect(north.name == "north");
  // The same key twice in one account is one key.
  cr_assert_eq(north.key_digests.size(), 2);
  cr_expect(north.key_digests[0] == Sha256Hex("KEY-n1"));
  cr_expect(north.key_digests[1] == Sha256Hex("KEY-n2"));
  cr_expect_eq(north.priority, 2);
  cr_expect_eq(north.weight, 2.5);
  cr_expect_eq(north.limit.milli_cpus, 64'000);
  cr_expect_eq(north.limit.memory_mb, 131'072);
  cr_expect_eq(north.limit.accelerators, 4);
  const auto& south = table->accounts[1].limit;
  cr_expect_eq(south.milli_cpus, 1'000);
  cr_expect_eq(south.memory_mb, 0, "no limit");
  const auto& east = table->accounts[2];
  cr_expect(east.key_digests.empty());
  cr_expect_eq(east.weight, 1);
  cr_expect_eq(east.limit.milli_cpus, 0, "no limit");
}

// Guards against asking callers for keys in a cell that has no accounts, and
// against serving callers without keys in one that has removed its last one.
Test(control_codec, checks_keys_if_the_configuration_has_the_field) {
  const auto without = DecodeRoutingTable(kConfiguration);
  cr_assert(without.has_value());
  cr_expect_not(without->checks_keys);
  cr_expect_not(without->queues[0].allows_anonymous);
  const auto empty = DecodeRoutingTable(
      Replaced(kConfiguration, "\"limits\":{}", "\"tenants\":[]"));
  cr_assert(empty.has_value());
  cr_expect(empty->checks_keys);
  cr_expect(empty->accounts.empty());
}

// Guards against acknowledging accounts that cannot be read or told apart, and
// against errors, which are logged, that contain a key.
Test(control_codec, refuses_invalid_accounts_without_naming_keys) {
  struct Case {
    const char* from;
    const char* to;
    const char* field;
  };
  const Case cases[] = {
      {"\"KEY-s1\"", "\"KEY-n2\"", "tenants[1].apiKeys"},
      {"\"south\"", "\"north\"", "tenants[1].name"},
      {"\"south\"", "\"\"", "tenants[1].name"},
      {"\"south\"", "7", "tenants[1].name"},
      {"\"name\":\"south\",", "", "tenants[1].name"},
      {"[\"KEY-s1\"]", "\"KEY-s1\"", "tenants[1].apiKeys"},
      {"[\"KEY-s1\"]", "null", "tenants[1].apiKeys"},
      {"[\"KEY-s1\"]", "[\"KEY-s1\",\"\"]", "tenants[1].apiKeys"},
      {"[\"KEY-s1\"]", "[\"KEY-s1\",5]", "tenants[1].apiKeys"},
      {"\"priority\":2", "\"priority\":\"2\"", "tenants[0].priority"},
      {"\"priority\":2", "\"priority\":2.5", "tenants[0].priority"},
      {"\"weight\":2.5", "\"weight\":-0.5", "tenants[0].weight"},
      {"\"weight\":2.5", "\"weight\":\"2\"", "tenants[0].weight"},
      {"\"weight\":2.5", "\"weight\":null", "tenants[0].weight"},
      {"{\"cpu\":1000}", "5", "tenants[1].cap"},
      {"{\"cpu\":1000}", "[]", "tenants[1].cap"},
      {"\"cpu\":64000", "\"cpu\":-1", "tenants[0].cap.cpu"},
      {"\"cpu\":64000", "\"cpu\":0.5", "tenants[0].cap.cpu"},
      {"\"memMb\":131072", "\"memMb\":-1", "tenants[0].cap.memMb"},
      {"\"memMb\":131072", "\"memMb\":true", "tenants[0].cap.memMb"},
      {"\"gpu\":4", "\"gpu\":-1", "tenants[0].cap.gpu"},
      {"\"gpu\":4", "\"gpu\":\"4\"", "tenants[0].cap.gpu"},
      {"{\"name\":\"east\"}", "\"east\"", "tenants[2]"},
      {"\"allowAnonymous\":true", "\"allowAnonymous\":1",
       "routes[1].allowAnonymous"},
      // Not valid JSON.
      {"\"KEY-n1\",", "\"KEY-n1\" ", ""},
      {"\"KEY-s1\"", "\"KEY-s1", ""},
      {"\"KEY-s1\"", "KEY-s1", ""},
      {"\"KEY-s1\"]", "\"KEY-s1\"],\"apiKeys\":[\"KEY-s1\"]", ""}};
  for (const auto& it : cases) {
    const auto table = DecodeRoutingTable(Replaced(kAccounts, it.from, it.to));
    cr_assert_not(table.has_value(), "%s", it.to);
    const auto& error = table.error();
    cr_expect(error.field() == it.field, "%s: %s", it.to,
              error.field().c_str());
    cr_expect_eq(error.message().find("KEY"), std::string::npos, "%s: %s",
                 it.to, error.message().c_str());
    cr_expect_eq(EncodeError(error, 0, false).status, 400, "%s", it.to);
  }
  const auto list = DecodeRoutingTable(Replaced(
      kConfiguration, "\"limits\":{}", "\"tenants\":{\"name\":\"n\"}"));
  cr_assert_not(list.has_value());
  cr_expect(list.error().field() == "tenants");
}

// Guards against accounts without number, which every controller would keep.
Test(control_codec, bounds_accounts_and_their_keys) {
  const auto with_accounts = [](int n) {
    std::string accounts;
    for (int i = 0; i < n; ++i) {
      accounts += (i > 0 ? "," : "") + std::string("{\"name\":\"n") +
                  std::to_string(i) + "\"}";
    }
    return DecodeRoutingTable(Replaced(kConfiguration, "\"limits\":{}",
                                       "\"tenants\":[" + accounts + "]"));
  };
  cr_expect(with_accounts(10'000).has_value());
  const auto accounts = with_accounts(10'001);
  cr_assert_not(accounts.has_value());
  cr_expect(accounts.error().field() == "tenants");
  const auto with_keys = [](int n) {
    std::string keys;
    for (int i = 0; i < n; ++i) {
      keys += (i > 0 ? ",\"k" : "\"k") + std::to_string(i) + "\"";
    }
    return DecodeRoutingTable(Replaced(kAccounts, "\"KEY-s1\"", keys));
  };
  cr_expect(with_keys(100).has_value());
  const auto keys = with_keys(101);
  cr_assert_not(keys.has_value());
  cr_expect(keys.error().field() == "tenants[1].apiKeys");
}

Test(control_codec, reads_a_worker_report) {
  const std::string body = kReport;
  const auto report = DecodeReport("i-1", body);
  cr_assert(report.has_value());
  cr_expect(report->worker.leaving);
  cr_expect(report->worker.rack == "r1-3");
  cr_expect_eq(report->worker.born_ms, 77);
  cr_expect_not(DecodeReport("i-1", Replaced(body, "draining", "asleep")));
  cr_expect_not(DecodeReport("i-1", Replaced(body, "\"seq\":4", "\"seq\":{}")));
}

// Guards against taking a report of another writer for that of a worker: a
// missing field was read as 0 or as unknown, or was not read at all.
Test(control_codec, refuses_reports_with_fields_missing_or_of_another_type) {
  const std::pair<std::string, std::string> fields[] = {
      {"service", R"("service":"s",)"},
      {"address", R"("address":"10.0.0.9:80",)"},
      {"zone", R"("zone":"z",)"},
      {"version", R"("version":"v1",)"},
      {"slots", R"("slots":8,)"},
      {"state", R"("state":"draining",)"},
      {"coldLeftMs", R"("coldLeftMs":0,)"},
      {"capacity.cpu", R"("cpu":16000,)"},
      {"capacity.memMb", R"("memMb":32768,)"},
      {"capacity.gpu", R"(,"gpu":0)"},
      {"labels", R"("labels":["a","r1-3"],)"},
      {"clockMs", R"("clockMs":482113,)"},
      {"seq", R"(,"seq":4)"}};
  for (const auto& [name, text] : fields) {
    const auto missing = DecodeReport("i-1", Replaced(kReport, text, ""));
    cr_assert_not(missing.has_value(), "%s", name.c_str());
    cr_expect(missing.error().field() == name, "%s", name.c_str());
    const auto value = text.find(':');
    auto odd = text;
    odd.replace(value + 1, text.find_last_not_of(',') - value, "true");
    const auto other_type = DecodeReport("i-1", Replaced(kReport, text, odd));
    cr_assert_not(other_type.has_value(), "%s", odd.c_str());
    cr_expect(other_type.error().field() == name, "%s", odd.c_str());
  }
  // Only a worker that may start again under its id needs a time of birth.
  cr_expect(DecodeReport("i-1", Replaced(kReport, R"("born":77,)", "")));
}

// Guards against registering a worker that no call can reach.
Test(control_codec, refuses_reports_without_a_usable_address) {
  for (const char* it :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9",
        "10.0.0.9:", "host:80", " 10.0.0.9:80", "10.0.0.9:80/x",
        "u@10.0.0.9:80", "[::1]:80", "10.0.0.9:080", "10.0.0.9:+80",
        "10.0.0.9:80\\r\\nX: y", "10.0.0.9:80\\u0000"}) {
    const auto report =
        DecodeReport("i-1", Replaced(kReport, "10.0.0.9:80", it));
    cr_assert_not(report.has_value(), "%s", it);
    cr_expect(report.error().field() == "address", "%s", it);
    cr_expect_eq(EncodeError(report.error(), 0, false).status, 400, "%s", it);
  }
}

// Guards against a start in the far future, which makes all later reports of
// that id outdated, and against capacities of which the sum overflows.
Test(control_codec, refuses_reports_with_impossible_amounts) {
  const std::pair<std::string, std::string> cases[] = {
      {"\"born\":77", "\"born\":4503599627370495"},
      {"\"cpu\":16000", "\"cpu\":4503599627370495"},
      {"\"memMb\":32768", "\"memMb\":4503599627370495"},
      {"\"gpu\":0", "\"gpu\":4503599627370495"},
      {"\"cpu\":16000", "\"cpu\":-1"}};
  for (const auto& [from, to] : cases) {
    cr_expect_not(DecodeReport("i-1", Replaced(kReport, from, to)).has_value(),
                  "%s", to.c_str());
  }
  const auto now = Replaced(kReport, "\"born\":77", "\"born\":1796428800000");
  cr_expect(DecodeReport("i-1", now).has_value());
}

// Guards against taking a label for another one that it begins with.
Test(control_codec, reads_the_whole_of_a_label) {
  const auto report =
      DecodeReport("i-1", Replaced(kReport, "\"r1-3\"", "\"r1-3\\u0000x\""));
  cr_assert(report.has_value());
  cr_expect(report->worker.rack != "r1-3");
}

// Guards against ids that add header lines to calls of the worker or break up
// lines of the log.
Test(control_codec, refuses_ids_that_are_not_short_visible_text) {
  for (const auto& it :
       {std::string(), std::string("i 1"), std::string("i\r\nX-A: b"),
        std::string("i\t"), std::string("i\x7f"), std::string("i\xff"),
        std::string("i\0", 2), std::string(4'000, 'i')}) {
    const auto report = DecodeReport(it, kReport);
    cr_assert_not(report.has_value(), "%s", it.c_str());
    cr_expect(report.error().field() == "id", "%s", it.c_str());
    cr_expect_not(DecodeDeparture(it, "{}").has_value(), "%s", it.c_str());
  }
  cr_expect(DecodeReport("i-7f3a91c2", kReport).has_value());
}

// Guards against removing whichever incarnation is registered because of a
// notice that cannot be read.
Test(control_codec, refuses_unreadable_departures) {
  cr_expect_eq(DecodeDeparture("i-1", R"({"born":77})").value_or(-1), 77);
  cr_expect_eq(DecodeDeparture("i-1", "{}").value_or(-1), 0);
  cr_expect_eq(DecodeDeparture("i-1", "").value_or(-1), 0);
  for (const char* it :
       {"{", "[]", R"({"born":"77"})", R"({"born":-1})", R"({"born":1e300})",
        R"({"born":99999999999999999999})", R"({"born":null})"}) {
    cr_expect_not(DecodeDeparture("i-1", it).has_value(), "%s", it);
  }
}

// Guards against treating a reply as a success that is incomplete or has an
// error status, and against treating an order as not sent that may have been
// executed.
Test(worker_codec, reads_replies_of_workers) {
  cell::HoldOrder hold;
  const auto hold_reply =
      DecodeWorkerReply(hold, MakeAnswer(200,
                                         R"({"clockMs":9,"born":5,
             "running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,300]],
             "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"?",1]]})"));
  cr_expect_eq(hold_reply.answer, cell::WorkerAnswer::kDone);
  cr_expect_eq(hold_reply.running[0].usage, 300);
  cr_expect_eq(hold_reply.ended[0].number, 58);
  cr_expect_eq(hold_reply.unreadable_rows, 1);
  cr_expect_eq(
      DecodeWorkerReply(hold, MakeAnswer(200, "{\"clockMs\":9")).answer,
      cell::WorkerAnswer::kNoAnswer);
  cell::StartOrder start;
  const std::pair<const char*, cell::WorkerAnswer> reasons[] = {
      {"fence", cell::WorkerAnswer::kFenced},
      {"old", cell::WorkerAnswer::kStaleRun},
      {"late", cell::WorkerAnswer::kTooLate},
      {"room", cell::WorkerAnswer::kNoCapacity},
      {"ticket", cell::WorkerAnswer::kTicketRefused}};
  for (const auto& [reason, expected] : reasons) {
    const auto reply = DecodeWorkerReply(
        start, MakeAnswer(409, std::string(R"({"clockMs":1,"reason":")") +
                                   reason + "\"}"));
    cr_expect_eq(reply.answer, expected, "%s", reason);
  }
  http::HttpAnswer unsent;
  unsent.sent = false;
  cr_expect_eq(DecodeWorkerReply(start, unsent).answer,
               cell::WorkerAnswer::kNotSent);
  unsent.refused = true;
  cr_expect_eq(DecodeWorkerReply(start, unsent).answer,
               cell::WorkerAnswer::kNoListener);
  cr_expect_eq(DecodeWorkerReply(start, http::HttpAnswer()).answer,
               cell::WorkerAnswer::kNoAnswer);
  cr_expect_eq(DecodeWorkerReply(start, MakeAnswer(500, "")).answer,
               cell::WorkerAnswer::kNoAnswer);
}

// Guards against a start that the HTTP client sends to a worker a second time:
// a refusal of the second copy doesn't show that the first one was not carried
// out.
Test(worker_codec, lets_the_client_repeat_all_orders_but_starts) {
  const auto is_idempotent = [](const cell::WorkerOrder& order) {
    cell::SentOrder sent;
    sent.order = order;
    return EncodeOrder(sent).idempotent;
  };
  cr_expect_not(is_idempotent(cell::StartOrder()));
  cr_expect(is_idempotent(cell::HoldOrder()));
  cr_expect(is_idempotent(cell::StopOrder()));
}

// Guards against losing all rows of a reply, and then the worker's lease,
// because of one row that jansson refuses.
Test(worker_codec, reads_the_rows_beside_one_that_is_not_valid) {
  const std::string nested = std::string(3'000, '[') + std::string(3'000, ']');
  const std::string rows[] = {
      "[\"5c0e7a21d94b36f8.0.1.18\",99999999999999999999,\"\",1]",
      "[\"5c0e7a21d94b36f8.0.1.18\",1e999,\"\",1]",
      "[\"5c0e7a21d94b36f8.0.1.18\",1,\"\xff\",1]", "{\"task\":1,\"task\":2}",
      nested};
  for (const auto& it : rows) {
    std::string body = R"({"clockMs":9,"running":[)";
    body.append(it).append(
        R"(,["5c0e7a21d94b36f8.0.1.17",2,"c",41,300]],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)");
    body.append(it).append("]}");
    const auto reply =
        DecodeWorkerReply(cell::HoldOrder(), MakeAnswer(200, body));
    cr_expect_eq(reply.answer, cell::WorkerAnswer::kDone, "%.60s", it.c_str());
    cr_expect_eq(reply.clock_ms, 9);
    cr_assert_eq(reply.running.size(), 1, "%.60s", it.c_str());
    cr_expect_eq(reply.running[0].run, 2);
    cr_assert_eq(reply.ended.size(), 1);
    cr_expect_eq(reply.ended[0].number, 58);
    cr_expect_eq(reply.unreadable_rows, 2);
  }
}

// Guards against a clock of 0 in place of one that cannot be read: leases that
// are computed from it have already expired.
Test(worker_codec, takes_an_unreadable_clock_as_unknown) {
  for (const char* it : {"\"9\"", "null", "-4", "1e999"}) {
    const auto reply = DecodeWorkerReply(
        cell::HoldOrder(),
        MakeAnswer(200, std::string(R"({"running":[],"ended":[],"clockMs":)") +
                            it + "}"));
    cr_expect_eq(reply.answer, cell::WorkerAnswer::kDone, "%s", it);
    cr_expect_eq(reply.clock_ms, -1, "%s", it);
  }
}

// Guards against the undefined conversion of numbers out of range, and against
// taking a row for another run than the one that it names.
Test(worker_codec, counts_rows_with_unusable_values_as_unreadable) {
  const std::string task = "\"5c0e7a21d94b36f8.0.1.17\"";
  const std::string running[] = {
      "[" + task + ",1e300,\"\",1,1]",
      "[" + task + ",4294967298,\"\",1,1]",
      "[" + task + ",0,\"\",1,1]",
      "[" + task + ",-2,\"\",1,1]",
      "[" + task + ",1.5,\"\",1,1]",
      "[" + task + ",\"1\",\"\",1,1]",
      "[" + task + "]",
      "[" + task + ",2,\"\",1e300,1]",
      "[" + task + ",2,\"\",1,-1e300]",
      "[" + task + ",2,\"\",\"1\",1]",
      "[\"5c0e7a21d94b36f8.0.1.17\\u0000\",2,\"\",1,1]",
      "[\"5c0e7a21d94b36f8.0.1.4294967313\",2,\"\",1,1]"};
  for (const auto& it : running) {
    const auto reply = DecodeWorkerReply(
        cell::HoldOrder(),
        MakeAnswer(200, "{\"ended\":[],\"running\":[" + it + "]}"));
    cr_expect_eq(reply.unreadable_rows, 1, "%s", it.c_str());
    cr_expect(reply.running.empty(), "%s", it.c_str());
  }
  const std::string ended[] = {
      "[1e300," + task + ",2,\"done\",\"\"]",
      "[9007199254740993," + task + ",2,\"done\",\"\"]",
      "[0," + task + ",2,\"done\",\"\"]",
      "[58," + task + ",4294967298,\"done\",\"\"]",
      "[58," + task + ",2,\"done\\u0000\",\"\"]"};
  for (const auto& it : ended) {
    const auto reply = DecodeWorkerReply(
        cell::HoldOrder(),
        MakeAnswer(200, "{\"running\":[],\"ended\":[" + it + "]}"));
    cr_expect_eq(reply.unreadable_rows, 1, "%s", it.c_str());
    cr_expect(reply.ended.empty(), "%s", it.c_str());
  }
  const auto fraction = DecodeWorkerReply(
      cell::HoldOrder(), MakeAnswer(200, "{\"ended\":[],\"running\":[[" + task +
                                             ",2,\"\",41.5,300.5]]}"));
  cr_assert_eq(fraction.running.size(), 1);
  cr_expect_eq(fraction.running[0].percent, 41);
  cr_expect_eq(fraction.running[0].usage, 300);
}

// Guards against names with a NUL character, at which logs and ids would cut
// them off.
Test(json_reader, refuses_nul_in_names) {
  const auto object = targets::ParseObject("{\"team\":\"a\\u0000b\"}");
  cr_assert(object.has_value());
  targets::JsonReader reader(object->get());
  (void)reader.RequiredString("team", 100);
  const auto read = reader.Finish();
  cr_assert_not(read.has_value());
  cr_expect(read.error().field() == "team");
}
