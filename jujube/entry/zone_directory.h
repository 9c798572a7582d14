// The clients with which an entry host reaches the leaders of the zones.
#ifndef JUJUBE_ENTRY_ZONE_DIRECTORY_H_
#define JUJUBE_ENTRY_ZONE_DIRECTORY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messages.h"

namespace jujube::entry {

// Owns one client per availability zone. The schedulers of this host's own zone
// come from the settings, so that the zone keeps working when it is partitioned
// from the keepers; those of the other zones come from the keepers.
class ZoneDirectory {
public:
  ZoneDirectory(runtime::PollLoop &loop, wire::Messenger &messages, ZoneId own,
                const std::vector<Address> &ownPeers);

  // Applies the keepers' list of hosts. A zone that is no longer listed keeps
  // its last known schedulers. A leader is applied only when its listing
  // changes, because the list may still name a leader that was replaced since.
  void update(const std::vector<wire::HostStatus> &hosts);
  // Applies the announcement of a zone's new leader; ignores unknown zones.
  void announceLeader(const ZoneId &zone, const Address &leader);

  // Returns null if the zone is unknown.
  wire::LeaderClient *find(const ZoneId &zone);
  wire::LeaderClient &own() { return *Clients.at(Own); }
  std::vector<ZoneId> zones() const;
  // The zone names as "a, b, c", for error messages.
  std::string zoneNames() const;

private:
  // A leader as listed by the keepers.
  struct ListedLeader {
    Address At;
    Term Elected;
    bool operator==(const ListedLeader &) const = default;
  };

  wire::LeaderClient &clientOf(const ZoneId &zone);

  runtime::PollLoop &Loop;
  wire::Messenger &Messages;
  ZoneId Own;
  std::map<ZoneId, std::unique_ptr<wire::LeaderClient>> Clients;
  std::map<ZoneId, ListedLeader> Listed;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ZONE_DIRECTORY_H_
