// The runners that an entry host knows, its credits on them and the leases of
// the credits.
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

// An entry host's view of a runner.
struct KnownRunner {
  RunnerAnnouncement Announcement;
  Instant LastSeen;
  uint32_t Credits = 0;
  uint32_t InFlight = 0;
  RunnerHealth Health;
};

// Part of a Router; not thread-safe. Credits of a zone are usable only while
// the lease of the zone's ledger is valid. A lease counts from when the report
// that the grant answers was sent, so that it expires here before the ledger
// grants the slots to another holder.
class RunnerTable {
public:
  explicit RunnerTable(const RouterOptions &options);

  // Processes an announcement that the runner made `age` ago. An announcement
  // of an older incarnation is ignored. A runner that is leaving stays so until
  // it restarts.
  void recordAnnouncement(const RunnerAnnouncement &announcement, Duration age,
                          Instant now);
  // Replaces the credits of the grant's zone. Returns true if the grant reduced
  // the slots that this entry host occupies: the next report should then be
  // sent soon, so that the ledger can grant them to others. A stale or repeated
  // grant changes no credits, but a repeated one may extend the lease.
  bool applyGrant(const CreditGrant &grant, Instant now);
  // Returns unused credits on runners of `entry` in `zone`, except for `keep`
  // of them. The next report to the zone tells the ledger.
  void returnCredits(const ZoneId &zone, const EntryId &entry, uint32_t keep);
  // Creates the next report to `zone`, except for Uptime and Demand, which the
  // caller fills in.
  EntryReport beginReport(const ZoneId &zone, Instant now);

  // Returns null if the runner is unknown.
  KnownRunner *find(const RunnerId &id);
  const KnownRunner *find(const RunnerId &id) const;
  const std::map<RunnerId, KnownRunner> &all() const { return Runners; }

  // True if the runner may get new requests, regardless of credits: it is not
  // leaving, silent or suspended.
  bool isUsable(const KnownRunner &runner, Instant now) const;
  // Requests that may be sent to the runner now.
  uint32_t freeCredits(const KnownRunner &runner, Instant now) const;
  // The most credits to use on the runner: 0 if it is not usable, 1 on
  // probation.
  uint32_t limitOf(const KnownRunner &runner, Instant now) const;
  // When the zone's credits expire; Instant() before the first grant.
  Instant leaseEnd(const ZoneId &zone) const;
  // True if the entry has a usable runner, anywhere or in `zone`.
  bool isServed(const EntryId &entry, Instant now) const;
  bool isServedIn(const ZoneId &zone, const EntryId &entry, Instant now) const;
  // Usable credits on all runners of the entry, in use or free.
  uint32_t capacityOf(const EntryId &entry, Instant now) const;
  // Free credits on all runners of the entry.
  uint32_t spareOf(const EntryId &entry, Instant now) const;
  // The router's own zone and those of all known runners.
  std::vector<ZoneId> zones() const;

  // Total of the latest grant of the zone; 0 once a report finds it expired.
  uint32_t creditsIn(const ZoneId &zone) const;
  // Entries of the zone that other holders have requests queued for.
  const std::vector<EntryId> &contendedIn(const ZoneId &zone) const;
  // Credits on the zone's runners of the entry that no request in flight uses,
  // whether or not they are usable.
  uint32_t spareIn(const ZoneId &zone, const EntryId &entry) const;
  // When the latest report to the zone was created.
  Instant lastReport(const ZoneId &zone) const;
  // Makes the next report to the zone due after ReportGap instead of a full
  // period.
  void setUrgent(const ZoneId &zone) { Leases[zone].IsUrgent = true; }
  bool isUrgent(const ZoneId &zone) const;

private:
  struct SentReport {
    uint64_t Sequence = 0;
    Instant SentAt;
  };
  // The lease on the credits of one zone.
  struct ZoneLease {
    Term LedgerTerm;
    uint64_t Serial = 0;
    Instant Until;
    uint32_t Credits = 0;
    uint64_t LastSequence = 0;
    Instant LastReport;
    bool IsUrgent = false;
    std::vector<EntryId> Contended;
    // Reports that a grant may still answer, oldest first.
    std::deque<SentReport> Reports;
  };

  // Returns an empty optional for a report that is no longer remembered.
  std::optional<Instant> sentAt(const ZoneLease &lease,
                                uint64_t sequence) const;
  // Returns true if this freed slots, as for applyGrant().
  bool replaceCredits(const CreditGrant &grant);

  RouterOptions Options;
  Instant StartedAt;
  std::map<RunnerId, KnownRunner> Runners;
  std::map<ZoneId, ZoneLease> Leases;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_RUNNER_TABLE_H_
