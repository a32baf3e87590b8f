#include "settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace cranberryshunt {

namespace {

constexpr std::size_t kMaxSecretBytes = 4096;
constexpr int kMaxPort = 65'535;

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Editors end files with a newline that is not part of the secret.
std::string WithoutNewline(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

}  // namespace

std::string EnvironmentName(const std::string& flag) {
  std::string name =
      "CRANBERRYSHUNT_" + flag.substr(flag.find_first_not_of('-'));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr unused{};
  const auto port = ParseNumber<int>(std::string_view(text).substr(colon + 1));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &unused) == 1 &&
         port && *port > 0 && *port <= kMaxPort;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> out;
  std::size_t begin = 0;
  while (begin <= text.size() && !text.empty()) {
    const auto end = std::min(text.find(',', begin), text.size());
    out.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return out;
}

void Settings::Add(const std::string& flag,
                   const std::string& help,
                   const std::string& default_text,
                   Presence presence,
                   Convert convert) {
  auto& item =
      items_.emplace_back(Item{flag, "", presence, std::move(convert)});
  const std::string note = presence == Presence::kRequired ? " (required)"
                           : default_text.empty()
                               ? ""
                               : " (default " + default_text + ")";
  app_.add_option(flag, item.text, help + note)
      ->envname(EnvironmentName(flag))
      ->type_name("");
}

void Settings::Text(const std::string& flag,
                    const std::string& help,
                    std::string& target,
                    Presence presence) {
  Add(flag, help, target, presence,
      [&target](const std::string& text) -> std::optional<std::string> {
        target = text;
        return std::nullopt;
      });
}

void Settings::Address(const std::string& flag,
                       const std::string& help,
                       std::string& target,
                       Presence presence) {
  Add(flag, help, target, presence,
      [&target](const std::string& text) -> std::optional<std::string> {
        target = text;
        return IsAddress(text) ? std::nullopt
                               : std::optional<std::string>("an IPv4 ip:port");
      });
}

void Settings::Addresses(const std::string& flag,
                         const std::string& help,
                         std::vector<std::string>& target) {
  Add(flag, help, "", Presence::kRequired,
      [&target](const std::string& text) -> std::optional<std::string> {
        target = SplitList(text);
        return std::all_of(target.begin(), target.end(), IsAddress)
                   ? std::nullopt
                   : std::optional<std::string>(
                         "IPv4 ip:port addresses separated by commas");
      });
}

void Settings::Choice(const std::string& flag,
                      const std::string& help,
                      const std::vector<std::string>& choices,
                      std::string& target,
                      Presence presence) {
  const std::string list = fmt::format("{}", fmt::join(choices, ", "));
  Add(flag, help + ": " + list, target, presence,
      [&target, choices,
       list](const std::string& text) -> std::optional<std::string> {
        target = text;
        return std::find(choices.begin(), choices.end(), text) != choices.end()
                   ? std::nullopt
                   : std::optional<std::string>("one of " + list);
      });
}

void Settings::OptionalInteger(const std::string& flag,
                               const std::string& help,
                               std::int64_t minimum,
                               std::int64_t maximum,
                               std::optional<std::int64_t>& target) {
  Add(flag, help, target ? std::to_string(*target) : "", Presence::kOptional,
      [&target, minimum,
       maximum](const std::string& text) -> std::optional<std::string> {
        target = ParseNumber<std::int64_t>(text);
        return target && *target >= minimum && *target <= maximum
                   ? std::nullopt
                   : std::optional(fmt::format("an integer from {} to {}",
                                               minimum, maximum));
      });
}

void Settings::Integer(const std::string& flag,
                       const std::string& help,
                       std::int64_t minimum,
                       std::int64_t maximum,
                       std::int64_t& target,
                       Presence presence) {
  Add(flag, help, std::to_string(target), presence,
      [&target, minimum,
       maximum](const std::string& text) -> std::optional<std::string> {
        const auto value = ParseNumber<std::int64_t>(text);
        target = value.value_or(target);
        return value && *value >= minimum && *value <= maximum
                   ? std::nullopt
                   : std::optional(fmt::format("an integer from {} to {}",
                                               minimum, maximum));
      });
}

void Settings::Milliseconds(const std::string& flag,
                            const std::string& help,
                            std::int64_t minimum,
                            std::int64_t maximum,
                            std::chrono::milliseconds& target) {
  Add(flag, help + ", in milliseconds", std::to_string(target.count()),
      Presence::kOptional,
      [&target, minimum,
       maximum](const std::string& text) -> std::optional<std::string> {
        const auto value = ParseNumber<std::int64_t>(text);
        target = std::chrono::milliseconds(value.value_or(0));
        return value && *value >= minimum && *value <= maximum
                   ? std::nullopt
                   : std::optional(fmt::format("{} to {} milliseconds", minimum,
                                               maximum));
      });
}

void Settings::Fraction(const std::string& flag,
                        const std::string& help,
                        double& target) {
  Add(flag, help, fmt::format("{}", target), Presence::kOptional,
      [&target](const std::string& text) -> std::optional<std::string> {
        const auto value = ParseNumber<double>(text);
        target = value.value_or(0);
        return value && *value >= 0 && *value <= 1
                   ? std::nullopt
                   : std::optional<std::string>("a number from 0 to 1");
      });
}

void Settings::Switch(const std::string& flag,
                      const std::string& help,
                      bool& target) {
  app_.add_flag(flag, target, help)->envname(EnvironmentName(flag));
}

void Settings::Secret(const std::string& name,
                      const std::string& help,
                      std::size_t minimum_bytes,
                      std::string& target) {
  const std::string flag = "--" + name + "-file";
  const std::string variable = EnvironmentName(name);
  const std::string expected =
      fmt::format("give {} or {} with {} to {} bytes", flag, variable,
                  minimum_bytes, kMaxSecretBytes);
  Add(flag, fmt::format("File that holds {}; or set {}", help, variable), "",
      Presence::kOptional,
      [&target](const std::string& path) -> std::optional<std::string> {
        std::ifstream in(path, std::ios::binary);
        target.assign(std::istreambuf_iterator<char>(in), {});
        target = WithoutNewline(std::move(target));
        return in.is_open() ? std::nullopt
                            : std::optional<std::string>("a readable file");
      });
  secret_checks_.push_back([&target, variable, expected, minimum_bytes,
                            help]() -> std::optional<std::string> {
    const char* value = std::getenv(variable.c_str());
    if (target.empty() && value != nullptr) {
      target = WithoutNewline(value);
    }
    if (target.size() < minimum_bytes || target.size() > kMaxSecretBytes) {
      return help + ": " + expected;
    }
    return std::nullopt;
  });
}

void Settings::AddCheck(std::function<std::optional<std::string>()> check) {
  checks_.push_back(std::move(check));
}

std::vector<std::string> Settings::Finish() {
  std::vector<std::string> errors;
  for (auto& item : items_) {
    if (item.text.empty()) {
      if (item.presence == Presence::kRequired) {
        errors.push_back(fmt::format("{} (or {}) is required", item.flag,
                                     EnvironmentName(item.flag)));
      }
    } else if (const auto expected = item.convert(item.text)) {
      errors.push_back(fmt::format("{}: expected {}, not '{}'", item.flag,
                                   *expected, item.text));
    }
  }
  const auto run_checks = [&](const auto& checks) {
    for (const auto& check : checks) {
      if (auto message = check()) {
        errors.push_back(std::move(*message));
      }
    }
  };
  run_checks(secret_checks_);
  if (errors.empty()) {
    run_checks(checks_);
  }
  return errors;
}

}  // namespace cranberryshunt
