// Replays traces/live_faults.routing and checks the outcomes that it states.
#include <fstream>
#include <functional>
#include <map>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "testing/routing_world.h"

namespace jujube::testing {
namespace {

constexpr char TraceFile[] = "traces/live_faults.routing";
constexpr Instant End = Instant::fromMillis(90000);

using Words = std::vector<std::string>;

int64_t number(const Words &words, std::size_t i) {
  return std::stoll(words.at(i));
}

// The outcome of a request as the trace names it.
std::string outcomeOf(const RequestRecord &record) {
  if (!record.Conclusion)
    return "open";
  const std::size_t kind = record.Conclusion->index();
  static const std::map<std::size_t, std::string> Names{
      {routing::RouterAction(routing::Deliver()).index(), "delivered"},
      {routing::RouterAction(routing::Fail()).index(), "failed"},
      {routing::RouterAction(routing::Shed()).index(), "shed"},
      {routing::RouterAction(routing::MarkUnresolved()).index(), "unresolved"}};
  return Names.at(kind);
}

class Replay {
public:
  Replay() : World(options()) {}

  void read(const std::string &path) {
    std::ifstream file(path);
    BOOST_REQUIRE_MESSAGE(file, "run from the root of the repository");
    for (std::string line; std::getline(file, line);) {
      const Words words = absl::StrSplit(line, ' ', absl::SkipEmpty());
      if (words.empty() || words.front() == "#")
        continue;
      if (words.front() == "expect")
        Expected.push_back(words);
      else
        schedule(words);
    }
  }

  void check() {
    World.runUntil(End);
    BOOST_TEST(World.oracle().Violations.empty());
    std::map<std::pair<std::string, std::string>, int64_t> counts;
    for (const auto &[id, record] : World.records())
      ++counts[{Groups.at(id), outcomeOf(record)}];
    for (const Words &words : Expected) {
      const int64_t seen = counts[{words.at(1), words.at(2)}];
      BOOST_TEST(seen == number(words, 3),
                 "group " << words.at(1) << " " << words.at(2) << ": " << seen);
    }
  }

private:
  WorldOptions options() {
    WorldOptions options;
    options.Zones = 2;
    options.EntryHostsPerZone = 2;
    options.RunnersPerZone = 3;
    options.Slots = 4;
    options.Router.MaxPerRunner = 4;
    options.ServiceOf = [this](const RunnerId &) {
      return Service{CurrentRunTime};
    };
    return options;
  }

  void schedule(const Words &words) {
    const Instant when = Instant::fromMillis(number(words, 0));
    if (words.at(1) == "calls")
      return scheduleCalls(when, words);
    const auto n = static_cast<std::size_t>(number(words, 2));
    const std::map<std::string, std::function<void()>> faults{
        {"kill-runner", [this, n] { World.runner(n).kill(); }},
        {"restart-runner", [this, n] { World.runner(n).restart(); }},
        {"leave-runner", [this, n] { World.runner(n).leave(); }},
        {"kill-host", [this, n] { World.killEntryHost(n); }},
        {"restart-host", [this, n] { World.restartEntryHost(n); }},
        {"drain-host", [this, n] { World.drainEntryHost(n); }},
        {"change-leader", [this, n] { World.changeLeader(n); }},
        {"cut-off", [this, n] { World.cutOff(n, true); }},
        {"join", [this, n] { World.cutOff(n, false); }}};
    World.at(when, faults.at(words.at(1)));
  }

  void scheduleCalls(Instant when, const Words &words) {
    const std::string group = absl::StrCat(++GroupCount);
    const auto host = static_cast<std::size_t>(number(words, 4));
    const Duration runTime = Duration::millis(number(words, 8));
    World.at(when, [this, runTime] { CurrentRunTime = runTime; });
    for (int64_t i = 0; i < number(words, 2); ++i) {
      routing::LiveRequest request{RequestId(absl::StrCat("z.", group, "-", i)),
                                   TeamId(words.at(5)), EntryId(),
                                   words.at(6) == "idempotent",
                                   Instant::fromMillis(number(words, 7))};
      Groups[request.Request] = group;
      World.at(when + Duration::millis(number(words, 3)) * i,
               [this, host, request] { World.submit(host, request); });
    }
  }

  Duration CurrentRunTime = Duration::millis(50);
  RoutingWorld World;
  int GroupCount = 0;
  std::map<RequestId, std::string> Groups;
  std::vector<Words> Expected;
};

BOOST_AUTO_TEST_SUITE(RoutingTraceSuite)

BOOST_AUTO_TEST_CASE(LiveFaultsEndAsStated) {
  Replay replay;
  replay.read(TraceFile);
  replay.check();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
