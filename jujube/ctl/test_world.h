// A test environment for jujubectl: a terminal and in-process entry hosts,
// whose calls pass through the same HTTP translation as in the server.
#ifndef JUJUBE_CTL_TEST_WORLD_H_
#define JUJUBE_CTL_TEST_WORLD_H_

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/ctl/app.h"
#include "jujube/http/translate.h"

namespace jujube::ctl {

using http::HttpCall;
using http::TransportFailure;
using http::TransportOutcome;

inline catalogue::Team events() { return {TeamId("events"), 2, {8000, 0, 0}}; }

// Entry hosts that share one catalogue, and a terminal.
struct World {
  catalogue::Catalogue Store = storeOf({{events(), Revision{1}}});
  // The edits that the catalogue accepted.
  std::vector<catalogue::Edit> Applied;
  std::vector<api::Command> Commands;
  // Failures of the next calls; each replaces the response after execution.
  std::vector<std::optional<TransportFailure>> Faults;
  // Whether edit receipts report the edit as in force.
  bool IsInForce = true;
  std::string In;
  std::string Out;
  std::string Err;
  int Randoms = 0;

  static catalogue::Catalogue
  storeOf(std::vector<catalogue::Versioned<catalogue::Team>> teams) {
    const Revision latest = teams.back().ChangedAt;
    auto store = catalogue::Catalogue::fromContents({latest, std::move(teams)});
    BOOST_REQUIRE(isOk(store));
    return valueOf(std::move(store));
  }

  Result<api::Reply> edit(const api::EditCatalogue &command) {
    const Revision before = Store.latest();
    const Result<Revision> at = command.IsDryRun ? Store.check(command.Edit)
                                                 : Store.apply(command.Edit);
    if (!isOk(at))
      return errorOf(at);
    if (Store.latest() != before)
      Applied.push_back(command.Edit);
    return api::EditReceipt{valueOf(at), IsInForce};
  }

  // Request "pf.gone" is unknown; "pf.done" has ended.
  static Result<api::Reply> cancel(const api::Cancel &command) {
    const std::string &id = command.Request.str();
    if (id == "pf.gone")
      return Error{ErrorKind::NotFound, "nothing there", "look elsewhere"};
    return fate::FateView{command.Request, TeamId("events"), EntryId("e"),
                          id == "pf.done" ? fate::FateState::Finished
                                          : fate::FateState::Cancelled};
  }

  Result<api::Reply> execute(const api::Command &command) {
    Commands.push_back(command);
    if (const auto *wanted = std::get_if<api::EditCatalogue>(&command))
      return edit(*wanted);
    if (std::holds_alternative<api::GetCatalogue>(command))
      return Store.contents();
    if (const auto *get = std::get_if<api::GetHistory>(&command))
      return Store.history(get->MaxLines);
    if (const auto *wanted = std::get_if<api::Cancel>(&command))
      return cancel(*wanted);
    if (const auto *submit = std::get_if<api::Submit>(&command))
      return fate::FateView{submit->Request, TeamId("events"), submit->Entry,
                            fate::FateState::Queued};
    if (const auto *get = std::get_if<api::GetFate>(&command))
      return fate::FateView{get->Request, TeamId("events"), EntryId("invoices"),
                            fate::FateState::Failed};
    if (std::holds_alternative<api::GetMetrics>(command))
      return metrics::Snapshot{
          {}, {{"wait_ms", {"events", "batch"}, 2, 1, 1, 1, 1, 1, {0, 2}}}};
    if (std::holds_alternative<api::GetStatus>(command))
      return api::FleetStatus{HostId("e1"), ZoneId("pf")};
    return Error{ErrorKind::NotFound, "nothing there", "look elsewhere"};
  }

  TransportOutcome send(const HttpCall &call) {
    const std::vector<std::string> parts = absl::StrSplit(call.Target, '?');
    http::HttpRequest request{std::string(nameIn(http::MethodNames, call.Verb)),
                              parts[0]};
    if (parts.size() > 1) {
      const std::vector<std::string> field = absl::StrSplit(parts[1], '=');
      request.Query[field[0]] = field[1];
    }
    if (!call.Token.empty())
      request.Authorization = "Bearer " + call.Token;
    request.Body = call.Body;
    const auto match = http::matchRoute(request.Method, request.Path);
    BOOST_REQUIRE(isOk(match));
    auto command = http::toCommand(valueOf(match), request, {});
    BOOST_REQUIRE(isOk(command));
    const auto reply = execute(valueOf(std::move(command)));
    const http::HttpResponse answer =
        isOk(reply) ? http::toResponse(valueOf(match).Target, valueOf(reply))
                    : http::toResponse(errorOf(reply));
    return http::HttpResult{answer.Status, answer.Body};
  }

  AppHooks hooks() {
    AppHooks hooks;
    hooks.Connect = [this](const std::string &) {
      return [this](const Address &, const HttpCall &call) -> TransportOutcome {
        std::optional<TransportFailure> fault;
        if (!Faults.empty()) {
          fault = Faults.front();
          Faults.erase(Faults.begin());
        }
        if (fault == TransportFailure::NotConnected)
          return *fault;
        TransportOutcome outcome = send(call);
        return fault ? TransportOutcome(*fault) : outcome;
      };
    };
    hooks.Print = [this](const std::string &text) { Out += text; };
    hooks.PrintError = [this](const std::string &text) { Err += text; };
    hooks.Progress = [](const std::string &) {};
    hooks.ReadInput = [this] { return In; };
    hooks.Random = [this](std::size_t n) {
      return std::string(2 * n - 1, 'a') + std::to_string(++Randoms % 10);
    };
    hooks.Sleep = [](Duration) {};
    hooks.Environment = [](const std::string &) { return std::nullopt; };
    return hooks;
  }

  ExitCode run(const std::vector<std::string> &args) {
    return runApp(args, hooks());
  }
};

// A catalogue file that is removed at the end of the test.
class TestFile {
public:
  explicit TestFile(absl::string_view text)
      : Path(std::filesystem::temp_directory_path() /
             absl::StrCat("jujube_ctl_test_", getpid(), ".json")) {
    std::ofstream(Path) << text;
  }
  ~TestFile() { std::filesystem::remove(Path); }
  std::string path() const { return Path; }

private:
  std::filesystem::path Path;
};

} // namespace jujube::ctl

#endif // JUJUBE_CTL_TEST_WORLD_H_
