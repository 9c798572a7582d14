// A fake fleet around the routing decisions: entry hosts with their routers,
// zone leaders with their ledgers, runners, and a network that loses,
// duplicates, delays and blocks messages. Time is simulated; a run is
// determined by its seed.
#ifndef TESTING_ROUTING_WORLD_H_
#define TESTING_ROUTING_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jujube/routing/credit_ledger.h"
#include "jujube/routing/router.h"
#include "testing/event_queue.h"
#include "testing/fake_runner.h"

namespace jujube::testing {

// Message faults, per mille of all messages.
struct NetworkFaults {
  uint32_t LossPermille = 0;
  uint32_t DuplicatePermille = 0;
  // Extra delay, drawn evenly, which reorders messages.
  Duration MaxExtraDelay;
};

// The calls on an entry host's policy. The default is a Router; baselines set
// their own.
struct PolicyHooks {
  using Actions = routing::RouterActions;
  std::function<Actions(const routing::LiveRequest &, Instant)> Submit;
  std::function<Actions(const routing::RunnerAnnouncement &, Instant)> Seen;
  std::function<Actions(const RequestId &, uint32_t, routing::AttemptOutcome,
                        Instant)>
      Answered;
};
// Makes the policy of the entry host with this index.
using PolicyFactory = std::function<PolicyHooks(std::size_t entryHost)>;

struct WorldOptions {
  std::size_t Zones = 3;
  std::size_t EntryHostsPerZone = 3;
  std::size_t RunnersPerZone = 17;
  uint32_t Slots = 8;
  uint64_t Seed = 1;
  // One way, between zones; less than a millisecond within one.
  Duration Latency = Duration::millis(1);
  Duration JournalTime = Duration::millis(2);
  Duration HeartbeatPeriod = Duration::millis(500);
  NetworkFaults Faults;
  // Clocks of entry hosts run fast or slow by up to this many thousandths.
  int32_t MaxDriftPermille = 0;
  ServiceHook ServiceOf;
  routing::RouterOptions Router;
  std::vector<catalogue::Team> Teams;
  // If set, no credits are used.
  PolicyFactory Baseline;
};

// One request as its caller saw it.
struct RequestRecord {
  routing::LiveRequest Request;
  Instant SubmittedAt;
  std::size_t EntryHost = 0;
  // The attempt that was delivered.
  uint32_t DeliveredAttempt = 0;
  Instant EndedAt = Instant::never();
  // The latest conclusion; empty until the caller has received one.
  std::optional<routing::RouterAction> Conclusion;
  uint32_t Conclusions = 0;
};

// Use of all runners' slots at one instant.
struct SlotUse {
  // Requests in progress on runners.
  uint64_t Running = 0;
  // Credits of entry hosts for requests in flight, including those on the
  // network.
  uint64_t InFlight = 0;
  // Credits that entry hosts keep free.
  uint64_t Spare = 0;
  // Credits that the ledgers count as granted.
  uint64_t Committed = 0;
  uint64_t Slots = 0;
};

class RoutingWorld {
public:
  explicit RoutingWorld(WorldOptions options);

  void submit(std::size_t entryHost, routing::LiveRequest request);
  void at(Instant when, EventQueue::Handler handler) {
    Events.callAt(when, std::move(handler));
  }
  void runUntil(Instant end) { Events.runUntil(end); }
  Instant now() const { return Events.now(); }

  // Faults. A killed entry host loses its state; its requests in flight
  // continue. A new leader starts with an empty ledger in the next term.
  void killEntryHost(std::size_t i);
  void restartEntryHost(std::size_t i);
  void drainEntryHost(std::size_t i);
  void changeLeader(std::size_t zone);
  // A partitioned zone exchanges no messages with the others.
  void cutOff(std::size_t zone, bool isCut) { Cut[zone] = isCut; }
  void setFaults(const NetworkFaults &faults) { Options.Faults = faults; }
  FakeRunner &runner(std::size_t i) { return *Runners[i]; }
  std::size_t runnerCount() const { return Runners.size(); }
  std::size_t entryHostCount() const { return EntryHosts.size(); }
  std::size_t queued(std::size_t entryHost) const;

  const std::map<RequestId, RequestRecord> &records() const { return Records; }
  const RunnerOracle &oracle() const { return Oracle; }
  uint64_t controlMessages() const { return ControlMessages; }
  routing::RouterCounters counters() const;
  SlotUse slotUse() const;

private:
  struct EntryHost {
    std::size_t Zone = 0;
    routing::Holder Self;
    std::unique_ptr<routing::Router> Router;
    PolicyHooks Baseline;
    // Offset and rate error (per mille) of the host's clock.
    Duration Offset;
    int32_t DriftPermille = 0;
    uint64_t HostIncarnation = 0;
    Instant WakeAt = Instant::never();
  };
  struct Zone {
    std::unique_ptr<routing::CreditLedger> Ledger;
    Term LedgerTerm{1};
  };
  using Handler = std::function<void()>;

  // routing_world.cc: hosts and messages.
  void addRunners(std::size_t zone);
  void startRouter(std::size_t i);
  void startLedger(std::size_t zone);
  void heartbeat(std::size_t runner);
  void hear(std::size_t entryHost,
            const routing::RunnerAnnouncement &announcement);
  bool isCutBetween(std::size_t a, std::size_t b) const;
  void send(std::size_t from, std::size_t to, const Handler &handler,
            bool mayDouble = true);
  Instant localTime(const EntryHost &host) const;

  // routing_world_actions.cc: the actions of entry hosts.
  void act(std::size_t i, routing::RouterActions actions);
  void perform(std::size_t i, const routing::Dispatch &dispatch);
  void perform(std::size_t i, const routing::JournalOffer &offer);
  void perform(std::size_t i, const routing::Inquire &inquiry);
  void perform(std::size_t i, const routing::HandOver &handOver);
  void perform(std::size_t i, const routing::SendReport &report);
  void perform(std::size_t i, const routing::Deliver &deliver);
  void perform(std::size_t i, const routing::Fail &fail);
  void perform(std::size_t i, const routing::Shed &shed);
  void perform(std::size_t i, const routing::MarkUnresolved &unresolved);
  void conclude(const RequestId &id, routing::RouterAction action);
  void finish(std::size_t i, uint64_t life, const RequestId &id,
              uint32_t attempt, routing::AttemptOutcome outcome);
  void wake(std::size_t i);
  void recordViolation(const std::string &what, const RequestId &id);

  WorldOptions Options;
  EventQueue Events;
  std::mt19937_64 Random;
  RunnerOracle Oracle;
  std::vector<EntryHost> EntryHosts;
  std::vector<Zone> Zones;
  std::vector<std::unique_ptr<FakeRunner>> Runners;
  std::map<RunnerId, std::size_t> RunnerIndex;
  std::map<ZoneId, std::size_t> ZoneIndex;
  std::map<std::size_t, bool> Cut;
  std::map<RequestId, RequestRecord> Records;

  uint64_t ControlMessages = 0;
};

} // namespace jujube::testing

#endif // TESTING_ROUTING_WORLD_H_
