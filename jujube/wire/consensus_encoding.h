// cereal functions for the types of jujube/consensus.
#ifndef JUJUBE_WIRE_CONSENSUS_ENCODING_H_
#define JUJUBE_WIRE_CONSENSUS_ENCODING_H_

#include "jujube/consensus/types.h"
#include "jujube/wire/base_encoding.h"

namespace jujube::consensus {

template <typename Archive> void serialize(Archive &ar, GroupId &v) {
  ar(v.Founder, v.FounderIncarnation);
}
template <typename Archive> void serialize(Archive &ar, Member &v) {
  ar(v.Host, v.HostIncarnation, v.At, v.IsVoter);
}
template <typename Archive> void serialize(Archive &ar, Membership &v) {
  ar(v.Members);
}
template <typename Archive> void serialize(Archive &ar, LogEntry &v) {
  ar(v.Index, v.At, v.Kind, v.Payload, v.Members);
}
template <typename Archive> void serialize(Archive &ar, PreVoteRequest &v) {
  ar(v.LastIndex, v.LastTerm);
}
template <typename Archive> void serialize(Archive &ar, PreVoteReply &v) {
  ar(v.For, v.IsGranted, v.HasConsent);
}
template <typename Archive> void serialize(Archive &ar, VoteRequest &v) {
  ar(v.LastIndex, v.LastTerm, v.IsTransfer);
}
template <typename Archive> void serialize(Archive &ar, VoteReply &v) {
  ar(v.IsGranted, v.HasConsent);
}
template <typename Archive> void serialize(Archive &ar, AppendRequest &v) {
  ar(v.PrevIndex, v.PrevTerm, v.Commit, v.Entries, v.SentAt);
}
template <typename Archive> void serialize(Archive &ar, AppendReply &v) {
  ar(v.IsMatch, v.Last, v.SentAt);
}
template <typename Archive> void serialize(Archive &ar, SnapshotChunk &v) {
  ar(v.Last, v.LastTerm, v.Members, v.Offset, v.TotalSize, v.Data, v.SentAt);
}
template <typename Archive> void serialize(Archive &ar, SnapshotReply &v) {
  ar(v.Last, v.NextOffset, v.IsRestored, v.SentAt);
}
template <typename Archive> void serialize(Archive &, TimeoutNow &) {}
template <typename Archive> void serialize(Archive &ar, Probe &v) {
  ar(v.Nonce, v.At);
}
template <typename Archive> void serialize(Archive &ar, Peer &v) {
  ar(v.Host, v.At);
}
template <typename Archive> void serialize(Archive &ar, ProbeReply &v) {
  ar(v.Nonce, v.At, v.IsServing, v.CanBeElected, v.Leader);
}
template <typename Archive> void serialize(Archive &ar, Message &v) {
  ar(v.Group, v.At, v.FromIncarnation, v.ToIncarnation, v.What);
}

} // namespace jujube::consensus

#endif // JUJUBE_WIRE_CONSENSUS_ENCODING_H_
