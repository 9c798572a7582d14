// routing-bench: the router against two baselines, in simulated time.
//
// Three zones with three entry hosts and 17 runners of 8 slots each; Poisson
// arrivals of six uneven teams with equal shares; exponential service times.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/base/settings.h"
#include "testing/routing_baselines.h"
#include "testing/routing_world.h"

namespace jujube::testing {
namespace {

constexpr double MeanServiceMs = 50;
constexpr Duration Deadline = Duration::millis(1000);
constexpr Duration WarmUp = Duration::seconds(3);
constexpr Duration SamplePeriod = Duration::millis(7);
constexpr double IdempotentPart = 0.7;
// Parts of the load per team.
constexpr double TeamParts[] = {0.35, 0.25, 0.15, 0.10, 0.10, 0.05};

// What goes wrong with runners.
enum class Scenario {
  Healthy,
  // 3 runners of 51 take ten times as long.
  Slow,
  // 2 runners of 51 fail everything within 5 ms.
  Failing,
};
constexpr NameTable<Scenario, 3> ScenarioNames = {{
    {Scenario::Healthy, "healthy"},
    {Scenario::Slow, "slow"},
    {Scenario::Failing, "failing"},
}};
static_assert(isComplete(ScenarioNames));

struct Trial {
  RoutingPolicy Policy = RoutingPolicy::Credits;
  Scenario Runners = Scenario::Healthy;
  int64_t LoadPercent = 50;
  Duration Length = Duration::seconds(10);
  uint64_t Seed = 1;
};

bool isOneOf(const RunnerId &runner, std::initializer_list<int> numbers) {
  return std::ranges::any_of(numbers, [&](int n) {
    return runner.str() == absl::StrCat("runner", n);
  });
}

ServiceHook serviceHook(Scenario scenario, uint64_t seed) {
  const auto random = std::make_shared<std::mt19937_64>(seed);
  return [scenario, random](const RunnerId &runner) {
    std::exponential_distribution<double> draw(1.0 / MeanServiceMs);
    const int64_t time = std::llround(draw(*random));
    if (scenario == Scenario::Slow && isOneOf(runner, {3, 20, 37}))
      return Service{Duration::millis(10 * time)};
    if (scenario == Scenario::Failing && isOneOf(runner, {5, 22}))
      return Service{Duration::millis(5), true};
    return Service{Duration::millis(time)};
  };
}

// Adds the arrival that follows the newest one.
class Arrivals {
public:
  Arrivals(RoutingWorld &world, const Trial &trial, std::size_t slots)
      : World(world), End(world.now() + WarmUp + trial.Length),
        Random(trial.Seed + 1),
        Gap(static_cast<double>(slots) / MeanServiceMs *
            static_cast<double>(trial.LoadPercent) / 100.0),
        NextMs(static_cast<double>(world.now().millis())) {}

  void arm() {
    NextMs += Gap(Random);
    const Instant when = Instant::fromMillis(std::llround(NextMs));
    if (when < End)
      World.at(when, [this] {
        submit();
        arm();
      });
  }

private:
  void submit() {
    std::discrete_distribution<std::size_t> team(std::begin(TeamParts),
                                                 std::end(TeamParts));
    std::uniform_int_distribution<std::size_t> host(0,
                                                    World.entryHostCount() - 1);
    std::bernoulli_distribution isIdempotent(IdempotentPart);
    routing::LiveRequest request;
    request.Request = RequestId(absl::StrCat("z.", ++Count));
    request.Team = TeamId(absl::StrCat("team", team(Random)));
    request.IsIdempotent = isIdempotent(Random);
    request.Deadline = Instant::fromMillis(Deadline.millis());
    World.submit(host(Random), request);
  }

  RoutingWorld &World;
  Instant End;
  std::mt19937_64 Random;
  std::exponential_distribution<double> Gap;
  double NextMs;
  uint64_t Count = 0;
};

int64_t quantile(std::vector<int64_t> &values, double q) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      std::llround(q * static_cast<double>(values.size() - 1)));
  std::ranges::nth_element(values,
                           values.begin() + static_cast<std::ptrdiff_t>(rank));
  return values[rank];
}

