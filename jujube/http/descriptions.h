// The JSON fields of every struct of the HTTP interface: one fields() overload
// per struct, for FieldReader and FieldWriter. Internal to jujube/http.
#ifndef JUJUBE_HTTP_DESCRIPTIONS_H_
#define JUJUBE_HTTP_DESCRIPTIONS_H_

#include "jujube/api/commands.h"
#include "jujube/http/bodies.h"
#include "jujube/http/fields.h"

namespace jujube::http::internal {

template <typename V> void fields(V &v, Error &x) {
  v.named("kind", ErrorKindNames, x.Kind, true);
  v.required("message", x.Message);
  v.required("remedy", x.Remedy);
  if (V::IsReader || x.RetryAfter > Duration())
    v.optional("retry_after_ms", x.RetryAfter);
}

template <typename V> void fields(V &v, Resources &x) {
  v.amount("milli_cpu", x.MilliCpu);
  v.amount("memory_mb", x.MemoryMb);
  v.amount("accelerators", x.Accelerators);
}

// ---- Catalogue ----

template <typename V> void fields(V &v, catalogue::Team &x) {
  v.required("id", x.Id);
  v.optional("share", x.Share);
  v.required("ceiling", x.Ceiling);
}

template <typename V> void fields(V &v, catalogue::Entry &x) {
  v.required("id", x.Id);
  v.required("owner", x.Owner);
  v.named("class", catalogue::WorkClassNames, x.Class, true);
  v.named("priority", catalogue::UrgencyNames, x.Priority, false);
  v.optional("tasks", x.Tasks);
  v.required("ask", x.Demand);
  v.optional("run_time_ms", x.RunTime);
  v.optional("max_running", x.MaxRunning);
  v.optional("max_attempts", x.MaxAttempts);
  v.optional("is_idempotent", x.IsIdempotent);
  v.optional("can_checkpoint", x.CanCheckpoint);
  v.optional("can_throttle", x.CanThrottle);
  v.optional("is_open", x.IsOpen);
}

template <typename V> void fields(V &v, catalogue::Key &x) {
  v.required("id", x.Id);
  v.required("team", x.Team);
  v.required("salt", x.Salt);
  v.required("digest", x.Digest);
}

template <typename V> void fields(V &v, catalogue::PutTeam &x) {
  v.required("value", x.Value);
}
template <typename V> void fields(V &v, catalogue::PutEntry &x) {
  v.required("value", x.Value);
}
template <typename V> void fields(V &v, catalogue::IssueKey &x) {
  v.required("value", x.Value);
}
template <typename V> void fields(V &v, catalogue::DeleteTeam &x) {
  v.required("id", x.Id);
}
template <typename V> void fields(V &v, catalogue::DeleteEntry &x) {
  v.required("id", x.Id);
}
template <typename V> void fields(V &v, catalogue::WithdrawKey &x) {
  v.required("id", x.Id);
}

// The alternatives of catalogue::Change, in the order of the variant.
enum class ChangeKind {
  PutTeam,
  DeleteTeam,
  PutEntry,
  DeleteEntry,
  IssueKey,
  WithdrawKey,
};

inline constexpr NameTable<ChangeKind, 6> ChangeKindNames = {{
    {ChangeKind::PutTeam, "put_team"},
    {ChangeKind::DeleteTeam, "delete_team"},
    {ChangeKind::PutEntry, "put_entry"},
    {ChangeKind::DeleteEntry, "delete_entry"},
    {ChangeKind::IssueKey, "issue_key"},
    {ChangeKind::WithdrawKey, "withdraw_key"},
}};
static_assert(isComplete(ChangeKindNames));
static_assert(std::variant_size_v<catalogue::Change> == ChangeKindNames.size());

// Assigns a default value of the alternative `kind` to `change`.
template <std::size_t I = 0>
void selectChange(ChangeKind kind, catalogue::Change &change) {
  if constexpr (I < std::variant_size_v<catalogue::Change>) {
    if (static_cast<std::size_t>(kind) == I)
      change.emplace<I>();
    else
      selectChange<I + 1>(kind, change);
  }
}

template <typename V> void fields(V &v, catalogue::Change &x) {
  auto kind = static_cast<ChangeKind>(x.index());
  v.named("kind", ChangeKindNames, kind, true);
  if (V::IsReader)
    selectChange(kind, x);
  std::visit([&v](auto &alternative) { fields(v, alternative); }, x);
}

template <typename V> void fields(V &v, catalogue::Edit &x) {
  v.required("id", x.Id);
  v.required("base", x.Base);
  v.required("what", x.What);
  v.optional("author", x.Author);
}

template <typename V, typename T>
void fields(V &v, catalogue::Versioned<T> &x) {
  v.required("value", x.Value);
  v.required("changed", x.ChangedAt);
}

template <typename V> void fields(V &v, catalogue::Contents &x) {
  v.required("latest", x.Latest);
  v.required("teams", x.Teams);
  v.required("entries", x.Entries);
  v.required("keys", x.Keys);
}

template <typename V> void fields(V &v, DesiredCatalogue &x) {
  v.optional("teams", x.Teams);
  v.optional("entries", x.Entries);
}

template <typename V> void fields(V &v, catalogue::HistoryLine &x) {
  v.required("at", x.At);
  v.required("edit", x.Edit);
  v.required("author", x.Author);
  v.required("summary", x.Summary);
}

// ---- Workers and runners ----

template <typename V> void fields(V &v, TaskId &x) {
  v.required("request", x.Request);
  v.required("index", x.Index);
}

template <typename V> void fields(V &v, AttemptToken &x) {
  v.required("group_term", x.GroupTerm);
  v.required("attempt", x.Attempt);
}

template <typename V> void fields(V &v, fate::WorkerAnnouncement &x) {
  v.required("worker", x.Worker);
  v.required("start", x.WorkerIncarnation);
  v.optional("rack", x.Rack);
  v.required("holds", x.Capacity);
  v.optional("is_leaving", x.IsLeaving);
}

template <typename V> void fields(V &v, fate::TaskReport &x) {
  v.required("task", x.Task);
  v.required("token", x.Token);
  v.named("phase", fate::TaskPhaseNames, x.Phase, true);
  v.optional("usage", x.Usage);
  v.bytes("text", x.Text);
}

template <typename V> void fields(V &v, fate::AttemptDigest &x) {
  v.required("count", x.Count);
  v.required("checksum", x.Checksum);
}

template <typename V> void fields(V &v, fate::WorkerSync &x) {
  v.required("announcement", x.Announcement);
  v.optional("reports", x.Reports);
  v.optional("unreported", x.Unreported);
}

template <typename V> void fields(V &v, fate::Directive &x) {
  v.named("kind", fate::DirectiveKindNames, x.Kind, true);
  v.required("task", x.Task);
  v.required("token", x.Token);
  v.optional("entry", x.Entry);
  v.optional("grant", x.Grant);
  v.bytes("payload", x.Payload);
}

template <typename V> void fields(V &v, fate::SyncReply &x) {
  v.required("leader_term", x.LeaderTerm);
  v.required("lease_ms", x.Lease);
  v.required("directives", x.Directives);
  // Omitted from replies that request no further report.
  if (V::IsReader || x.NextSync != fate::SyncScope::Changes)
    v.named("next_sync", fate::SyncScopeNames, x.NextSync, false);
}

template <typename V> void fields(V &v, routing::RunnerAnnouncement &x) {
  v.required("runner", x.Runner);
  v.required("start", x.Start);
  v.required("entry", x.Entry);
  v.required("zone", x.Zone);
  v.required("http", x.Http);
  v.optional("slots", x.Slots);
  v.optional("connections", x.Connections);
  v.optional("is_leaving", x.IsLeaving);
}

// ---- Requests and fates ----

template <typename V> void fields(V &v, SubmitBody &x) {
  v.required("request", x.Request);
  v.required("entry", x.Entry);
  v.bytes("payload", x.Payload);
  v.optional("tasks", x.Tasks);
  v.optional("start_within_ms", x.StartWithin);
}

template <typename V> void fields(V &v, CallBody &x) {
  v.required("request", x.Request);
  v.bytes("payload", x.Payload);
  v.required("timeout_ms", x.Timeout);
}

template <typename V> void fields(V &v, ErrorBody &x) {
  v.required("error", x.Problem);
}

template <typename V> void fields(V &v, ZoneList &x) {
  v.required("evacuated", x.Evacuated);
}

template <typename V> void fields(V &v, DoneBody &x) {
  v.required("is_done", x.IsDone);
}

template <typename V> void fields(V &v, fate::TaskView &x) {
  v.required("index", x.Index);
  v.named("state", fate::FateStateNames, x.State, true);
  v.required("attempts", x.Attempts);
  v.optional("worker", x.Worker);
  v.bytes("answer", x.Answer);
  v.bytes("reason", x.Reason);
}

template <typename V> void fields(V &v, fate::FateView &x) {
  v.required("request", x.Request);
  v.optional("team", x.Team);
  v.optional("entry", x.Entry);
  v.named("state", fate::FateStateNames, x.State, true);
  v.required("tasks", x.Tasks);
  v.required("accepted_at_ms", x.AcceptedAt);
  v.required("started_at_ms", x.StartedAt);
  v.required("ended_at_ms", x.EndedAt);
}

template <typename V> void fields(V &v, api::LiveAnswer &x) {
  v.required("request", x.Request);
  v.optional("runner", x.Runner);
  v.bytes("body", x.Body);
}

template <typename V> void fields(V &v, api::EditReceipt &x) {
  v.required("at", x.At);
  v.required("is_in_force", x.IsInForce);
}

template <typename V> void fields(V &v, IssuedKey &x) {
  v.required("id", x.Id);
  v.required("team", x.Team);
  v.required("key", x.Presented);
  v.required("receipt", x.Receipt);
}

// ---- Status and metrics ----

template <typename V> void fields(V &v, api::ZoneStatus &x) {
  v.required("zone", x.Zone);
  v.optional("leader", x.Leader);
  v.required("workers", x.Workers);
  v.required("voters", x.Voters);
  v.required("quarantined_workers", x.QuarantinedWorkers);
  v.required("queued_tasks", x.QueuedTasks);
  v.required("running_tasks", x.RunningTasks);
  v.required("held", x.Held);
  v.required("reserved", x.Reserved);
}

template <typename V> void fields(V &v, api::RunnerStatus &x) {
  v.required("runner", x.Runner);
  v.required("entry", x.Entry);
  v.required("zone", x.Zone);
  v.required("slots", x.Slots);
  v.required("in_flight", x.InFlight);
  v.required("is_leaving", x.IsLeaving);
}

template <typename V> void fields(V &v, api::FleetStatus &x) {
  v.required("host", x.Host);
  v.required("zone", x.Zone);
  v.required("catalogue", x.Catalogue);
  v.required("catalogue_age_ms", x.CatalogueAge);
  v.required("is_leaving", x.IsLeaving);
  v.required("zones", x.Zones);
  v.required("runners", x.Runners);
}

template <typename V> void fields(V &v, metrics::Labels &x) {
  v.required("team", x.Team);
  v.required("class", x.Class);
}

template <typename V> void fields(V &v, metrics::CounterValue &x) {
  v.required("name", x.Name);
  v.required("for", x.For);
  v.required("value", x.Value);
}

template <typename V> void fields(V &v, metrics::HistogramValue &x) {
  v.required("name", x.Name);
  v.required("for", x.For);
  v.required("count", x.Count);
  v.required("mean", x.Mean);
  v.required("max", x.Max);
  v.required("p50", x.P50);
  v.required("p90", x.P90);
  v.required("p99", x.P99);
  v.required("buckets", x.Buckets);
}

template <typename V> void fields(V &v, metrics::Snapshot &x) {
  v.required("counters", x.Counters);
  v.required("histograms", x.Histograms);
}

} // namespace jujube::http::internal

#endif // JUJUBE_HTTP_DESCRIPTIONS_H_
