// The runners that one entry host knows, its credits on them and their leases.
#ifndef JUJUBE_ROUTING_RUNNER_TABLE_H_
#define JUJUBE_ROUTING_RUNNER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/router_options.h"
#include "jujube/routing/runner_health.h"
#include "jujube/routing/types.h"

namespace jujube::routing {

// One runner as an entry host sees it.
struct KnownRunner {
  RunnerAnnouncement Announcement;
  Instant LastSeen;
  uint32_t Credits = 0;
  uint32_t InFlight = 0;
  RunnerHealth Health;
};

// Part of a router. A credit is used only while the lease of its zone's ledger
// is valid, which counts from when the answered report was sent.
class RunnerTable {
public:
  explicit RunnerTable(const RouterOptions &options);

  // Takes an announcement that is `age` old. One of an older start, or that
  // takes back a leave of the same start, changes nothing.
  void see(const RunnerAnnouncement &announcement, Duration age, Instant now);
  // Returns true if the grant is new and took credits away, so that the ledger
  // should learn soon what is free.
  bool apply(const CreditGrant &grant, Instant now);
  // Gives up credits of a contended entry that no request in flight uses, but
  // for `keep` of them; the next report tells the ledger.
  void giveBack(const ZoneId &zone, const EntryId &entry, uint32_t keep);
  // Starts a report: all but its demand is filled in.
  EntryReport beginReport(const ZoneId &zone, Instant now);

  KnownRunner *find(const RunnerId &id);
  const KnownRunner *find(const RunnerId &id) const;
  const std::map<RunnerId, KnownRunner> &all() const { return Runners; }

  // True if it may get new requests, credits aside.
  bool isUsable(const KnownRunner &runner, Instant now) const;
  uint32_t freeCredits(const KnownRunner &runner, Instant now) const;
  // The most credits to be used on it: fewer while its health is in doubt.
  uint32_t limitOf(const KnownRunner &runner, Instant now) const;
  Instant leaseEnd(const ZoneId &zone) const;
  bool isServed(const EntryId &entry, Instant now) const;
  bool isServedIn(const ZoneId &zone, const EntryId &entry, Instant now) const;
  // Credits that may be used on all runners of the entry.
  uint32_t capacityOf(const EntryId &entry, Instant now) const;
  // Those of them that no request in flight uses.
  uint32_t spareOf(const EntryId &entry, Instant now) const;
  std::vector<ZoneId> zones() const;

  uint32_t creditsIn(const ZoneId &zone) const;
  // Entries of the zone that other holders wait for.
  const std::vector<EntryId> &contendedIn(const ZoneId &zone) const;
  // Credits on the zone's runners of the entry that nothing in flight uses.
  uint32_t spareIn(const ZoneId &zone, const EntryId &entry) const;
  // When the last report to the zone was made.
  Instant lastReport(const ZoneId &zone) const;
  void setUrgent(const ZoneId &zone) { Leases[zone].IsUrgent = true; }
  bool isUrgent(const ZoneId &zone) const;

private:
  struct SentReport {
    uint64_t Sequence = 0;
    Instant SentAt;
  };
  // The lease of one zone's ledger.
  struct ZoneLease {
    Term LedgerTerm;
    uint64_t Serial = 0;
    Instant Until;
    uint32_t Credits = 0;
    uint64_t LastSequence = 0;
    Instant LastReport;
    bool IsUrgent = false;
    std::vector<EntryId> Contended;
    std::deque<SentReport> Reports;
  };

  std::optional<Instant> sentAt(const ZoneLease &lease,
                                uint64_t sequence) const;
  bool replaceCredits(const CreditGrant &grant);

  RouterOptions Options;
  Instant StartedAt;
  std::map<RunnerId, KnownRunner> Runners;
  std::map<ZoneId, ZoneLease> Leases;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_RUNNER_TABLE_H_
