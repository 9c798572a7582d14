// The runners of an availability zone, as its leader knows them.
#ifndef JUJUBE_ZONE_RUNNER_REGISTRY_H_
#define JUJUBE_ZONE_RUNNER_REGISTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/routing/credit_ledger.h"
#include "jujube/wire/messages.h"

namespace jujube::zone {

// Grants credits to entry hosts and forwards runner announcements with the
// grants. Owned by the zone task; each new leader starts with an empty registry
// and learns the runners from their announcements.
class RunnerRegistry {
public:
  static Result<std::unique_ptr<RunnerRegistry>> create(const ZoneId &zone,
                                                        Term term, Instant now);

  void announce(const routing::RunnerAnnouncement &runner, Instant now);
  // Returns the reply to an entry host's report; empty if the report is stale.
  std::optional<wire::CreditReply> report(const routing::EntryReport &report,
                                          Instant now);
  // Tells the ledger which entry hosts exist. Ignored while `hosts` contains no
  // entry host.
  void expectEntryHosts(const std::vector<wire::HostStatus> &hosts);
  // Removes and returns the entry hosts whose last report is at least `span`
  // old.
  std::vector<HostId> takeSilentHosts(Duration span, Instant now);
  void tick(Instant now) { Ledger.tick(now); }

private:
  struct RunnerEntry {
    routing::RunnerAnnouncement Runner;
    Instant LastSeen;
    // Sequence number of the runner's latest change or refresh; 0 if none.
    uint64_t ChangeNumber = 0;
    Instant ChangedAt;
  };
  struct EntryHost {
    Instant LastReport;
    Incarnation Start;
    uint64_t LastSentChange = 0;
  };

  explicit RunnerRegistry(routing::CreditLedger ledger)
      : Ledger(std::move(ledger)) {}

  routing::CreditLedger Ledger;
  std::map<RunnerId, RunnerEntry> Runners;
  std::map<HostId, EntryHost> EntryHosts;
  uint64_t LastChange = 0;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_RUNNER_REGISTRY_H_
