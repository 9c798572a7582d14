#include "jujube/consensus/node.h"

#include <algorithm>
#include <utility>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

namespace {

Status checkState(const DurableState &state) {
  LogIndex last =
      state.LatestSnapshot ? state.LatestSnapshot->Last : LogIndex{};
  for (const LogEntry &entry : state.Entries) {
    if (entry.Index != last.next())
      return Error{
          ErrorKind::CorruptData,
          "the log has a gap after entry " + std::to_string(last.Value),
          "clear this host's data folder and let the host rejoin its group"};
    last = entry.Index;
  }
  return Ok{};
}

bool isRequest(const Body &body) {
  return std::holds_alternative<AppendRequest>(body) ||
         std::holds_alternative<SnapshotChunk>(body) ||
         std::holds_alternative<PreVoteRequest>(body) ||
         std::holds_alternative<VoteRequest>(body);
}

bool isFromLeader(const Body &body) {
  return std::holds_alternative<AppendRequest>(body) ||
         std::holds_alternative<SnapshotChunk>(body);
}

bool isReply(const Body &body) {
  return std::holds_alternative<AppendReply>(body) ||
         std::holds_alternative<SnapshotReply>(body) ||
         std::holds_alternative<PreVoteReply>(body) ||
         std::holds_alternative<VoteReply>(body);
}

} // namespace

Result<Node> Node::create(Options options, DurableState initial,
                          std::mt19937_64 random, Instant now) {
  if (Status status = checkOptions(options); !isOk(status))
    return errorOf(status);
  if (Status status = checkState(initial); !isOk(status))
    return errorOf(status);
  return Node(std::move(options), std::move(initial), random, now);
}

Node::Node(Options options, DurableState initial, std::mt19937_64 random,
           Instant now)
    : Settings(std::move(options)), Random(random), Hard(initial.Hard),
      Entries(std::move(initial)), Finder(now, Random()), NextProbe(now) {
  Commit = Entries.snapshotIndex();
  Applied = Commit;
  SyncedIndex = Entries.last();
  // An earlier run of this host may have acknowledged a message of a leader
  // just before it ended, so that the lease of this leader may still be valid.
  RefuseUntil = now + voteRefusal(Settings);
  ElectionAt = RefuseUntil + randomDelay();
  LastLeaderContact = now;
  LastReport = RoleChanged{CurrentRole, Hard.Current, Hard.Group, Leader};
}

Actions Node::tick(Instant now) {
  if (IsSuperseded)
    return {};
  Now = now;
  if (CurrentRole == Role::Leader) {
    tickLeader(now);
    return finish();
  }
  if (!Hard.Group.isBlank() && now >= ElectionAt) {
    Leader = HostId();
    ElectionAt = now + voteRefusal(Settings) / 2 + randomDelay();
    if (isVoter())
      startPreVote(now);
  }
  if (!knowsLeader())
    discoverGroup(now);
  return finish();
}

Actions Node::receive(const HostId &from, const Message &message, Instant now) {
  const bool isForOther = message.ToIncarnation.Value != 0 &&
                          message.ToIncarnation != Settings.HostIncarnation;
  if (IsSuperseded || isForOther || from == Settings.Self.Host)
    return {};
  Now = now;
  dispatch(from, message, now);
  return finish();
}

void Node::dispatch(const HostId &from, const Message &message, Instant now) {
  const Body &body = message.What;
  if (const auto *request = std::get_if<Probe>(&body))
    return handle(from, message, *request, now);
  if (const auto *response = std::get_if<ProbeReply>(&body))
    return handle(from, message, *response, now);
  if (message.Group.isBlank())
    return;
  // A blank host joins a group only after every lease that relies on
  // acknowledgements of an earlier incarnation of this host has expired.
  if (Hard.Group.isBlank() && isRequest(body) &&
      message.ToIncarnation == Settings.HostIncarnation && now >= RefuseUntil)
    joinGroup(message.Group);
  if (message.Group != Hard.Group)
    return;
  if (isReply(body) && message.At > Hard.Current)
    return becomeFollower(message.At, HostId(), now);
  if (isFromLeader(body) && message.At < Hard.Current)
    return reply(from, message, AppendReply{});
  if (isFromLeader(body)) {
    if (message.At > Hard.Current || CurrentRole != Role::Follower)
      becomeFollower(message.At, from, now);
    onLeaderContact(from, now);
  }
  std::visit(
      [&](const auto &typedBody) {
        using T = std::decay_t<decltype(typedBody)>;
        if constexpr (!std::is_same_v<T, Probe> &&
                      !std::is_same_v<T, ProbeReply>)
          handle(from, message, typedBody, now);
      },
      body);
}

