// The events that log lines report, and their weight when lines must be
// dropped.
#ifndef JUJUBE_LOGGING_EVENT_H_
#define JUJUBE_LOGGING_EVENT_H_

#include "jujube/base/name_table.h"

namespace jujube::logging {

enum class Event {
  // ---- Processes ----
  Started,
  Stopped,
  TreeFailed,
  Listening,
  ClientsDropped,
  JournalOpened,
  LinesDropped,
  // Free text of a library or an assertion.
  Message,
  ReloadRequested,
  StopRequested,
  Leaving,
  TaskFailed,
  RestartDelayed,
  // ---- Groups and hosts ----
  RoleChanged,
  ReplicaFailed,
  DiskSlow,
  LeaderFound,
  LeaderLost,
  LeadershipTaken,
  LeadershipLost,
  LongTurn,
  WorkDone,
  HostJoined,
  SlicesReclaimed,
  DrainStarted,
  // ---- Configuration ----
  ConfigurationStored,
  ConfigurationRefused,
  // ---- Workers ----
  WorkerChanged,
  AnnouncementIgnored,
  WorkerRestarted,
  WorkerUnreachable,
  WorkerReachable,
  WorkerLost,
  LeasesExpired,
  InvalidReportRow,
  ZoneEvacuated,
  ZoneRestored,
  // ---- Single requests ----
  CallForwarded,
  CallAnswered,
  CallRefused,
  JobAccepted,
  JobRefused,
  JobCancelled,
  JobEnded,
  StepWaits,
  ApprovalAsked,
  ApprovalAnswered,
  ApprovalUnanswered,
  StartSent,
  StartRefused,
  StopSent,
  AttemptEnded,
  UnknownAttempt,
  TaskThrottled,
  // ---- Load tool ----
  FaultApplied,
};

inline constexpr NameTable<Event, 55> EventNames = {{
    {Event::Started, "started"},
    {Event::Stopped, "stopped"},
    {Event::TreeFailed, "gave_up"},
    {Event::Listening, "listening"},
    {Event::ClientsDropped, "clients_dropped"},
    {Event::JournalOpened, "journal_opened"},
    {Event::LinesDropped, "lines_dropped"},
    {Event::Message, "message"},
    {Event::ReloadRequested, "reload_requested"},
    {Event::StopRequested, "stop_requested"},
    {Event::Leaving, "leaving"},
    {Event::TaskFailed, "task_failed"},
    {Event::RestartDelayed, "restart_delayed"},
    {Event::RoleChanged, "role_changed"},
    {Event::ReplicaFailed, "replica_failed"},
    {Event::DiskSlow, "disk_slow"},
    {Event::LeaderFound, "leader_found"},
    {Event::LeaderLost, "leader_lost"},
    {Event::LeadershipTaken, "leadership_taken"},
    {Event::LeadershipLost, "leadership_lost"},
    {Event::LongTurn, "turn_long"},
    {Event::WorkDone, "work_done"},
    {Event::HostJoined, "host_joined"},
    {Event::SlicesReclaimed, "slices_reclaimed"},
    {Event::DrainStarted, "drain_started"},
    {Event::ConfigurationStored, "configuration_stored"},
    {Event::ConfigurationRefused, "configuration_refused"},
    {Event::WorkerChanged, "worker_changed"},
    {Event::AnnouncementIgnored, "announcement_ignored"},
    {Event::WorkerRestarted, "worker_restarted"},
    {Event::WorkerUnreachable, "worker_silent"},
    {Event::WorkerReachable, "worker_heard"},
    {Event::WorkerLost, "worker_lost"},
    {Event::LeasesExpired, "leases_over"},
    {Event::InvalidReportRow, "row_unreadable"},
    {Event::ZoneEvacuated, "zone_evacuated"},
    {Event::ZoneRestored, "zone_restored"},
    {Event::CallForwarded, "call_forwarded"},
    {Event::CallAnswered, "call_answered"},
    {Event::CallRefused, "call_refused"},
    {Event::JobAccepted, "job_accepted"},
    {Event::JobRefused, "job_refused"},
    {Event::JobCancelled, "job_cancelled"},
    {Event::JobEnded, "job_ended"},
    {Event::StepWaits, "step_waits"},
    {Event::ApprovalAsked, "approval_asked"},
    {Event::ApprovalAnswered, "approval_answered"},
    {Event::ApprovalUnanswered, "approval_unanswered"},
    {Event::StartSent, "start_sent"},
    {Event::StartRefused, "start_refused"},
    {Event::StopSent, "stop_sent"},
    {Event::AttemptEnded, "attempt_ended"},
    {Event::UnknownAttempt, "stray_attempt"},
    {Event::TaskThrottled, "task_paced"},
    {Event::FaultApplied, "fault_applied"},
}};
static_assert(isComplete(EventNames));

// Priority of a line when the reader is too slow: lines of lower weight are
// dropped first.
enum class Weight {
  // Frequent, and can be inferred from other lines.
  Routine,
  // Reports a change in the state of the process.
  State,
  // Reports a decision about a single request.
  Decision,
};

inline constexpr NameTable<Weight, 3> WeightNames = {{
    {Weight::Routine, "routine"},
    {Weight::State, "state"},
    {Weight::Decision, "decision"},
}};
static_assert(isComplete(WeightNames));

constexpr Weight weightOf(Event event) {
  switch (event) {
  case Event::WorkerChanged:
  case Event::AnnouncementIgnored:
  case Event::InvalidReportRow:
  case Event::ApprovalAsked:
  case Event::ApprovalAnswered:
  case Event::TaskThrottled:
    return Weight::Routine;
  default:
    return event >= Event::CallForwarded ? Weight::Decision : Weight::State;
  }
}

enum class Level { Info, Warning, Error };

inline constexpr NameTable<Level, 3> LevelNames = {{
    {Level::Info, "info"},
    {Level::Warning, "warning"},
    {Level::Error, "error"},
}};
static_assert(isComplete(LevelNames));

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_EVENT_H_
