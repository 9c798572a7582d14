// Quorum arithmetic over the members of a group.
#ifndef JUJUBE_CONSENSUS_QUORUM_H_
#define JUJUBE_CONSENSUS_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/consensus/types.h"

namespace jujube::consensus {

constexpr std::size_t majorityOf(std::size_t n) { return n / 2 + 1; }

// The member on `host`; null if there is none.
const Member *findMember(const Membership &members, const HostId &host);
// The voters, in the order of the membership.
std::vector<Member> votersOf(const Membership &members);
std::size_t voterCount(const Membership &members);
// The number of voters among `hosts`.
std::size_t countVoters(const Membership &members,
                        const std::set<HostId> &hosts);

// The number of voters that have to agree: a majority of the voters, and at
// least a majority of the `configured` hosts. The lower bound prevents two
// groups from having a quorum at the same time, see docs/CONSENSUS.md.
std::size_t quorumSize(const Membership &members, std::size_t configured);

// The largest value that at least `quorum` voters have reached; `fallback` if
// there are fewer voters than `quorum`.
template <typename T>
T quorumValue(const Membership &members, std::size_t quorum,
              const std::function<T(const Member &)> &value, T fallback) {
  std::vector<T> values;
  for (const Member &member : members.Members)
    if (member.IsVoter)
      values.push_back(value(member));
  if (quorum == 0 || values.size() < quorum)
    return fallback;
  std::ranges::sort(values, std::greater<>());
  return values[quorum - 1];
}

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_QUORUM_H_
