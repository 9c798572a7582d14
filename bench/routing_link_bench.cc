// routing-link-bench: one entry host's router and links over real sockets.
//
// Start a stand-in runner first, for example
//   standin-runner --start 1 --count 8 --listen 127.0.0.1:18920 --mean-ms 1 ...
// The bench plays the zone's leader itself, keeps the given number of callers
// busy, and prints requests a second, processor time and memory of this
// process.
#include <poll.h>
#include <sys/resource.h>

#include <cstdio>
#include <deque>

#include "absl/strings/str_cat.h"
#include "jujube/base/settings.h"
#include "jujube/entry/runner_link.h"
#include "jujube/routing/credit_ledger.h"
#include "jujube/routing/router.h"

namespace jujube {
namespace {

const ZoneId Zone("bench");
const EntryId Desk("desk");
constexpr int64_t MaxWaitMs = 5;

struct Totals {
  uint64_t Delivered = 0;
  uint64_t Other = 0;
};

// The loop of an entry host, reduced to live requests.
class Bench {
public:
  Bench(const Settings &settings, entry::RunnerLinkPool &links)
      : Source(Clock::monotonic()), Links(links),
        Payload(std::make_shared<const std::string>(
            absl::StrCat("run_ms=", settings.integer("run-ms")))),
        End(Source.now() + settings.duration("length")) {
    routing::RouterOptions options;
    options.Self = {HostId("entry"), {1}};
    options.Zone = Zone;
    options.MaxPerRunner = 8;
    options.MaxInFlight = links.size();
    Router = std::make_unique<routing::Router>(
        valueOf(routing::Router::create(options, Source.now())));
    routing::LedgerOptions ledger;
    ledger.Zone = Zone;
    ledger.LedgerTerm = Term{1};
    Ledger = std::make_unique<routing::CreditLedger>(
        valueOf(routing::CreditLedger::create(
            ledger, Source.now() - Duration::minutes(1))));
    for (int64_t i = 0; i < settings.integer("count"); ++i) {
      routing::RunnerAnnouncement runner;
      runner.Runner = RunnerId(absl::StrCat("runner-", i));
      runner.Start = {1};
      runner.Entry = Desk;
      runner.Zone = Zone;
      runner.Http = settings.address("runner");
      Runners.push_back(runner);
    }
  }

  Totals run(int64_t callers) {
    announce();
    carryOut(Router->tick(Source.now()));
    // One after the other: the stand-in's backlog of connections is short.
    for (int64_t i = 0; i < callers; ++i) {
      submit();
      turn();
    }
    while (Open > 0 || Source.now() < End)
      turn();
    return Counts;
  }

private:
  void announce() {
    NextAnnounce = Source.now() + Duration::millis(500);
    for (const routing::RunnerAnnouncement &runner : Runners) {
      Ledger->announce(runner, Source.now());
      carryOut(Router->handleAnnouncement(runner, Duration(), Source.now()));
    }
  }

  void submit() {
    if (Source.now() >= End)
      return;
    ++Open;
    carryOut(Router->submit(
        {RequestId(absl::StrCat("bench.", Prefix, "-", ++Last)), TeamId("team"),
         Desk, true, Source.now() + Duration::seconds(5)},
        Source.now()));
  }

  void turn() {
    const Instant now = Source.now();
    if (now >= NextAnnounce)
      announce();
    const Instant wake = std::min(Router->nextWake(now), NextAnnounce);
    const int64_t wait =
        std::clamp<int64_t>((wake - now).millis(), 0, MaxWaitMs);
    pollfd poll{Links.events()->fd(), POLLIN, 0};
    (void)::poll(&poll, 1, static_cast<int>(wait));
    for (entry::LinkEvent &event : Links.events()->drain())
      if (const auto outcome = Links.handle(std::move(event)))
        carryOut(Router->handleAttemptOutcome(outcome->Request,
                                              outcome->Attempt,
                                              outcome->Outcome, Source.now()));
    if (Source.now() >= Router->nextWake(Source.now()))
      carryOut(Router->tick(Source.now()));
  }

  void carryOut(const routing::RouterActions &actions) {
    for (const routing::RouterAction &action : actions)
      std::visit([this](const auto &it) { carryOut(it); }, action);
  }
  void carryOut(const routing::Dispatch &dispatch) {
    if (!isOk(Links.send({dispatch, Desk, TeamId("team"), Payload})))
      carryOut(Router->handleAttemptOutcome(dispatch.Request, dispatch.Attempt,
                                            routing::AttemptOutcome::NotSent,
                                            Source.now()));
  }
  void carryOut(const routing::Deliver &) { finish(Counts.Delivered); }
  void carryOut(const routing::SendReport &) {
    const auto grant =
        Ledger->report(Router->report(Zone, Source.now()), Source.now());
    if (grant)
      carryOut(Router->handleGrant(*grant, Source.now()));
  }
  template <typename Action> void carryOut(const Action &) {
    finish(Counts.Other);
  }

  void finish(uint64_t &counter) {
    ++counter;
    --Open;
    submit();
  }

  Clock Source;
  entry::RunnerLinkPool &Links;
  std::shared_ptr<const std::string> Payload;
  Instant End;
  std::unique_ptr<routing::Router> Router;
  std::unique_ptr<routing::CreditLedger> Ledger;
  std::vector<routing::RunnerAnnouncement> Runners;
  Instant NextAnnounce;
  Totals Counts;
  // Tells the requests of one run from those of the next.
  int64_t Prefix = Clock::wall().now().millis();
  uint64_t Last = 0;
  int64_t Open = 0;
};

double processorSeconds() {
  rusage usage{};
  (void)getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval &t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

int run(int argc, char **argv) {
  const std::vector<SettingSpec> specs{
      {"runner", SettingKind::AddressText, "127.0.0.1:18920",
       "address of a stand-in runner started with --start 1"},
      {"count", SettingKind::Integer, "8", "runners it emulates", false, 1,
       200},
      {"callers", SettingKind::Integer, "32", "requests kept open", false, 1,
       1000},
      {"links", SettingKind::Integer, "64", "link tasks", false, 1, 1000},
      {"run-ms", SettingKind::Integer, "1", "service time"},
      {"length", SettingKind::Millis, "5000", "length of the run"}};
  const std::variant<Settings, int> parsed =
      parseCommandLine("routing-link-bench [flags]", specs, argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  const auto &settings = std::get<Settings>(parsed);
  entry::RunnerLinkPool pool = valueOf(entry::RunnerLinkPool::create(
      static_cast<std::size_t>(settings.integer("links"))));
  const auto tree =
      valueOf(runtime::Supervisor::create({"links"}, pool.children()));
  const auto task = valueOf(
      runtime::Task::start("links", Clock::monotonic(), tree.asChild().Body,
                           [](const runtime::TaskExit &) {}));
  const Totals totals = Bench(settings, pool).run(settings.integer("callers"));
  const double cpu = processorSeconds();
  rusage usage{};
  (void)getrusage(RUSAGE_SELF, &usage);
  const double seconds =
      static_cast<double>(settings.duration("length").millis()) / 1000;
  const auto delivered = static_cast<double>(totals.Delivered);
  std::printf("delivered %lu (%.0f a second), other %lu, processor %.2f s "
              "(%.0f requests a second per core), resident %ld KB\n",
              totals.Delivered, delivered / seconds, totals.Other, cpu,
              delivered / cpu, usage.ru_maxrss);
  return 0;
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) { return jujube::run(argc, argv); }
