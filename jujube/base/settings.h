// Program settings from flags and environment variables. They are validated
// once at startup.
#ifndef JUJUBE_BASE_SETTINGS_H_
#define JUJUBE_BASE_SETTINGS_H_

#include "absl/strings/string_view.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"

namespace jujube {

// The type of a setting, which determines how its value is validated.
enum class SettingKind {
  Text,
  Integer,
  Millis,
  AddressText,
  AddressList,
  Switch
};

inline constexpr NameTable<SettingKind, 6> SettingKindNames = {{
    {SettingKind::Text, "text"},
    {SettingKind::Integer, "integer"},
    {SettingKind::Millis, "milliseconds"},
    {SettingKind::AddressText, "IP:PORT"},
    {SettingKind::AddressList, "IP:PORT,..."},
    {SettingKind::Switch, "switch"},
}};
static_assert(isComplete(SettingKindNames));

// Describes a setting with the flag --name and the environment variable
// JUJUBE_NAME.
struct SettingSpec {
  std::string Name;
  SettingKind Kind = SettingKind::Text;
  std::string Default;
  std::string Help;
  bool IsRequired = false;
  // Inclusive bounds of Integer and Millis settings.
  int64_t Min = 0;
  int64_t Max = INT64_MAX;
};

// Returns the value of an environment variable, or nullopt if it is not set.
// Tests replace it.
using EnvironmentHook =
    std::function<std::optional<std::string>(const std::string &)>;
std::optional<std::string> readEnvironment(const std::string &name);

// The validated settings of a program.
class Settings {
public:
  // Parses the command line with getopt_long. A flag overrides its environment
  // variable, which overrides the default. An error names the flag, its value
  // and a remedy. --help and --version are always accepted.
  static Result<Settings>
  parse(const std::vector<SettingSpec> &specs,
        const std::vector<std::string> &args,
        const EnvironmentHook &environment = readEnvironment);

  // Precondition of the getters: parse() was given a spec of this name and
  // kind.
  const std::string &text(const std::string &name) const;
  int64_t integer(const std::string &name) const;
  Duration duration(const std::string &name) const;
  Address address(const std::string &name) const;
  std::vector<Address> addresses(const std::string &name) const;
  bool isOn(const std::string &name) const;

  // Positional arguments.
  const std::vector<std::string> &positional() const { return Positional; }
  bool wantsHelp() const { return WantsHelp; }
  bool wantsVersion() const { return WantsVersion; }

private:
  std::map<std::string, std::string> Values;
  std::vector<std::string> Positional;
  bool WantsHelp = false;
  bool WantsVersion = false;
};

// Returns the text of --help: one line per setting with its environment
// variable and default.
std::string helpText(absl::string_view usage,
                     const std::vector<SettingSpec> &specs);

// Exit code for invalid command-line arguments.
inline constexpr int UsageExitCode = 2;

// Parses the settings; prints the output of --help and --version to stdout and
// errors to stderr. Returns the settings, or the exit code for main if the
// program must not continue.
std::variant<Settings, int>
parseCommandLine(absl::string_view usage, const std::vector<SettingSpec> &specs,
                 int argc, char **argv);

} // namespace jujube

#endif // JUJUBE_BASE_SETTINGS_H_
