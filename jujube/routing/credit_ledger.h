// The credit ledger of an availability zone: leases the slots of its runners to
// entry hosts, so that no runner ever has more requests in progress than slots.
//
// Owned by the zone's leader; a new leader builds a new one. Invariant: for
// each runner the sum of the bounds of all holders never exceeds its slots,
// where the bound of a holder is the most requests that it may have in flight
// there by any order of delivery of the messages.
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

// Settings of a ledger. Lease and MaxRequestTime must be those of the routers.
struct LedgerOptions {
  ZoneId Zone;
  Term LedgerTerm;
  // Entry hosts that may hold credits; once all have reported to this term the
  // ledger grants at once instead of waiting out its predecessor.
  std::set<HostId> EntryHosts;
  Duration Lease = Duration::seconds(2);
  // No request is in progress longer than this after it was sent.
  Duration MaxRequestTime = Duration::seconds(10);
  // A runner that has not announced itself for this span gets no credits.
  Duration RunnerLease = Duration::seconds(3);
  // Bound on the drift between two hosts' clocks, in thousandths of a span.
  int64_t DriftPermille = 10;
};

// A runner as the ledger sees it, for status pages.
struct LedgerRunner {
  RunnerAnnouncement Announcement;
  // Sum of the holders' bounds.
  uint32_t Committed = 0;
  uint32_t InFlight = 0;
  bool IsSilent = false;

  bool operator==(const LedgerRunner &) const = default;
};

class CreditLedger {
public:
  // `now` is when the caller became leader. Until the predecessor's leases have
  // run out credits are only renewed. Fails on spans that are not positive.
  static Result<CreditLedger> create(LedgerOptions options, Instant now);

  // Takes a runner's heartbeat. One of an older start, or that takes back a
  // leave of the same start, changes nothing.
  void announce(const RunnerAnnouncement &announcement, Instant now);

  // Takes an entry host's report and returns its new credits, or nothing for a
  // report that is older than one already taken or meant for another zone.
  std::optional<CreditGrant> report(const EntryReport &report, Instant now);

  // Changes the entry hosts to wait for after a change of leader.
  void expectEntryHosts(std::set<HostId> hosts);

  // Frees what dead holders and forgotten runners kept; to be called about once
  // a second.
  void tick(Instant now);

  std::vector<LedgerRunner> runners(Instant now) const;
  // True while a predecessor's credits may still be in use.
  bool isWaiting(Instant now) const;

private:
  struct Runner {
    RunnerAnnouncement Announcement;
    Instant LastSeen;
  };
  struct HolderState {
    EntryReport Last;
    std::map<RunnerId, RunnerUse> Uses;
    // Not confirmed yet, oldest first.
    std::deque<CreditGrant> Outstanding;
    uint64_t LastSerial = 0;
    Instant ReportedAt;
    // When nothing of it can be in progress any more unless it reports again.
    Instant GoneAt;
  };
  using Wanted = std::map<RunnerId, uint32_t>;
  // A runner as one holder could use it.
  struct Place {
    RunnerId Runner;
    // Slots that no other holder has.
    uint32_t Room = 0;
    uint32_t Limit = Room;
    uint32_t InFlight = 0;
    uint32_t Held = 0;
    uint32_t Given = 0;
  };

  CreditLedger(LedgerOptions options, Instant now);

  Duration withDrift(Duration span) const;
  bool isUsable(const Runner &runner, Instant now) const;
  uint32_t boundOf(const HolderState &holder, const RunnerId &id) const;
  uint32_t committed(const RunnerId &id) const;
  bool haveAllReported() const;
  void confirm(HolderState &holder, const EntryReport &report);
  Wanted renewals(const HolderState &holder) const;
  Wanted allotments(const Holder &id, const HolderState &holder,
                    Instant now) const;
  std::vector<Place> placesOf(const EntryId &entry, const HolderState &holder,
                              Instant now) const;
  void allotDesk(const EntryId &entry, const Holder &id,
                 const HolderState &holder, Instant now, Wanted &wanted) const;
  std::vector<EntryId> contendedFor(const Holder &id, Instant now) const;
  // Slots that no holder has.
  uint32_t uncommitted(const EntryId &entry, Instant now) const;
  uint32_t target(const EntryId &entry, const Holder &id, Instant now) const;
  CreditGrant issue(HolderState &holder, const Wanted &wanted, bool isRenewal,
                    Instant now);

  LedgerOptions Options;
  Instant StartedAt;
  Instant GrantsFrom;
  std::map<RunnerId, Runner> Runners;
  std::map<Holder, HolderState> Holders;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_CREDIT_LEDGER_H_
