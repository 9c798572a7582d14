// How an entry host reaches the leaders of the availability zones.
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

// One client per zone. The own zone's schedulers are known from the settings,
// so that the zone goes on when it is cut off; the others from the keepers.
class ZoneDirectory {
public:
  ZoneDirectory(runtime::PollLoop &loop, wire::Messenger &messages, ZoneId own,
                const std::vector<Address> &ownPeers);

  // Takes the keepers' list of hosts. A zone that is not listed any more keeps
  // its last known schedulers. A listed leader counts once: the list may still
  // name one that was replaced since.
  void update(const std::vector<wire::HostStatus> &hosts);
  // Takes the announcement of a zone's new leader.
  void takeLeader(const ZoneId &zone, const Address &leader);

  // Null if the zone is not known.
  wire::LeaderClient *find(const ZoneId &zone);
  wire::LeaderClient &own() { return *Clients.at(Own); }
  std::vector<ZoneId> zones() const;
  // "a, b, c", for error messages.
  std::string zoneNames() const;

private:
  // A leader as the keepers list it.
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
