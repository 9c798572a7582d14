// Status and metrics commands of the entry task.
#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "jujube/entry/entry_task.h"

namespace jujube::entry {
namespace {

constexpr Duration StatusTimeout = Duration::millis(800);

void append(const metrics::Snapshot &from, metrics::Snapshot &to) {
  std::ranges::copy(from.Counters, std::back_inserter(to.Counters));
  std::ranges::copy(from.Histograms, std::back_inserter(to.Histograms));
}

} // namespace

api::FleetStatus EntryTask::localStatus() const {
  api::FleetStatus status;
  status.Host = Settings.Self;
  status.Zone = Settings.Zone;
  status.Catalogue = Catalogue.follower().latest();
  status.CatalogueAge = Catalogue.follower().age(Loop.now());
  status.IsLeaving = IsLeaving;
  status.Runners = Live->runners();
  return status;
}

void EntryTask::run(const api::GetStatus &, const CommandReplyHook &done) {
  struct StatusCollector {
    api::FleetStatus Status;
    std::size_t Open = 0;
  };
  auto collector = std::make_shared<StatusCollector>();
  collector->Status = localStatus();
  const std::vector<ZoneId> zones = Zones.zones();
  collector->Open = zones.size();
  for (const ZoneId &zone : zones) {
    Zones.find(zone)->callOnce(
        wire::ReadZone{}, StatusTimeout,
        [collector, zone, done](const Result<wire::Message> &reply) {
          const auto *news = isOk(reply)
                                 ? std::get_if<wire::ZoneReply>(&valueOf(reply))
                                 : nullptr;
          // An unreachable zone is listed without a leader.
          api::ZoneStatus unknown;
          unknown.Zone = zone;
          collector->Status.Zones.push_back(news ? news->Status : unknown);
          if (--collector->Open > 0)
            return;
          std::ranges::sort(collector->Status.Zones, {},
                            &api::ZoneStatus::Zone);
          done(api::Reply(std::move(collector->Status)));
        });
  }
}

void EntryTask::run(const api::GetMetrics &, const CommandReplyHook &done) {
  Zones.own().callOnce(wire::ReadZone{}, StatusTimeout,
                       [this, done](const Result<wire::Message> &reply) {
                         metrics::Snapshot all = Metrics.snapshot();
                         Messages.addTraffic(catalogue::HostRole::Entry, all);
                         const auto *news =
                             isOk(reply)
                                 ? std::get_if<wire::ZoneReply>(&valueOf(reply))
                                 : nullptr;
                         if (news)
                           append(news->Metrics, all);
                         addKeeperMetrics(std::move(all), done);
                       });
}

void EntryTask::addKeeperMetrics(metrics::Snapshot own,
                                 const CommandReplyHook &done) {
  Keepers.callOnce(
      wire::ReadMetrics{}, StatusTimeout,
      [own = std::move(own), done](const Result<wire::Message> &reply) {
        metrics::Snapshot all = own;
        const auto *news =
            isOk(reply) ? std::get_if<wire::MetricsReply>(&valueOf(reply))
                        : nullptr;
        if (news)
          append(news->Metrics, all);
        done(api::Reply(std::move(all)));
      });
}

} // namespace jujube::entry
