// Replication: entries, acknowledgements, commit index, and snapshot transfer.
#include "jujube/consensus/node.h"

#include <algorithm>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

namespace {
// Maximum number of unacknowledged messages with entries per member.
constexpr std::size_t MaxInFlight = 16;
} // namespace

void Node::tickLeader(Instant now) {
  const Duration stepDownDelay =
      IsRecovering ? Settings.FormationWait : voteRefusal(Settings);
  if (now >= std::max(leaseEnd(now), ElectedAt) + stepDownDelay)
    return becomeFollower(Hard.Current, HostId(), now);
  admitStandbys(now);
  promoteLearners(now);
  replaceSilentVoter(now);
  sendAll(now);
}

void Node::sendAll(Instant now) {
  HasUnsent = false;
  // The host that forms a group must not announce the group before its first
  // entry is synced: after a crash it would not know of the group.
  if (SyncedIndex.Value == 0) {
    for (auto &[host, peer] : Peers)
      peer.NextHeartbeat = now + Settings.Heartbeat;
    return;
  }
  for (const Member &member : Entries.membership().Members) {
    const auto it = Peers.find(member.Host);
    if (it == Peers.end())
      continue;
    const bool isDue = now >= it->second.NextHeartbeat;
    if (isDue || it->second.Next <= Entries.last())
      sendEntries(member, now, isDue);
  }
}

void Node::sendEntries(const Member &member, Instant now, bool isHeartbeat) {
  Progress &peer = Peers[member.Host];
  const LogIndex prev{peer.Next.Value - 1};
  const std::optional<Term> prevTerm = Entries.termAt(prev);
  if (!prevTerm || peer.Sending) {
    if (isHeartbeat || !peer.Sending)
      sendChunk(member, peer, now);
    return;
  }
  AppendRequest request{prev, *prevTerm, Commit, {}, now.millis()};
  if (peer.InFlight < MaxInFlight && peer.Next <= Entries.last()) {
    request.Entries = Entries.slice(peer.Next, Settings.MaxAppendBytes);
    peer.Next = request.Entries.back().Index.next();
    ++peer.InFlight;
    HasUnsent |= peer.InFlight < MaxInFlight && peer.Next <= Entries.last();
  } else if (!isHeartbeat) {
    return;
  }
  peer.NextHeartbeat = now + Settings.Heartbeat;
  send(member.Host, member.At, member.HostIncarnation, std::move(request));
}

void Node::sendChunk(const Member &member, Progress &peer, Instant now) {
  if (!peer.Sending) {
    peer.Sending = Entries.base();
    peer.SendingOffset = 0;
  }
  const Snapshot &base = *peer.Sending;
  SnapshotChunk chunk{base.Last,          base.LastTerm,    base.Members,
                      peer.SendingOffset, base.Data.size(), {},
                      now.millis()};
  chunk.Data =
      base.Data.substr(peer.SendingOffset, Settings.SnapshotChunkBytes);
  peer.NextHeartbeat = now + Settings.Heartbeat;
  send(member.Host, member.At, member.HostIncarnation, std::move(chunk));
}

void Node::updateCommit() {
  const LogIndex agreed = quorumValue<LogIndex>(
      Entries.membership(), quorum(),
      [this](const Member &member) {
        if (member.Host == Settings.Self.Host)
          return SyncedIndex;
        const auto it = Peers.find(member.Host);
        return it == Peers.end() ? LogIndex{} : it->second.Match;
      },
      LogIndex{});
  // Entries of earlier terms are committed only together with an entry of the
  // current term. Entries before the latest membership are committed only
  // together with it, so that every member counted as a voter knows that it is
  // a voter.
  if (agreed <= Commit || agreed < Entries.membershipIndex() ||
      Entries.termAt(agreed) != Hard.Current)
    return;
  advanceCommit(agreed);
  if (Commit >= ReadyIndex)
    IsRecovering = false;
}

Progress *Node::acknowledge(const HostId &from, const Message &m,
                            int64_t sentAt, Instant now) {
  const auto it = Peers.find(from);
  if (CurrentRole != Role::Leader || m.At != Hard.Current ||
      it == Peers.end() || it->second.HostIncarnation != m.FromIncarnation)
    return nullptr;
  Progress &peer = it->second;
  const Instant sent = std::min(Instant::fromMillis(sentAt), now);
  peer.AckedSend = std::max(peer.AckedSend.value_or(sent), sent);
  peer.LastHeard = now;
  return &peer;
}