// The figures of one trial.
struct Figures {
  std::map<TeamId, std::vector<int64_t>> WaitMs;
  std::map<TeamId, uint64_t> Submitted;
  std::vector<int64_t> TotalMs;
  uint64_t Requests = 0;
  uint64_t Delivered = 0;
  uint64_t Shed = 0;
  uint64_t Failed = 0;
  uint64_t Unresolved = 0;
  double WastedPart = 0;
  double ControlPerRequest = 0;
  uint64_t Violations = 0;
  uint64_t Excess = 0;
  // Summed over the samples.
  SlotUse Slots;
};

// Adds what the slots are used for every SamplePeriod.
void sample(RoutingWorld &world, Instant from, Instant end, SlotUse &sum) {
  world.at(from, [&world, from, end, &sum] {
    const SlotUse use = world.slotUse();
    sum.Running += use.Running;
    sum.InFlight += use.InFlight;
    sum.Spare += use.Spare;
    sum.Committed += use.Committed;
    sum.Slots += use.Slots;
    if (from < end)
      sample(world, from + SamplePeriod, end, sum);
  });
}

void count(const RequestRecord &record, const RunnerOracle &oracle,
           Figures &figures) {
  ++figures.Requests;
  ++figures.Submitted[record.Request.Team];
  if (!record.Conclusion)
    return;
  figures.Shed += std::holds_alternative<routing::Shed>(*record.Conclusion);
  figures.Failed += std::holds_alternative<routing::Fail>(*record.Conclusion);
  figures.Unresolved +=
      std::holds_alternative<routing::MarkUnresolved>(*record.Conclusion);
  if (!std::holds_alternative<routing::Deliver>(*record.Conclusion))
    return;
  ++figures.Delivered;
  figures.TotalMs.push_back((record.EndedAt - record.SubmittedAt).millis());
  // Until the first attempt started; retries and hedges show in the total.
  const auto first = oracle.Runs.lower_bound({record.Request.Request, 0});
  figures.WaitMs[record.Request.Team].push_back(
      (first->second.StartedAt - record.SubmittedAt).millis());
}

Figures measure(const Trial &trial) {
  WorldOptions options;
  options.Seed = trial.Seed;
  options.ServiceOf = serviceHook(trial.Runners, trial.Seed + 2);
  options.Baseline = baselineFor(trial.Policy, trial.Seed + 3);
  RoutingWorld world(options);
  world.runUntil(Instant::fromMillis(1000));
  const Instant from = world.now() + WarmUp;
  Arrivals arrivals(world, trial, world.runnerCount() * options.Slots);
  arrivals.arm();
  Figures figures;
  sample(world, from, from + trial.Length, figures.Slots);
  world.runUntil(from + trial.Length + Deadline * 5);
  int64_t useful = 0;
  for (const auto &[id, record] : world.records()) {
    const auto run = world.oracle().Runs.find({id, record.DeliveredAttempt});
    if (run != world.oracle().Runs.end())
      useful += run->second.Time.millis();
    if (record.SubmittedAt >= from)
      count(record, world.oracle(), figures);
  }
  int64_t busy = 0;
  for (const auto &[id, run] : world.oracle().Runs)
    busy += run.Time.millis();
  figures.WastedPart =
      1 - static_cast<double>(useful) / static_cast<double>(busy);
  figures.ControlPerRequest = static_cast<double>(world.controlMessages()) /
                              static_cast<double>(world.records().size());
  figures.Excess = world.oracle().Excess;
  return figures;
}

double percent(uint64_t n, uint64_t all) {
  return all == 0 ? 0
                  : 100.0 * static_cast<double>(n) / static_cast<double>(all);
}

