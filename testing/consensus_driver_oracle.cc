#include "testing/consensus_driver_oracle.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jujube/consensus/quorum.h"

namespace jujube::testing {

namespace {

// FNV-1a over bytes, so that digests are equal across runs.
constexpr uint64_t FnvPrime = 1099511628211U;

void mix(uint64_t &digest, const std::string &text) {
  for (const char c : text)
    digest = (digest ^ static_cast<unsigned char>(c)) * FnvPrime;
}

std::string nameOf(const consensus::GroupId &group) {
  return absl::StrCat(group.Founder.str(), "#", group.FounderIncarnation.Value);
}

} // namespace

void AppliedState::apply(const consensus::LogEntry &entry) {
  Last = entry.Index;
  mix(Digest, absl::StrCat(entry.Index.Value, "/", entry.At.Value, "/"));
  mix(Digest, entry.Payload);
}

std::string AppliedState::encode() const {
  return absl::StrCat(Last.Value, " ", Digest, " ", std::string(300, 'x'));
}

AppliedState AppliedState::decode(const std::string &text) {
  AppliedState state;
  std::size_t used = 0;
  state.Last.Value = std::stoull(text, &used);
  state.Digest = std::stoull(text.substr(used));
  return state;
}

void ConsensusOracle::fail(std::string violation) {
  if (!Violation)
    Violation = std::move(violation);
}

void ConsensusOracle::onLeader(const consensus::GroupId &group, Term term,
                               const HostId &host, Incarnation start) {
  const std::pair who(host, start);
  const auto [it, isNew] = Groups[group].Leaders.emplace(term, who);
  if (!isNew && it->second != who)
    fail(absl::StrCat("two leaders of ", nameOf(group), " in term ", term.Value,
                      ": ", it->second.first.str(), " and ", host.str()));
}

void ConsensusOracle::onApplied(const consensus::GroupId &group,
                                const consensus::LogEntry &entry,
                                const AppliedState &state) {
  Group &known = Groups[group];
  const auto [it, isNew] = known.Committed.emplace(entry.Index, entry);
  if (!isNew && it->second != entry)
    fail(absl::StrCat("entry ", entry.Index.Value, " of ", nameOf(group),
                      " differs between members"));
  const auto [at, isFirst] = known.States.emplace(entry.Index, state);
  if (!isFirst && at->second != state)
    fail(absl::StrCat("state at ", entry.Index.Value, " of ", nameOf(group),
                      " differs between members"));
  if (isNew && entry.Kind == consensus::EntryKind::Membership)
    checkMembership(known, entry);
}

// Checks that voters change one at a time; a group that allows recovery may
// remove several voters at once.
void ConsensusOracle::checkMembership(Group &group,
                                      const consensus::LogEntry &entry) {
  if (entry.Index < group.MembersAt)
    return;
  if (group.Members) {
    const auto isKept = [&](const consensus::Member &voter) {
      const consensus::Member *now =
          consensus::findMember(entry.Members, voter.Host);
      return now != nullptr && now->IsVoter &&
             now->HostIncarnation == voter.HostIncarnation;
    };
    const auto before = consensus::votersOf(*group.Members);
    const auto kept = std::ranges::count_if(before, isKept);
    const auto added =
        static_cast<std::ptrdiff_t>(consensus::voterCount(entry.Members)) -
        kept;
    const auto removed = static_cast<std::ptrdiff_t>(before.size()) - kept;
    if (added > 1 || (!AllowsRecovery && added + removed > 1))
      fail(absl::StrCat("entry ", entry.Index.Value, " changes ",
                        added + removed, " voters at once"));
  }
  group.Members = entry.Members;
  group.MembersAt = entry.Index;
}

void ConsensusOracle::onRestored(const consensus::GroupId &group,
                                 const AppliedState &state) {
  const auto it = Groups[group].States.find(state.Last);
  if (it == Groups[group].States.end() || it->second != state)
    fail(absl::StrCat("a snapshot at ", state.Last.Value, " of ", nameOf(group),
                      " differs from the applied entries"));
}

void ConsensusOracle::onAcknowledged(const consensus::GroupId &group,
                                     LogIndex index) {
  LogIndex &newest = Groups[group].Acknowledged;
  newest = std::max(newest, index);
}

LogIndex ConsensusOracle::acknowledged(const consensus::GroupId &group) const {
  const auto it = Groups.find(group);
  return it == Groups.end() ? LogIndex{} : it->second.Acknowledged;
}

void ConsensusOracle::onServing(const std::vector<Server> &servers) {
  if (servers.size() > 1)
    fail(absl::StrCat(servers[0].Host.str(), " of ", nameOf(servers[0].Group),
                      " and ", servers[1].Host.str(), " of ",
                      nameOf(servers[1].Group), " hold leases at once"));
  for (const Server &server : servers)
    if (server.Applied < acknowledged(server.Group))
      fail(absl::StrCat(server.Host.str(), " serves at entry ",
                        server.Applied.Value, " though entry ",
                        acknowledged(server.Group).Value, " was acknowledged"));
}

} // namespace jujube::testing