void Node::handle(const HostId &from, const Message &m, const AppendReply &body,
                  Instant now) {
  Progress *peer = acknowledge(from, m, body.SentAt, now);
  if (peer == nullptr || peer->Sending)
    return;
  if (body.IsMatch) {
    peer->Match = std::max(peer->Match, std::min(body.Last, Entries.last()));
    peer->Next = std::max(peer->Next, peer->Match.next());
    if (peer->InFlight > 0)
      --peer->InFlight;
    updateCommit();
  } else {
    // A member whose disk lost entries that it had acknowledged needs them
    // again. A delayed reply is harmless: it costs one more message with
    // entries.
    peer->Match = std::min(peer->Match, body.Last);
    peer->Next = std::min(body.Last, Entries.last()).next();
    peer->InFlight = 0;
  }
  if (peer->Next > Entries.last() && peer->Match == Entries.last())
    peer->InFlight = 0;
  HasUnsent |= peer->Next <= Entries.last() && peer->InFlight < MaxInFlight;
}

void Node::handle(const HostId &from, const Message &m,
                  const AppendRequest &body, Instant) {
  if (body.PrevIndex > Entries.last()) {
    const LogIndex hint = std::max(Entries.last(), Commit);
    return reply(from, m, AppendReply{false, hint, body.SentAt});
  }
  const std::optional<Term> held = Entries.termAt(body.PrevIndex);
  if (held && *held != body.PrevTerm) {
    const LogIndex hint =
        std::max(Entries.lastIndexBeforeTermOf(body.PrevIndex), Commit);
    return reply(from, m, AppendReply{false, hint, body.SentAt});
  }
  appendFrom(body);
  const LogIndex match{body.PrevIndex.Value + body.Entries.size()};
  advanceCommit(std::min(body.Commit, match));
  reply(from, m, AppendReply{true, match, body.SentAt});
}

void Node::appendFrom(const AppendRequest &body) {
  for (const LogEntry &entry : body.Entries) {
    // Committed entries agree with the leader's, including compacted entries.
    if (entry.Index <= Commit || Entries.termAt(entry.Index) == entry.At)
      continue;
    if (entry.Index <= Entries.last())
      truncateFrom(entry.Index);
    if (!NewFrom)
      NewFrom = entry.Index;
    Entries.append(entry);
  }
}

void Node::handle(const HostId &from, const Message &m,
                  const SnapshotChunk &body, Instant) {
  SnapshotReply response{body.Last, 0, false, body.SentAt};
  const bool isHeld =
      body.Last <= Commit || Entries.termAt(body.Last) == body.LastTerm;
  if (isHeld || storeChunk(m, body)) {
    response.IsRestored = true;
    response.NextOffset = body.TotalSize;
  } else {
    response.NextOffset = Incoming->Base.Data.size();
  }
  reply(from, m, response);
}

bool Node::storeChunk(const Message &m, const SnapshotChunk &body) {
  const bool isSame =
      Incoming && Incoming->From == m.At && Incoming->Base.Last == body.Last;
  if (!isSame)
    Incoming = IncomingSnapshot{
        Snapshot{body.Last, body.LastTerm, body.Members, {}}, m.At};
  std::string &data = Incoming->Base.Data;
  if (body.Offset == data.size())
    data.append(body.Data);
  if (data.size() < body.TotalSize)
    return false;
  Snapshot snapshot = std::move(Incoming->Base);
  Incoming.reset();
  persistChanges();
  Entries.restore(snapshot);
  Commit = snapshot.Last;
  Applied = Commit;
  ++LastSerial;
  if (Settings.IsDurable)
    Unsynced.emplace_back(LastSerial, Commit);
  SyncedIndex = std::min(SyncedIndex, Commit);
  PendingActions.emplace_back(RestoreSnapshot{LastSerial, std::move(snapshot)});
  return true;
}

void Node::handle(const HostId &from, const Message &m,
                  const SnapshotReply &body, Instant now) {
  Progress *peer = acknowledge(from, m, body.SentAt, now);
  if (peer == nullptr || !peer->Sending || peer->Sending->Last != body.Last)
    return;
  const Member *member = findMember(Entries.membership(), from);
  if (!body.IsRestored) {
    const bool isProgress = body.NextOffset != peer->SendingOffset;
    peer->SendingOffset =
        std::min<uint64_t>(body.NextOffset, peer->Sending->Data.size());
    if (isProgress)
      sendChunk(*member, *peer, now);
    return;
  }
  peer->Sending.reset();
  peer->Match = std::max(peer->Match, body.Last);
  peer->Next = peer->Match.next();
  peer->InFlight = 0;
  updateCommit();
  HasUnsent = true;
}

} // namespace jujube::consensus