Actions Node::propose(uint64_t proposalId, std::string payload, Instant now) {
  Now = now;
  if (!mayServe(now)) {
    const std::string remedy =
        Leader.empty() || Leader == Settings.Self.Host
            ? "retry once a leader is elected"
            : "send the proposal to the leader, " + Leader.str();
    PendingActions.emplace_back(ProposalRefused{
        proposalId, Error{ErrorKind::NotLeader,
                          "this host is not the leader of its group", remedy}});
    return finish();
  }
  if (payload.size() > Settings.MaxEntryBytes) {
    PendingActions.emplace_back(ProposalRefused{
        proposalId, Error{ErrorKind::BodyTooLarge,
                          "the change exceeds the size limit of a log entry",
                          "split the change into several smaller ones"}});
    return finish();
  }
  if (UncommittedBytes + payload.size() > Settings.MaxUncommittedBytes) {
    PendingActions.emplace_back(ProposalRefused{
        proposalId, Error{ErrorKind::Overloaded,
                          "too many uncommitted bytes wait for replication",
                          "retry later"}});
    return finish();
  }
  appendLocal(EntryKind::Command, std::move(payload), {});
  Proposals.emplace(Entries.last(), proposalId);
  updateCommit();
  return finish();
}

Actions Node::persisted(uint64_t serial, Instant now) {
  Now = now;
  SyncedSerial = std::max(SyncedSerial, serial);
  const bool wasForming = SyncedIndex.Value == 0;
  while (!Unsynced.empty() && Unsynced.front().first <= SyncedSerial) {
    SyncedIndex = Unsynced.front().second;
    Unsynced.pop_front();
  }
  sendDeferred();
  if (CurrentRole == Role::Leader) {
    HasUnsent |= wasForming;
    updateCommit();
  }
  return finish();
}

void Node::compact(LogIndex upTo, std::string snapshot) {
  if (upTo <= Entries.snapshotIndex() || upTo > Applied)
    return;
  Entries.compact(upTo, std::move(snapshot), Settings.RetainBytes);
}

Instant Node::nextWake() const {
  if (IsSuperseded)
    return Instant::never();
  if (Applied < Commit)
    return Instant();
  if (CurrentRole == Role::Leader) {
    if (HasUnsent)
      return Instant();
    Instant next = Now + Settings.Heartbeat;
    for (const auto &[host, peer] : Peers)
      next = std::min(next, peer.NextHeartbeat);
    return next;
  }
  const Instant probe = knowsLeader() ? Instant::never() : NextProbe;
  return Hard.Group.isBlank() ? probe : std::min(probe, ElectionAt);
}

std::optional<Address> Node::leaderAddress() const {
  if (Leader.empty())
    return std::nullopt;
  return addressOf(Leader);
}

Actions Node::finish() {
  applyCommitted();
  persistChanges();
  reportRole();
  return std::exchange(PendingActions, {});
}

void Node::applyCommitted() {
  std::size_t bytes = 0;
  while (Applied < Commit && bytes < Settings.MaxApplyBytes) {
    Applied = Applied.next();
    const LogEntry &entry = Entries.at(Applied);
    bytes += sizeOf(entry);
    UncommittedBytes -= std::min(UncommittedBytes, sizeOf(entry));
    Apply action{entry, std::nullopt};
    if (const auto it = Proposals.find(Applied); it != Proposals.end()) {
      action.ProposalId = it->second;
      Proposals.erase(it);
    }
    PendingActions.emplace_back(std::move(action));
  }
}

