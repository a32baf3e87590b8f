// Settings from flags and environment variables, which are checked together.
#ifndef CRANBERRYSHUNT_SERVICES_SETTINGS_H_
#define CRANBERRYSHUNT_SERVICES_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace CLI {
class App;
}

namespace cranberryshunt {

// Whether a setting must be given.
enum class Presence { kRequired, kOptional };

// Declares the settings of one subcommand. A setting `--some-name` may also be
// given as CRANBERRYSHUNT_SOME_NAME; the flag wins. The current value of each
// target is its default.
class Settings {
 public:
  explicit Settings(CLI::App& app) : app_(app) {}

  void Text(const std::string& flag,
            const std::string& help,
            std::string& target,
            Presence presence);
  // One IPv4 "ip:port".
  void Address(const std::string& flag,
               const std::string& help,
               std::string& target,
               Presence presence);
  // IPv4 addresses "ip:port,ip:port"; required.
  void Addresses(const std::string& flag,
                 const std::string& help,
                 std::vector<std::string>& target);
  // One of `choices`.
  void Choice(const std::string& flag,
              const std::string& help,
              const std::vector<std::string>& choices,
              std::string& target,
              Presence presence);
  void Integer(const std::string& flag,
               const std::string& help,
               std::int64_t minimum,
               std::int64_t maximum,
               std::int64_t& target,
               Presence presence = Presence::kOptional);
  void OptionalInteger(const std::string& flag,
                       const std::string& help,
                       std::int64_t minimum,
                       std::int64_t maximum,
                       std::optional<std::int64_t>& target);
  void Milliseconds(const std::string& flag,
                    const std::string& help,
                    std::int64_t minimum,
                    std::int64_t maximum,
                    std::chrono::milliseconds& target);
  // A number from 0 to 1.
  void Fraction(const std::string& flag,
                const std::string& help,
                double& target);
  // A flag without a value.
  void Switch(const std::string& flag, const std::string& help, bool& target);
  // A secret named `name`: read from the file given by `--NAME-file`, or from
  // the environment variable CRANBERRYSHUNT_NAME. It has no flag for the value
  // itself, because flags show in process lists.
  void Secret(const std::string& name,
              const std::string& help,
              std::size_t minimum_bytes,
              std::string& target);

  // Adds a check of several settings together, which returns a message if it
  // fails. It runs only if each setting is valid on its own.
  void AddCheck(std::function<std::optional<std::string>()> check);

  // Stores the values in their targets, runs the checks and returns a message
  // for each error.
  std::vector<std::string> Finish();

 private:
  using Convert =
      std::function<std::optional<std::string>(const std::string& text)>;

  struct Item {
    std::string flag;
    std::string text;
    Presence presence = Presence::kOptional;
    Convert convert;
  };

  // `convert` stores the text in the target. If the text is invalid, it returns
  // a description of the expected format.
  void Add(const std::string& flag,
           const std::string& help,
           const std::string& default_text,
           Presence presence,
           Convert convert);

  CLI::App& app_;
  // A list, because CLI11 holds references to the `text` members.
  std::list<Item> items_;
  std::vector<std::function<std::optional<std::string>()>> secret_checks_;
  std::vector<std::function<std::optional<std::string>()>> checks_;
};

// Name of the environment variable of a flag or secret.
std::string EnvironmentName(const std::string& flag);

// Returns whether `text` is an IPv4 "ip:port".
bool IsAddress(const std::string& text);
// Splits `text` at its commas; an empty text has no parts.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_SERVICES_SETTINGS_H_
