#include "jujube/zone/runner_desk.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace jujube::zone {
namespace {

// An announcement without news is passed on again after this span, so that
// entry hosts know that the runner is alive.
constexpr Duration RefreshPeriod = Duration::seconds(1);
// A runner that was silent this long is forgotten.
constexpr Duration ForgetAfter = Duration::seconds(10);

} // namespace

Result<std::unique_ptr<RunnerDesk>> RunnerDesk::create(const ZoneId &zone,
                                                       Term term, Instant now) {
  routing::LedgerOptions options;
  options.Zone = zone;
  options.LedgerTerm = term;
  auto ledger = routing::CreditLedger::create(std::move(options), now);
  if (!isOk(ledger))
    return errorOf(ledger);
  return std::unique_ptr<RunnerDesk>(
      new RunnerDesk(valueOf(std::move(ledger))));
}

void RunnerDesk::announce(const routing::RunnerAnnouncement &runner,
                          Instant now) {
  Ledger.announce(runner, now);
  Seen &seen = Runners[runner.Runner];
  if (seen.Change != 0 && runner.Start < seen.Runner.Start)
    return;
  const bool isNews = seen.Change == 0 || runner != seen.Runner;
  if (isNews || seen.ChangedAt + RefreshPeriod <= now) {
    seen.Change = ++LastChange;
    seen.ChangedAt = now;
  }
  seen.Runner = runner;
  seen.At = now;
}

std::optional<wire::CreditNews>
RunnerDesk::report(const routing::EntryReport &report, Instant now) {
  auto grant = Ledger.report(report, now);
  if (!grant)
    return std::nullopt;
  EntryHost &host = EntryHosts[report.From.Host];
  if (host.Start != report.From.Start)
    host = EntryHost{now, report.From.Start, 0};
  host.LastReport = now;
  std::erase_if(Runners, [now](const auto &item) {
    return item.second.At + ForgetAfter <= now;
  });
  wire::CreditNews news{std::move(*grant), {}};
  for (const auto &[id, seen] : Runners)
    if (seen.Change > host.SentChange)
      news.Runners.push_back({seen.Runner, now - seen.At});
  host.SentChange = LastChange;
  return news;
}

void RunnerDesk::expectEntryHosts(const std::vector<wire::HostStatus> &hosts) {
  std::set<HostId> entries;
  for (const wire::HostStatus &host : hosts)
    if (host.Host.Role == catalogue::HostRole::Entry)
      entries.insert(host.Host.Id);
  if (!entries.empty())
    Ledger.expectEntryHosts(std::move(entries));
}

std::vector<HostId> RunnerDesk::silentHosts(Duration span, Instant now) {
  std::vector<HostId> silent;
  for (const auto &[id, host] : EntryHosts)
    if (host.LastReport + span <= now)
      silent.push_back(id);
  for (const HostId &id : silent)
    EntryHosts.erase(id);
  return silent;
}

} // namespace jujube::zone