void Node::persistChanges() {
  const bool hasChanges =
      HasNewHard || NewTruncateFrom.Value != 0 || NewFrom.has_value();
  if (Settings.IsDurable && hasChanges) {
    Persist action;
    action.Serial = ++LastSerial;
    if (HasNewHard)
      action.State = Hard;
    action.TruncateFrom = NewTruncateFrom;
    if (NewFrom)
      action.Entries = Entries.slice(*NewFrom, SIZE_MAX);
    Unsynced.emplace_back(LastSerial, Entries.last());
    PendingActions.emplace_back(std::move(action));
  }
  if (!Settings.IsDurable)
    SyncedIndex = Entries.last();
  HasNewHard = false;
  NewTruncateFrom = LogIndex{};
  NewFrom.reset();
  for (Send &held : NewDeferredSends)
    DeferredSends.push_back(DeferredSend{LastSerial, std::move(held)});
  NewDeferredSends.clear();
  if (!Settings.IsDurable)
    SyncedSerial = LastSerial;
  sendDeferred();
}

void Node::sendDeferred() {
  while (!DeferredSends.empty() &&
         DeferredSends.front().Serial <= SyncedSerial) {
    PendingActions.emplace_back(std::move(DeferredSends.front().Outgoing));
    DeferredSends.pop_front();
  }
}

void Node::reportRole() {
  RoleChanged report{CurrentRole, Hard.Current, Hard.Group, Leader};
  if (CurrentRole == Role::Leader && Applied < ReadyIndex) {
    report.Now = Role::Candidate;
    report.Leader = HostId();
  }
  if (report == LastReport)
    return;
  LastReport = report;
  PendingActions.emplace_back(std::move(report));
}

Message Node::messageTo(Incarnation toStart, Body body) const {
  return Message{Hard.Group, Hard.Current, Settings.HostIncarnation, toStart,
                 std::move(body)};
}

void Node::send(const HostId &to, const Address &at, Incarnation toStart,
                Body body) {
  PendingActions.emplace_back(
      Send{to, at, messageTo(toStart, std::move(body))});
}

void Node::sendSynced(const HostId &to, const Address &at, Incarnation toStart,
                      Body body) {
  NewDeferredSends.push_back(Send{to, at, messageTo(toStart, std::move(body))});
}

void Node::reply(const HostId &to, const Message &request, Body body) {
  sendSynced(to, addressOf(to), request.FromIncarnation, std::move(body));
}

void Node::appendLocal(EntryKind kind, std::string payload,
                       Membership members) {
  LogEntry entry{Entries.last().next(), Hard.Current, kind, std::move(payload),
                 std::move(members)};
  UncommittedBytes += sizeOf(entry);
  if (!NewFrom)
    NewFrom = entry.Index;
  Entries.append(std::move(entry));
  if (!Settings.IsDurable)
    SyncedIndex = Entries.last();
  HasUnsent = true;
}

void Node::truncateFrom(LogIndex from) {
  Entries.truncateFrom(from);
  const LogIndex last = Entries.last();
  SyncedIndex = std::min(SyncedIndex, last);
  for (auto &[serial, index] : Unsynced)
    index = std::min(index, last);
  NewTruncateFrom = from;
}

void Node::advanceCommit(LogIndex to) {
  Commit = std::max(Commit, std::min(to, Entries.last()));
}

void Node::joinGroup(const GroupId &group) {
  Hard = HardState{group, Term{}, HostId(), Incarnation{}};
  HasNewHard = true;
}

Address Node::addressOf(const HostId &host) const {
  if (const Member *member = findMember(Entries.membership(), host))
    return member->At;
  const auto it = std::ranges::find(Settings.Configured, host, &Peer::Host);
  if (it != Settings.Configured.end())
    return it->At;
  const auto standby = Standbys.find(host);
  return standby == Standbys.end() ? Finder.addressOf(host).value_or(Address())
                                   : standby->second.At;
}

const Member *Node::self() const {
  const Member *member = findMember(Entries.membership(), Settings.Self.Host);
  return member != nullptr &&
                 member->HostIncarnation == Settings.HostIncarnation
             ? member
             : nullptr;
}

bool Node::knowsLeader() const {
  return !Leader.empty() && addressOf(Leader).Port != 0;
}

bool Node::isVoter() const {
  const Member *member = self();
  return member != nullptr && member->IsVoter;
}

std::size_t Node::quorum() const {
  return quorumSize(Entries.membership(), Settings.Configured.size());
}

Duration Node::randomDelay() {
  std::uniform_int_distribution<int64_t> spread(
      1, Settings.ElectionSpread.millis());
  return Duration::millis(spread(Random));
}

} // namespace jujube::consensus
