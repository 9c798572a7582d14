// cereal functions for the types of jujube/api, catalogue, fate, metrics and
// routing that messages carry.
#ifndef JUJUBE_WIRE_DOMAIN_ENCODING_H_
#define JUJUBE_WIRE_DOMAIN_ENCODING_H_

#include "jujube/api/commands.h"
#include "jujube/catalogue/edit.h"
#include "jujube/fate/types.h"
#include "jujube/metrics/metrics.h"
#include "jujube/routing/types.h"
#include "jujube/wire/base_encoding.h"

namespace jujube::catalogue {

template <typename Archive> void serialize(Archive &ar, Team &v) {
  ar(v.Id, v.Share, v.Ceiling);
}
template <typename Archive> void serialize(Archive &ar, Entry &v) {
  ar(v.Id, v.Owner, v.Class, v.Priority, v.Tasks, v.Demand, v.RunTime,
     v.MaxRunning, v.MaxAttempts, v.IsIdempotent, v.CanCheckpoint,
     v.CanThrottle, v.IsOpen);
}
template <typename Archive> void serialize(Archive &ar, Key &v) {
  ar(v.Id, v.Team, v.Salt, v.Digest);
}
template <typename Archive> void serialize(Archive &ar, Host &v) {
  ar(v.Id, v.Role, v.Zone, v.Peer);
}
template <typename Archive> void serialize(Archive &ar, PutTeam &v) {
  ar(v.Value);
}
template <typename Archive> void serialize(Archive &ar, DeleteTeam &v) {
  ar(v.Id);
}
template <typename Archive> void serialize(Archive &ar, PutEntry &v) {
  ar(v.Value);
}
template <typename Archive> void serialize(Archive &ar, DeleteEntry &v) {
  ar(v.Id);
}
template <typename Archive> void serialize(Archive &ar, IssueKey &v) {
  ar(v.Value);
}
template <typename Archive> void serialize(Archive &ar, WithdrawKey &v) {
  ar(v.Id);
}
template <typename Archive> void serialize(Archive &ar, Edit &v) {
  ar(v.Id, v.Base, v.What, v.Author);
}
template <typename Archive, typename T>
void serialize(Archive &ar, Versioned<T> &v) {
  ar(v.Value, v.ChangedAt);
}
template <typename Archive> void serialize(Archive &ar, Contents &v) {
  ar(v.Latest, v.Teams, v.Entries, v.Keys);
}
template <typename Archive> void serialize(Archive &ar, HistoryLine &v) {
  ar(v.At, v.Edit, v.Author, v.Summary);
}

} // namespace jujube::catalogue

namespace jujube::fate {

template <typename Archive> void serialize(Archive &ar, Submission &v) {
  ar(v.Request, v.Team, v.Entry, v.Payload, v.Tasks, v.StartWithin,
     v.BodyDigest);
}
template <typename Archive> void serialize(Archive &ar, TaskView &v) {
  ar(v.Index, v.State, v.Attempts, v.Worker, v.Answer, v.Reason);
}
template <typename Archive> void serialize(Archive &ar, FateView &v) {
  ar(v.Request, v.Team, v.Entry, v.State, v.Tasks, v.AcceptedAt, v.StartedAt,
     v.EndedAt);
}
template <typename Archive> void serialize(Archive &ar, WorkerAnnouncement &v) {
  ar(v.Worker, v.WorkerIncarnation, v.Rack, v.Capacity, v.IsLeaving);
}
template <typename Archive> void serialize(Archive &ar, TaskReport &v) {
  ar(v.Task, v.Token, v.Phase, v.Usage, v.Text);
}
template <typename Archive> void serialize(Archive &ar, Directive &v) {
  ar(v.Kind, v.Task, v.Token, v.Entry, v.Grant, v.Payload);
}
template <typename Archive> void serialize(Archive &ar, AttemptDigest &v) {
  ar(v.Count, v.Checksum);
}
template <typename Archive> void serialize(Archive &ar, WorkerSync &v) {
  ar(v.Announcement, v.Reports, v.Unreported);
}
template <typename Archive> void serialize(Archive &ar, SyncReply &v) {
  ar(v.LeaderTerm, v.Lease, v.Directives, v.NextSync);
}

} // namespace jujube::fate

namespace jujube::routing {

template <typename Archive> void serialize(Archive &ar, RunnerAnnouncement &v) {
  ar(v.Runner, v.Start, v.Entry, v.Zone, v.Http, v.Slots, v.Connections,
     v.IsLeaving);
}
template <typename Archive> void serialize(Archive &ar, LiveRequest &v) {
  ar(v.Request, v.Team, v.Entry, v.IsIdempotent, v.Deadline);
}

} // namespace jujube::routing

namespace jujube::metrics {

template <typename Archive> void serialize(Archive &ar, Labels &v) {
  ar(v.Team, v.Class, v.Cause);
}
template <typename Archive> void serialize(Archive &ar, CounterValue &v) {
  ar(v.Name, v.For, v.Value);
}
template <typename Archive> void serialize(Archive &ar, GaugeValue &v) {
  ar(v.Name, v.For, v.Value);
}
template <typename Archive> void serialize(Archive &ar, HistogramValue &v) {
  ar(v.Name, v.For, v.Count, v.Mean, v.Max, v.P50, v.P90, v.P99, v.Buckets);
}
template <typename Archive> void serialize(Archive &ar, Snapshot &v) {
  ar(v.Counters, v.Histograms, v.Gauges);
}

} // namespace jujube::metrics

namespace jujube::api {

template <typename Archive> void serialize(Archive &ar, CallLive &v) {
  ar(v.PresentedKey, v.Request, v.Entry, v.Payload, v.Timeout);
}
template <typename Archive> void serialize(Archive &ar, EditReceipt &v) {
  ar(v.At, v.IsInForce);
}
template <typename Archive> void serialize(Archive &ar, LiveAnswer &v) {
  ar(v.Request, v.Runner, v.Body);
}
template <typename Archive> void serialize(Archive &ar, ZoneStatus &v) {
  ar(v.Zone, v.Leader, v.Voters, v.Workers, v.QuarantinedWorkers, v.QueuedTasks,
     v.RunningTasks, v.Held, v.Reserved);
}

} // namespace jujube::api

#endif // JUJUBE_WIRE_DOMAIN_ENCODING_H_
