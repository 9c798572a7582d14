#include "jujube/entry/zone_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_join.h"

namespace jujube::entry {

ZoneDirectory::ZoneDirectory(runtime::PollLoop &loop, wire::Messenger &messages,
                             ZoneId own, const std::vector<Address> &ownPeers)
    : Loop(loop), Messages(messages), Own(std::move(own)) {
  clientOf(Own).setMembers(ownPeers);
}

wire::LeaderClient &ZoneDirectory::clientOf(const ZoneId &zone) {
  auto &client = Clients[zone];
  if (!client)
    client = std::make_unique<wire::LeaderClient>(Loop, Messages);
  return *client;
}

void ZoneDirectory::update(const std::vector<wire::HostStatus> &hosts) {
  std::map<ZoneId, std::vector<Address>> members;
  std::map<ZoneId, const wire::HostStatus *> leaders;
  for (const wire::HostStatus &host : hosts) {
    if (host.Host.Role != catalogue::HostRole::Zone)
      continue;
    members[host.Host.Zone].push_back(host.Host.Peer);
    const wire::HostStatus *&leader = leaders[host.Host.Zone];
    if (host.IsLeader && (!leader || leader->LeaderTerm < host.LeaderTerm))
      leader = &host;
  }
  for (auto &[zone, addresses] : members) {
    wire::LeaderClient &client = clientOf(zone);
    if (zone != Own)
      client.setMembers(std::move(addresses));
    const wire::HostStatus *leader = leaders[zone];
    if (!leader)
      continue;
    const ListedLeader listed{leader->Host.Peer, leader->LeaderTerm};
    if (std::exchange(Listed[zone], listed) != listed)
      client.announceLeader(listed.At);
  }
}

void ZoneDirectory::announceLeader(const ZoneId &zone, const Address &leader) {
  const auto it = Clients.find(zone);
  if (it != Clients.end())
    it->second->announceLeader(leader);
}

wire::LeaderClient *ZoneDirectory::find(const ZoneId &zone) {
  const auto it = Clients.find(zone);
  return it == Clients.end() ? nullptr : it->second.get();
}

std::vector<ZoneId> ZoneDirectory::zones() const {
  std::vector<ZoneId> all;
  std::ranges::transform(Clients, std::back_inserter(all),
                         [](const auto &item) { return item.first; });
  return all;
}

std::string ZoneDirectory::zoneNames() const {
  return absl::StrJoin(zones(), ", ", [](std::string *out, const ZoneId &zone) {
    out->append(zone.str());
  });
}

} // namespace jujube::entry
