// cereal functions for the replicated state, commands and events of
// jujube/catalogue, limits and fate.
#ifndef JUJUBE_WIRE_STATE_ENCODING_H_
#define JUJUBE_WIRE_STATE_ENCODING_H_

#include "jujube/catalogue/catalogue.h"
#include "jujube/fate/event.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/limits/types.h"
#include "jujube/wire/domain_encoding.h"

namespace jujube::catalogue {

template <typename Archive> void serialize(Archive &ar, Outcome &v) {
  ar(v.Edit, v.Fingerprint, v.Answer);
}
template <typename Archive> void serialize(Archive &ar, Tombstone &v) {
  ar(v.Object, v.DeletedAt);
}
template <typename Archive> void serialize(Archive &ar, State &v) {
  ar(v.Current, v.Deleted, v.WithdrawnKeys, v.Outcomes, v.RecentEdits,
     v.History);
}
template <typename Archive> void serialize(Archive &ar, Update &v) {
  ar(v.From, v.To, v.Edits, v.Snapshot, v.IsConfirmed);
}

} // namespace jujube::catalogue

namespace jujube::limits {

template <typename Archive> void serialize(Archive &ar, Slice &v) {
  ar(v.Team, v.Version, v.Guaranteed, v.Borrowed);
}
template <typename Archive> void serialize(Archive &ar, SliceUpdate &v) {
  ar(v.Seen, v.Slices);
}
template <typename Archive> void serialize(Archive &ar, ReportLine &v) {
  ar(v.Held, v.Wanted);
}
template <typename Archive> void serialize(Archive &ar, SliceReport &v) {
  ar(v.Zone, v.LeaderTerm, v.Sequence, v.Seen, v.Lines);
}
template <typename Archive> void serialize(Archive &ar, SliceLimit &v) {
  ar(v.Team, v.Limit, v.IsRevoked);
}
template <typename Archive> void serialize(Archive &ar, SliceReply &v) {
  ar(v.LeaderTerm, v.Sequence, v.UpTo, v.Slices, v.Limits);
}
template <typename Archive> void serialize(Archive &ar, AddZone &v) {
  ar(v.Zone);
}
template <typename Archive> void serialize(Archive &ar, RetireZone &v) {
  ar(v.Zone);
}
template <typename Archive> void serialize(Archive &ar, SetCeiling &v) {
  ar(v.Team, v.Ceiling);
}
template <typename Archive> void serialize(Archive &ar, ApplyReport &v) {
  ar(v.Report);
}
template <typename Archive> void serialize(Archive &ar, ReclaimBorrowed &v) {
  ar(v.Zone, v.UpTo);
}
template <typename Archive> void serialize(Archive &ar, SliceEntry &v) {
  ar(v.Zone, v.Held, v.Wanted);
}
template <typename Archive> void serialize(Archive &ar, LedgerTeam &v) {
  ar(v.Team, v.Ceiling, v.Slices);
}
template <typename Archive> void serialize(Archive &ar, LedgerZone &v) {
  ar(v.Zone, v.LeaderTerm, v.Sequence);
}
template <typename Archive> void serialize(Archive &ar, LedgerState &v) {
  ar(v.Latest, v.Zones, v.Teams);
}

} // namespace jujube::limits

namespace jujube::fate {

template <typename Archive> void serialize(Archive &ar, RequestAccepted &v) {
  ar(v.Work, v.At);
}
template <typename Archive> void serialize(Archive &ar, TaskOffered &v) {
  ar(v.Task, v.Token, v.Worker, v.WorkerIncarnation, v.Reserved, v.At);
}
template <typename Archive> void serialize(Archive &ar, TaskStarted &v) {
  ar(v.Task, v.Token, v.At);
}
template <typename Archive> void serialize(Archive &ar, ReservationChanged &v) {
  ar(v.Task, v.Token, v.Reserved, v.At);
}
template <typename Archive> void serialize(Archive &ar, TaskEnded &v) {
  ar(v.Task, v.Token, v.Phase, v.Text, v.At);
}
template <typename Archive> void serialize(Archive &ar, AttemptLost &v) {
  ar(v.Task, v.Token, v.IsForgotten, v.Reason, v.At);
}
template <typename Archive> void serialize(Archive &ar, RequestCancelled &v) {
  ar(v.Request, v.At);
}
template <typename Archive> void serialize(Archive &ar, RequestRejected &v) {
  ar(v.Request, v.Reason, v.At);
}
template <typename Archive> void serialize(Archive &ar, LiveOffered &v) {
  ar(v.Request, v.Team, v.Entry, v.BodyDigest, v.EntryHost, v.Runner,
     v.IsIdempotent, v.At);
}
template <typename Archive> void serialize(Archive &ar, LiveEnded &v) {
  ar(v.Request, v.EntryHost, v.Runner, v.State, v.Text, v.At);
}
template <typename Archive> void serialize(Archive &ar, FateForgotten &v) {
  ar(v.Request);
}
template <typename Archive> void serialize(Archive &ar, TaskRecord &v) {
  ar(v.State, v.HasActiveAttempt, v.MayHaveRun, v.HasStarted, v.Attempts,
     v.Failures, v.Token, v.Worker, v.WorkerIncarnation, v.Reserved, v.LostAt,
     v.Text);
}
template <typename Archive> void serialize(Archive &ar, RequestRecord &v) {
  ar(v.Work, v.AcceptedAt, v.StartedAt, v.EndedAt, v.IsCancelled, v.IsAbandoned,
     v.OpenTasks, v.UnstartedTasks, v.Tasks);
}
template <typename Archive> void serialize(Archive &ar, LiveRecord &v) {
  ar(v.Offer, v.State, v.ChangedAt, v.Text);
}
template <typename Archive> void serialize(Archive &ar, FateSnapshot &v) {
  ar(v.Requests, v.LiveRequests, v.Holdings);
}

} // namespace jujube::fate

#endif // JUJUBE_WIRE_STATE_ENCODING_H_