void print(const Trial &trial, Figures &figures, bool showsTeams,
           bool showsSlots) {
  std::vector<int64_t> waits;
  for (const auto &[team, some] : figures.WaitMs)
    waits.insert(waits.end(), some.begin(), some.end());
  std::printf("%-8s %3ld%% %-17s | wait %4ld %5ld %5ld | total %4ld %5ld %5ld "
              "| ok %5.1f shed %5.1f fail %4.1f unkn %4.1f | wasted %4.1f%% "
              "ctl/req %.3f over-slots %lu\n",
              nameIn(ScenarioNames, trial.Runners).data(), trial.LoadPercent,
              nameIn(RoutingPolicyNames, trial.Policy).data(),
              quantile(waits, 0.5), quantile(waits, 0.99),
              quantile(waits, 0.999), quantile(figures.TotalMs, 0.5),
              quantile(figures.TotalMs, 0.99), quantile(figures.TotalMs, 0.999),
              percent(figures.Delivered, figures.Requests),
              percent(figures.Shed, figures.Requests),
              percent(figures.Failed, figures.Requests),
              percent(figures.Unresolved, figures.Requests),
              100 * figures.WastedPart, figures.ControlPerRequest,
              figures.Excess);
  const SlotUse &slots = figures.Slots;
  if (showsSlots)
    std::printf(
        "    slots: running %4.1f%% on the way %4.1f%% spare at entry "
        "hosts %4.1f%% unconfirmed %4.1f%% at ledgers %4.1f%%\n",
        percent(slots.Running, slots.Slots),
        percent(slots.InFlight - slots.Running, slots.Slots),
        percent(slots.Spare, slots.Slots),
        percent(slots.Committed - slots.InFlight - slots.Spare, slots.Slots),
        percent(slots.Slots - slots.Committed, slots.Slots));
  if (showsTeams)
    for (auto &[team, some] : figures.WaitMs)
      std::printf("    %s wait p50 %4ld p99 %5ld p99.9 %5ld, delivered %5.1f%% "
                  "of %lu\n",
                  team.str().c_str(), quantile(some, 0.5), quantile(some, 0.99),
                  quantile(some, 0.999),
                  percent(some.size(), figures.Submitted[team]),
                  figures.Submitted[team]);
  (void)std::fflush(stdout);
}

std::vector<SettingSpec> specs() {
  return {{"length", SettingKind::Millis, "10000", "simulated time per trial",
           false, 1000, 600000},
          {"seed", SettingKind::Integer, "1", "seed of all random numbers"},
          {"load", SettingKind::Integer, "0",
           "percent of the slots; 0 for 50, 80, 95 and 120", false, 0, 1000},
          {"policy", SettingKind::Text, "", "only this policy"},
          {"scenario", SettingKind::Text, "", "only this scenario"},
          {"teams", SettingKind::Switch, "false", "also print each team"},
          {"slots", SettingKind::Switch, "false",
           "also print what the slots are used for"}};
}

int run(int argc, char **argv) {
  const std::variant<Settings, int> parsed =
      parseCommandLine("routing-bench [flags]", specs(), argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  const auto &settings = std::get<Settings>(parsed);
  std::vector<int64_t> loads{50, 80, 95, 120};
  if (settings.integer("load") > 0)
    loads = {settings.integer("load")};
  const auto isChosen = [&](const std::string &flag, absl::string_view name) {
    return settings.text(flag).empty() || settings.text(flag) == name;
  };
  std::printf("times in ms: p50 p99 p99.9; ok, shed, fail, unkn in %% of the "
              "requests\n");
  for (const auto &scenario : ScenarioNames)
    for (const int64_t load : loads)
      for (const auto &policy : RoutingPolicyNames) {
        if (!isChosen("scenario", scenario.Name) ||
            !isChosen("policy", policy.Name))
          continue;
        const Trial trial{policy.Value, scenario.Value, load,
                          settings.duration("length"),
                          static_cast<uint64_t>(settings.integer("seed"))};
        Figures figures = measure(trial);
        print(trial, figures, settings.isOn("teams"), settings.isOn("slots"));
      }
  return 0;
}

} // namespace
} // namespace jujube::testing

int main(int argc, char **argv) { return jujube::testing::run(argc, argv); }
