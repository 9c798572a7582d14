// The command line of jujubectl: settings, commands and exit codes.
#ifndef JUJUBE_CTL_APP_H_
#define JUJUBE_CTL_APP_H_

#include <functional>
#include <string>
#include <vector>

#include "jujube/base/name_table.h"
#include "jujube/base/settings.h"
#include "jujube/ctl/commands.h"
#include "jujube/http/client.h"

namespace jujube::ctl {

// The commands of jujubectl.
enum class Action {
  CatalogueApply,
  CatalogueGet,
  CatalogueList,
  CatalogueDelete,
  CatalogueHistory,
  TeamPut,
  TeamList,
  TeamDelete,
  KeyIssue,
  KeyWithdraw,
  KeyList,
  Submit,
  Call,
  Cancel,
  Fate,
  Status,
  Histogram,
  ZoneEvacuate,
  ZoneRestore,
  ZoneList,
  Explain,
  Lateness,
};

inline constexpr NameTable<Action, 22> ActionNames = {{
    {Action::CatalogueApply, "catalogue apply"},
    {Action::CatalogueGet, "catalogue get"},
    {Action::CatalogueList, "catalogue list"},
    {Action::CatalogueDelete, "catalogue delete"},
    {Action::CatalogueHistory, "catalogue history"},
    {Action::TeamPut, "team put"},
    {Action::TeamList, "team list"},
    {Action::TeamDelete, "team delete"},
    {Action::KeyIssue, "key issue"},
    {Action::KeyWithdraw, "key withdraw"},
    {Action::KeyList, "key list"},
    {Action::Submit, "submit"},
    {Action::Call, "call"},
    {Action::Cancel, "cancel"},
    {Action::Fate, "fate"},
    {Action::Status, "status"},
    {Action::Histogram, "histogram"},
    {Action::ZoneEvacuate, "zone evacuate"},
    {Action::ZoneRestore, "zone restore"},
    {Action::ZoneList, "zone list"},
    {Action::Explain, "explain"},
    {Action::Lateness, "lateness"},
}};
static_assert(isComplete(ActionNames));

// The exit status of jujubectl.
enum class ExitCode {
  Done = 0,
  // The request was refused with a typed error, or the work ended in a state
  // other than finished.
  Refused = 1,
  Usage = 2,
  // No entry host could be reached.
  Unreachable = 3,
};

// The program's access to its environment. Tests supply their own hooks.
struct AppHooks {
  std::function<http::TransportHook(const std::string &tlsAuthority)> Connect;
  std::function<void(const std::string &)> Print;
  std::function<void(const std::string &)> PrintError;
  std::function<void(const std::string &)> Progress;
  // Reads standard input until end of file.
  std::function<std::string()> ReadInput;
  std::function<std::string(std::size_t)> Random;
  std::function<void(Duration)> Sleep;
  EnvironmentHook Environment = readEnvironment;
  Clock Time = Clock::monotonic();
};

// Returns the hooks used in production.
AppHooks realHooks();

// Parses the arguments and runs one command.
ExitCode runApp(const std::vector<std::string> &args, const AppHooks &hooks);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_APP_H_
