// Settings from flags and environment variables, checked before a program
// starts anything.
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

// How the text of a setting is checked.
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

// One setting: flag --name and environment variable JUJUBE_NAME.
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

// Reads an environment variable; tests hand in their own.
using EnvironmentHook =
    std::function<std::optional<std::string>(const std::string &)>;
std::optional<std::string> readEnvironment(const std::string &name);

// Checked settings of one program.
class Settings {
public:
  // Parses the command line with getopt_long. A flag goes before its
  // environment variable, and that before the default. An error names the flag,
  // the value and the remedy. --help and --version are always accepted.
  static Result<Settings>
  parse(const std::vector<SettingSpec> &specs,
        const std::vector<std::string> &args,
        const EnvironmentHook &environment = readEnvironment);

  // Precondition for the getters: a spec of that name and kind was given.
  const std::string &text(const std::string &name) const;
  int64_t integer(const std::string &name) const;
  Duration duration(const std::string &name) const;
  Address address(const std::string &name) const;
  std::vector<Address> addresses(const std::string &name) const;
  bool isOn(const std::string &name) const;

  // Arguments that are not flags.
  const std::vector<std::string> &positional() const { return Positional; }
  bool wantsHelp() const { return WantsHelp; }
  bool wantsVersion() const { return WantsVersion; }

private:
  std::map<std::string, std::string> Values;
  std::vector<std::string> Positional;
  bool WantsHelp = false;
  bool WantsVersion = false;
};

// The text of --help: a line for each setting with its variable and default.
std::string helpText(absl::string_view usage,
                     const std::vector<SettingSpec> &specs);

// The exit code of a program that was called wrongly.
inline constexpr int UsageExitCode = 2;

// Parses and handles --help, --version and errors on the terminal. Returns the
// settings, or the exit code with which main should return.
std::variant<Settings, int>
parseOrExplain(absl::string_view usage, const std::vector<SettingSpec> &specs,
               int argc, char **argv);

} // namespace jujube

#endif // JUJUBE_BASE_SETTINGS_H_
