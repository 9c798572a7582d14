#include "jujube/zone/runner_registry.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace jujube::zone {
namespace {

// An unchanged announcement is forwarded again after this period, so that entry
// hosts know that the runner is alive.
constexpr Duration RefreshPeriod = Duration::seconds(1);
// A runner that has not announced itself for this long is removed.
constexpr Duration ForgetAfter = Duration::seconds(10);

} // namespace

Result<std::unique_ptr<RunnerRegistry>>
RunnerRegistry::create(const ZoneId &zone, Term term, Instant now) {
  routing::LedgerOptions options;
  options.Zone = zone;
  options.LedgerTerm = term;
  auto ledger = routing::CreditLedger::create(std::move(options), now);
  if (!isOk(ledger))
    return errorOf(ledger);
  return std::unique_ptr<RunnerRegistry>(
      new RunnerRegistry(valueOf(std::move(ledger))));
}

void RunnerRegistry::announce(const routing::RunnerAnnouncement &runner,
                              Instant now) {
  Ledger.announce(runner, now);
  RunnerEntry &entry = Runners[runner.Runner];
  if (entry.ChangeNumber != 0 && runner.Start < entry.Runner.Start)
    return;
  const bool isChanged = entry.ChangeNumber == 0 || runner != entry.Runner;
  if (isChanged || entry.ChangedAt + RefreshPeriod <= now) {
    entry.ChangeNumber = ++LastChange;
    entry.ChangedAt = now;
  }
  entry.Runner = runner;
  entry.LastSeen = now;
}

std::optional<wire::CreditReply>
RunnerRegistry::report(const routing::EntryReport &report, Instant now) {
  auto grant = Ledger.report(report, now);
  if (!grant)
    return std::nullopt;
  EntryHost &host = EntryHosts[report.From.Host];
  if (host.Start != report.From.Start)
    host = EntryHost{now, report.From.Start, 0};
  host.LastReport = now;
  std::erase_if(Runners, [now](const auto &item) {
    return item.second.LastSeen + ForgetAfter <= now;
  });
  wire::CreditReply news{std::move(*grant), {}};
  for (const auto &[id, entry] : Runners)
    if (entry.ChangeNumber > host.LastSentChange)
      news.Runners.push_back({entry.Runner, now - entry.LastSeen});
  host.LastSentChange = LastChange;
  return news;
}

void RunnerRegistry::expectEntryHosts(
    const std::vector<wire::HostStatus> &hosts) {
  std::set<HostId> entries;
  for (const wire::HostStatus &host : hosts)
    if (host.Host.Role == catalogue::HostRole::Entry)
      entries.insert(host.Host.Id);
  if (!entries.empty())
    Ledger.expectEntryHosts(std::move(entries));
}

std::vector<HostId> RunnerRegistry::takeSilentHosts(Duration span,
                                                    Instant now) {
  std::vector<HostId> silent;
  for (const auto &[id, host] : EntryHosts)
    if (host.LastReport + span <= now)
      silent.push_back(id);
  for (const HostId &id : silent)
    EntryHosts.erase(id);
  return silent;
}

} // namespace jujube::zone
