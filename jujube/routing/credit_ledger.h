// The credit ledger of an availability zone. It leases the slots of the zone's
// runners to entry hosts as credits, so that no runner ever has more requests
// in progress than it has slots.
#ifndef JUJUBE_ROUTING_CREDIT_LEDGER_H_
#define JUJUBE_ROUTING_CREDIT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/types.h"

namespace jujube::routing {

// Settings of a ledger. Lease and MaxRequestTime must equal those of the
// routers (RouterOptions).
struct LedgerOptions {
  ZoneId Zone;
  Term LedgerTerm;
  // Entry hosts that may hold credits of the preceding term. Once all of them
  // have reported in this term, the ledger grants credits at once instead of
  // waiting until the preceding term's leases have expired.
  std::set<HostId> EntryHosts;
  Duration Lease = Duration::seconds(2);
  // Upper bound on the time from sending a request until it has ended.
  Duration MaxRequestTime = Duration::seconds(10);
  // No credits are granted on a runner that has not announced itself for this
  // long.
  Duration RunnerLease = Duration::seconds(3);
  // Upper bound on the difference between the rates of two hosts' clocks, per
  // mille.
  int64_t DriftPermille = 10;
};

// The ledger's view of a runner, for status pages.
struct LedgerRunner {
  RunnerAnnouncement Announcement;
  // Sum of the holders' bounds (see CreditLedger).
  uint32_t Committed = 0;
  uint32_t InFlight = 0;
  // True if the runner has not announced itself for RunnerLease.
  bool IsSilent = false;

  bool operator==(const LedgerRunner &) const = default;
};

// Grants the credits of one availability zone. Owned by the zone's leader; each
// new leader creates a new ledger. Not thread-safe.
//
// The bound of a holder on a runner is the most requests that it may have in
// flight there, whichever of the ledger's messages reach it and in whatever
// order. The ledger guarantees that for each runner the sum of the bounds of
// all holders does not exceed the runner's slots.
class CreditLedger {
public:
  // `now` is when the caller became leader. Until the leases of the preceding
  // leader have expired, the ledger only renews existing credits. Fails with
  // InvalidArgument if a lease or the request time is not positive.
  static Result<CreditLedger> create(LedgerOptions options, Instant now);

  // Processes a runner's heartbeat. A heartbeat of an older incarnation is
  // ignored. A runner that is leaving stays so until it restarts.
  void announce(const RunnerAnnouncement &announcement, Instant now);

  // Processes an entry host's report and returns its new credits. Returns an
  // empty optional if the report is not newer than the last one from this
  // holder, is for another zone, or refers to a later term than the ledger's.
  std::optional<CreditGrant> report(const EntryReport &report, Instant now);

  // Replaces LedgerOptions::EntryHosts, the entry hosts that must report before
  // a new leader may grant credits early.
  void expectEntryHosts(std::set<HostId> hosts);

  // Drops holders whose leases and requests have certainly ended, and runners
  // that no longer announce themselves. To be called about once a second.
  void tick(Instant now);

  std::vector<LedgerRunner> runners(Instant now) const;
  // True while credits of the preceding term may still be in use.
  bool isRenewalOnly(Instant now) const;

private:
  struct Runner {
    RunnerAnnouncement Announcement;
    Instant LastSeen;
  };
  struct HolderState {
    EntryReport Last;
    std::map<RunnerId, RunnerUse> Uses;
    // Grants that the holder has not confirmed yet, oldest first.
    std::deque<CreditGrant> UnconfirmedGrants;
    uint64_t LastSerial = 0;
    Instant ReportedAt;
    // From this instant on, unless it reports again, the holder has neither a
    // valid lease nor a request in progress.
    Instant ExpiresAt;
  };
  using CreditMap = std::map<RunnerId, uint32_t>;
  // How much of a runner one holder can use.
  struct RunnerCapacity {
    RunnerId Runner;
    // Slots not committed to other holders.
    uint32_t Available = 0;
    uint32_t Limit = Available;
    uint32_t InFlight = 0;
    uint32_t Held = 0;
    uint32_t Allotted = 0;
  };

  CreditLedger(LedgerOptions options, Instant now);

  Duration withDrift(Duration span) const;
  bool isUsable(const Runner &runner, Instant now) const;
  uint32_t boundOf(const HolderState &holder, const RunnerId &id) const;
  // Sum of all holders' bounds on the runner.
  uint32_t committed(const RunnerId &id) const;
  bool haveAllReported() const;
  void recordReport(HolderState &holder, const EntryReport &report);
  CreditMap renewals(const HolderState &holder) const;
  CreditMap allotments(const Holder &id, const HolderState &holder,
                       Instant now) const;
  std::vector<RunnerCapacity> capacitiesFor(const EntryId &entry,
                                            const HolderState &holder,
                                            Instant now) const;
  void allotEntry(const EntryId &entry, const Holder &id,
                  const HolderState &holder, Instant now,
                  CreditMap &creditsByRunner) const;
  // Entries for which other holders have queued more requests than there are
  // uncommitted slots.
  std::vector<EntryId> contendedFor(const Holder &id, Instant now) const;
  // Slots on the runners of `entry` that are not committed to any holder.
  uint32_t uncommitted(const EntryId &entry, Instant now) const;
  // Slots that the holder should have on all runners of `entry`.
  uint32_t targetSlots(const EntryId &entry, const Holder &id,
                       Instant now) const;
  CreditGrant issueGrant(HolderState &holder, const CreditMap &creditsByRunner,
                         bool isRenewal, Instant now);

  LedgerOptions Options;
  Instant StartedAt;
  // When all leases and requests of the preceding term have certainly ended.
  Instant GrantsFrom;
  std::map<RunnerId, Runner> Runners;
  std::map<Holder, HolderState> Holders;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_CREDIT_LEDGER_H_
