#include "testing/failover_probe.h"

#include <signal.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::testing {
namespace {

constexpr char UrgentEntry[] = "callouts";
constexpr Duration FateWait = Duration::seconds(20);

Error cellError(const std::string &message) {
  return {ErrorKind::Unavailable, message, "see the logs of the cell"};
}

// Voters that the zone's leader hears from; 0 if there is no leader.
uint32_t votersOf(Cell &cell, const std::string &zone) {
  const auto fleet = cell.status();
  if (!isOk(fleet))
    return 0;
  const auto &zones = valueOf(fleet).Zones;
  const auto it =
      std::ranges::find(zones, ZoneId(zone), &api::ZoneStatus::Zone);
  return it == zones.end() ? 0 : it->Voters;
}

Result<fate::FateView> runUrgent(Cell &cell, const std::string &id) {
  Result<fate::FateView> fate = cellError("nothing was submitted");
  if (!eventually([&] {
        fate = cell.submit(id, UrgentEntry, "run_ms=20");
        return isOk(fate);
      }))
    return fate;
  return cell.fate(id, FateWait);
}

Status restoreMember(Cell &cell, const std::string &zone,
                     const std::string &member, LeaderFault fault,
                     uint32_t voters) {
  // Waits until the leader has noticed the loss. Otherwise the next fault could
  // remove a second voter before the first is a voter again.
  if (!eventually([&] { return votersOf(cell, zone) + 1 == voters; }))
    return cellError(absl::StrCat("the loss of ", member, " was not seen"));
  if (fault == LeaderFault::Kill)
    cell.restart(member);
  else
    cell.signal(member, SIGCONT);
  if (eventually([&] { return votersOf(cell, zone) == voters; }))
    return Ok{};
  return cellError(absl::StrCat(member, " did not become a voter again"));
}

} // namespace

Status prepareProbe(Cell &cell) {
  catalogue::Entry entry;
  entry.Id = EntryId(UrgentEntry);
  entry.Owner = TeamId("events");
  entry.Priority = catalogue::Urgency::Urgent;
  entry.Demand = Resources{1000, 512, 0};
  const auto receipt = cell.edit({EditId("failover-probe"), Revision{},
                                  catalogue::PutEntry{entry}, "test"});
  return isOk(receipt) ? Status(Ok{}) : Status(errorOf(receipt));
}

Result<FailoverSample> probeFailover(Cell &cell, const std::string &zone,
                                     LeaderFault fault, int run) {
  const std::string leader = cell.leaderOf(zone);
  const uint32_t voters = votersOf(cell, zone);
  if (leader.empty() || voters == 0)
    return cellError("the zone has no leader");
  const Instant lostAt = Clock::wall().now();
  cell.signal(leader, fault == LeaderFault::Kill ? SIGKILL : SIGSTOP);
  auto fate = runUrgent(cell, absl::StrCat(zone, ".failover-", run));
  const Status back = restoreMember(cell, zone, leader, fault, voters);
  if (!isOk(fate))
    return errorOf(fate);
  if (!isOk(back))
    return errorOf(back);
  FailoverSample sample{valueOf(std::move(fate)), {}, {}};
  sample.UntilAccepted = sample.Fate.AcceptedAt - lostAt;
  sample.UntilStarted = sample.Fate.StartedAt - lostAt;
  return sample;
}

} // namespace jujube::testing
