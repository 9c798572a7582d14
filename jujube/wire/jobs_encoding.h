// cereal functions for the types of jujube/jobs.
#ifndef JUJUBE_WIRE_JOBS_ENCODING_H_
#define JUJUBE_WIRE_JOBS_ENCODING_H_

#include "jujube/jobs/commands.h"
#include "jujube/jobs/events.h"
#include "jujube/jobs/job_state_machine.h"
#include "jujube/wire/base_encoding.h"

namespace jujube::shares {

template <typename Archive> void serialize(Archive &ar, TeamUse &v) {
  ar(v.Team, v.Past, v.Running, v.At, v.Allowance, v.AllowanceAt);
}
template <typename Archive> void serialize(Archive &ar, LedgerState &v) {
  ar(v.Teams, v.Now, v.Wall);
}

} // namespace jujube::shares

namespace jujube::jobs {

template <typename Archive> void serialize(Archive &ar, TaskKey &v) {
  ar(v.Job, v.Occurrence, v.Step, v.Index);
}
template <typename Archive> void serialize(Archive &ar, StepKey &v) {
  ar(v.Job, v.Occurrence, v.Step);
}
template <typename Archive> void serialize(Archive &ar, StepSpec &v) {
  ar(v.Tasks, v.Ask, v.Estimate, v.After, v.CanCheckpoint, v.IsGang,
     v.IsTightlyCoupled, v.MaySpeculate, v.IsLongRunning, v.RequiredLabel,
     v.DataRack, v.MaxPerWorker, v.Image, v.ResponseTarget, v.IsFiller,
     v.MaxUnavailable);
}
template <typename Archive> void serialize(Archive &ar, JobSpec &v) {
  ar(v.Id, v.Queue, v.Team, v.Payload, v.Steps, v.Occurrences, v.FirstDue,
     v.Period);
}
template <typename Archive> void serialize(Archive &ar, Worker &v) {
  ar(v.Id, v.WorkerIncarnation, v.Pool, v.At, v.Zone, v.Capacity, v.Labels,
     v.Rack, v.IsDraining);
}
template <typename Archive> void serialize(Archive &ar, Announcement &v) {
  ar(v.AnnouncedWorker, v.Sequence, v.WorkerClock, v.Remaining,
     v.ColdRemaining);
}
template <typename Archive> void serialize(Archive &ar, ApprovalTerms &v) {
  ar(v.Base, v.PerWorkerMs, v.Validity);
}
template <typename Archive> void serialize(Archive &ar, Queue &v) {
  ar(v.Id, v.HostName, v.PathPrefix, v.Pool, v.Timeout, v.Priority,
     v.MaxAttempts, v.SlackFactor, v.LatencyTarget, v.Approval, v.IsOpen);
}
template <typename Archive> void serialize(Archive &ar, QueuePlace &v) {
  ar(v.HostName, v.PathPrefix);
}
template <typename Archive> void serialize(Archive &ar, Pool &v) {
  ar(v.Id, v.EnforcesCapacity, v.IsStandby);
}
template <typename Archive> void serialize(Archive &ar, Team &v) {
  ar(v.Id, v.Keys, v.Weight, v.Maximum);
}
template <typename Archive> void serialize(Archive &ar, Configuration &v) {
  ar(v.Version, v.Queues, v.Pools, v.Teams, v.Document);
}

template <typename Archive> void serialize(Archive &ar, Caller &v) {
  ar(v.HostName, v.Path, v.Key);
}
template <typename Archive> void serialize(Archive &ar, SubmitJob &v) {
  ar(v.By, v.Job);
}
template <typename Archive> void serialize(Archive &ar, CancelJob &v) {
  ar(v.By, v.Job);
}
template <typename Archive> void serialize(Archive &ar, ReadJob &v) {
  ar(v.By, v.Job);
}
template <typename Archive> void serialize(Archive &ar, CountPending &v) {
  ar(v.By);
}
template <typename Archive> void serialize(Archive &ar, PutConfiguration &v) {
  ar(v.Value);
}
template <typename Archive> void serialize(Archive &, ReadConfiguration &) {}
template <typename Archive> void serialize(Archive &ar, AnnounceWorker &v) {
  ar(v.What);
}
template <typename Archive> void serialize(Archive &ar, WithdrawWorker &v) {
  ar(v.Worker);
}
template <typename Archive> void serialize(Archive &ar, RegisterHelper &v) {
  ar(v.Host, v.At);
}
template <typename Archive> void serialize(Archive &ar, EvacuateZone &v) {
  ar(v.Zone);
}
template <typename Archive> void serialize(Archive &ar, RestoreZone &v) {
  ar(v.Zone);
}
template <typename Archive> void serialize(Archive &, ReadEvacuations &) {}
template <typename Archive> void serialize(Archive &, Stored &) {}
template <typename Archive> void serialize(Archive &ar, JobStatusReply &v) {
  ar(v.State);
}
template <typename Archive> void serialize(Archive &ar, PendingCount &v) {
  ar(v.Jobs);
}
template <typename Archive> void serialize(Archive &ar, ConfigurationReply &v) {
  ar(v.Document);
}
template <typename Archive> void serialize(Archive &ar, WorkerRegistered &v) {
  ar(v.LeaderControl);
}
template <typename Archive> void serialize(Archive &ar, Members &v) {
  ar(v.Addresses);
}
template <typename Archive> void serialize(Archive &ar, EvacuatedZones &v) {
  ar(v.Zones);
}
template <typename Archive> void serialize(Archive &ar, ApprovalQuery &v) {
  ar(v.Step, v.Workers);
}
template <typename Archive> void serialize(Archive &ar, Approval &v) {
  ar(v.Worker, v.Ticket);
}
template <typename Archive> void serialize(Archive &ar, ApprovalAnswer &v) {
  ar(v.Approved, v.Validity);
}

template <typename Archive> void serialize(Archive &ar, ConfigurationPut &v) {
  ar(v.Value);
}
template <typename Archive> void serialize(Archive &ar, JobAccepted &v) {
  ar(v.Spec, v.AcceptedAt);
}
template <typename Archive> void serialize(Archive &ar, JobAcceptedAt &v) {
  ar(v.What, v.Place);
}
template <typename Archive> void serialize(Archive &ar, JobSubmitted &v) {
  ar(v.What, v.By, v.Place, v.Terms);
}
template <typename Archive> void serialize(Archive &ar, JobCancelled &v) {
  ar(v.Job);
}
template <typename Archive> void serialize(Archive &ar, AttemptStarted &v) {
  ar(v.Task, v.Attempt, v.Worker);
}
template <typename Archive> void serialize(Archive &ar, AttemptEnded &v) {
  ar(v.Task, v.Attempt, v.How, v.Checkpoint);
}
template <typename Archive> void serialize(Archive &ar, WorkerChanged &v) {
  ar(v.Now);
}
template <typename Archive> void serialize(Archive &ar, WorkerGone &v) {
  ar(v.Worker, v.WorkerIncarnation);
}
template <typename Archive> void serialize(Archive &ar, JobsForgotten &v) {
  ar(v.Jobs);
}
template <typename Archive> void serialize(Archive &ar, ZoneEvacuated &v) {
  ar(v.Zone);
}
template <typename Archive> void serialize(Archive &ar, ZoneRestored &v) {
  ar(v.Zone);
}
template <typename Archive> void serialize(Archive &ar, AttemptStartedAt &v) {
  ar(v.What, v.At);
}
template <typename Archive> void serialize(Archive &ar, AttemptEndedAt &v) {
  ar(v.What, v.At);
}

template <typename Archive> void serialize(Archive &ar, Owner &v) {
  ar(v.Team, v.Key);
}
template <typename Archive> void serialize(Archive &ar, JobWithdrawn &v) {
  ar(v.Job, v.By);
}
template <typename Archive> void serialize(Archive &ar, Withdrawal &v) {
  ar(v.Job, v.By);
}

template <typename Archive> void serialize(Archive &ar, Run &v) {
  ar(v.Worker, v.Attempt);
}
template <typename Archive> void serialize(Archive &ar, Task &v) {
  ar(v.LastAttempt, v.Failures, v.IsDone, v.Live, v.Checkpoint, v.LastFailedOn);
}
template <typename Archive> void serialize(Archive &ar, StepState &v) {
  ar(v.Tasks, v.DoneTasks, v.LiveTasks, v.GangFailures, v.LastFailedAttempt);
}
template <typename Archive> void serialize(Archive &ar, Occurrence &v) {
  ar(v.Steps);
}
template <typename Archive> void serialize(Archive &ar, Job &v) {
  ar(v.Spec, v.AcceptedAt, v.State, v.Occurrences, v.LiveTasks);
}
template <typename Archive> void serialize(Archive &ar, Origin &v) {
  ar(v.By, v.Key, v.Place, v.MovedTo);
}
// The part of a snapshot that all versions write. encodeJobSnapshot() appends
// what later versions have added.
template <typename Archive> void serialize(Archive &ar, JobSnapshot &v) {
  ar(v.Config, v.Jobs, v.Workers);
}

} // namespace jujube::jobs

#endif // JUJUBE_WIRE_JOBS_ENCODING_H_
