// Settings from flags and environment variables, checked together.
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

// How a setting must be given.
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
  // "ip:port", IPv4.
  void Address(const std::string& flag,
               const std::string& help,
               std::string& target,
               Presence presence);
  // "ip:port,ip:port".
  void Addresses(const std::string& flag,
                 const std::string& help,
                 std::vector<std::string>& target);
  void Words(const std::string& flag,
             const std::string& help,
             const std::vector<std::string>& words,
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
  void Fraction(const std::string& flag,
                const std::string& help,
                double& target);
  void Switch(const std::string& flag, const std::string& help, bool& target);
  // A secret named `name`: read from the file given by `--NAME-file`, or from
  // the environment variable CRANBERRYSHUNT_NAME. It has no flag for the value
  // itself, because flags show in process lists.
  void Secret(const std::string& name,
              const std::string& help,
              std::size_t minimum_bytes,
              std::string& target);

  // A check over several settings; returns a message when it fails. Runs only
  // when every single setting is right.
  void Check(std::function<std::optional<std::string>()> check);

  // Stores the values in their targets and returns every mistake.
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

  // `convert` stores the text in the target or says what is expected.
  void Add(const std::string& flag,
           const std::string& help,
           const std::string& default_text,
           Presence presence,
           Convert convert);

  CLI::App& app_;
  std::list<Item> items_;  // Addresses of the texts are held by CLI11.
  std::vector<std::function<std::optional<std::string>()>> secrets_;
  std::vector<std::function<std::optional<std::string>()>> checks_;
};

// Name of the environment variable of a flag or secret.
std::string EnvironmentName(const std::string& flag);

bool IsAddress(const std::string& text);
std::vector<std::string> SplitList(const std::string& text);

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_SERVICES_SETTINGS_H_
