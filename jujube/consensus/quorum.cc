#include "jujube/consensus/quorum.h"

#include <algorithm>
#include <iterator>

namespace jujube::consensus {

const Member *findMember(const Membership &members, const HostId &host) {
  const auto it = std::ranges::find(members.Members, host, &Member::Host);
  return it == members.Members.end() ? nullptr : &*it;
}

std::vector<Member> votersOf(const Membership &members) {
  std::vector<Member> voters;
  std::ranges::copy_if(members.Members, std::back_inserter(voters),
                       &Member::IsVoter);
  return voters;
}

std::size_t voterCount(const Membership &members) {
  return static_cast<std::size_t>(
      std::ranges::count_if(members.Members, &Member::IsVoter));
}

std::size_t countVoters(const Membership &members,
                        const std::set<HostId> &hosts) {
  return static_cast<std::size_t>(
      std::ranges::count_if(members.Members, [&](const Member &member) {
        return member.IsVoter && hosts.contains(member.Host);
      }));
}

std::size_t quorumSize(const Membership &members, std::size_t configured) {
  return std::max(majorityOf(voterCount(members)), majorityOf(configured));
}

} // namespace jujube::consensus
