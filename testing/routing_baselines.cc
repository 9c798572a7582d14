#include "testing/routing_baselines.h"

#include <algorithm>
#include <memory>
#include <random>

namespace jujube::testing {
namespace {

using routing::AttemptOutcome;

// The state of one entry host's baseline policy.
class Baseline {
public:
  Baseline(RoutingPolicy policy, uint64_t seed)
      : Policy(policy), Random(seed) {}

  routing::RouterActions submit(const routing::LiveRequest &request,
                                Instant now) {
    const routing::RunnerAnnouncement *runner = choose();
    if (runner == nullptr)
      return {routing::Shed{request.Request, {}, Duration::seconds(1)}};
    ++Outstanding[runner->Runner];
    Sent[request.Request] = runner->Runner;
    routing::Dispatch dispatch;
    dispatch.Request = request.Request;
    dispatch.Runner = runner->Runner;
    dispatch.Start = runner->Start;
    dispatch.Timeout = request.Deadline - now;
    dispatch.SendBefore = Instant::never();
    return {dispatch};
  }

  routing::RouterActions seen(const routing::RunnerAnnouncement &runner) {
    Runners[runner.Runner] = runner;
    return {};
  }

  routing::RouterActions handleAttemptOutcome(const RequestId &id,
                                              uint32_t attempt,
                                              AttemptOutcome outcome) {
    const auto it = Sent.find(id);
    if (it == Sent.end())
      return {};
    const RunnerId runner = it->second;
    --Outstanding[runner];
    Sent.erase(it);
    switch (outcome) {
    case AttemptOutcome::Answered:
      return {routing::Deliver{id, runner, attempt}};
    case AttemptOutcome::Failed:
      return {routing::Fail{id, runner, attempt, {}}};
    case AttemptOutcome::Unknown:
      return {routing::MarkUnresolved{id, runner, attempt, {}}};
    case AttemptOutcome::Refused:
    case AttemptOutcome::NotSent:
      break;
    }
    return {routing::Shed{id, {}, Duration::millis(500)}};
  }

private:
  const routing::RunnerAnnouncement *choose() {
    std::vector<const routing::RunnerAnnouncement *> open;
    for (const auto &[id, runner] : Runners)
      if (!runner.IsLeaving)
        open.push_back(&runner);
    if (open.empty())
      return nullptr;
    std::ranges::shuffle(open, Random);
    if (Policy == RoutingPolicy::Random)
      return open.front();
    return *std::ranges::min_element(
        open, {}, [this](const auto *it) { return Outstanding[it->Runner]; });
  }

  RoutingPolicy Policy;
  std::mt19937_64 Random;
  std::map<RunnerId, routing::RunnerAnnouncement> Runners;
  std::map<RunnerId, uint32_t> Outstanding;
  std::map<RequestId, RunnerId> Sent;
};

} // namespace

PolicyFactory baselineFor(RoutingPolicy policy, uint64_t seed) {
  if (policy == RoutingPolicy::Credits)
    return nullptr;
  return [policy, seed](std::size_t entryHost) {
    const auto state = std::make_shared<Baseline>(policy, seed + entryHost);
    PolicyHooks hooks;
    hooks.Submit = [state](const routing::LiveRequest &request, Instant now) {
      return state->submit(request, now);
    };
    hooks.Seen = [state](const routing::RunnerAnnouncement &runner, Instant) {
      return state->seen(runner);
    };
    hooks.Answered = [state](const RequestId &id, uint32_t attempt,
                             AttemptOutcome outcome, Instant) {
      return state->handleAttemptOutcome(id, attempt, outcome);
    };
    return hooks;
  };
}

} // namespace jujube::testing
