// The zone leader's knowledge of the runners of its availability zone.
#ifndef JUJUBE_ZONE_RUNNER_DESK_H_
#define JUJUBE_ZONE_RUNNER_DESK_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/routing/credit_ledger.h"
#include "jujube/wire/messages.h"

namespace jujube::zone {

// Grants credits to entry hosts and passes announcements on with the grants.
// Made anew by each new leader.
class RunnerDesk {
public:
  static Result<std::unique_ptr<RunnerDesk>> create(const ZoneId &zone,
                                                    Term term, Instant now);

  void announce(const routing::RunnerAnnouncement &runner, Instant now);
  // The answer to an entry host's report, or nothing for a stale one.
  std::optional<wire::CreditNews> report(const routing::EntryReport &report,
                                         Instant now);
  void expectEntryHosts(const std::vector<wire::HostStatus> &hosts);
  // Entry hosts that reported once and are silent since `span`; each is
  // returned once.
  std::vector<HostId> silentHosts(Duration span, Instant now);
  void tick(Instant now) { Ledger.tick(now); }

private:
  struct Seen {
    routing::RunnerAnnouncement Runner;
    Instant At;
    // Position in the sequence of changes and of due refreshes.
    uint64_t Change = 0;
    Instant ChangedAt;
  };
  struct EntryHost {
    Instant LastReport;
    Incarnation Start;
    uint64_t SentChange = 0;
  };

  explicit RunnerDesk(routing::CreditLedger ledger)
      : Ledger(std::move(ledger)) {}

  routing::CreditLedger Ledger;
  std::map<RunnerId, Seen> Runners;
  std::map<HostId, EntryHost> EntryHosts;
  uint64_t LastChange = 0;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_RUNNER_DESK_H_
