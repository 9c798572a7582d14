// Commands that front ends send to the control group, and its replies.
#ifndef JUJUBE_JOBS_COMMANDS_H_
#define JUJUBE_JOBS_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/result.h"
#include "jujube/jobs/configuration.h"
#include "jujube/jobs/types.h"

namespace jujube::jobs {

// Submits a job. The control group sets its Queue and Team.
struct SubmitJob {
  Caller By;
  JobSpec Job;
};
// Cancels a job; does nothing to a job that has ended.
struct CancelJob {
  Caller By;
  JobId Job;
};
// Reads the state of a job; answered by JobStatusReply.
struct ReadJob {
  Caller By;
  JobId Job;
};
// Counts the jobs of the caller's queue of which no task has started; answered
// by PendingCount.
struct CountPending {
  Caller By;
};

// Replaces the configuration; has no effect unless its version is higher.
struct PutConfiguration {
  Configuration Value;
};
// Reads the operator's document; answered by ConfigurationReply.
struct ReadConfiguration {};

// Registers a worker or updates what is stored of it; answered by
// WorkerRegistered.
struct AnnounceWorker {
  Announcement What;
};
// A worker announces that it is shutting down now.
struct WithdrawWorker {
  WorkerId Worker;
};

// Registers a host that can make approval queries for the leader; answered by
// Members.
struct RegisterHelper {
  HostId Host;
  Address At;
};

// Starts no further task on the workers of a zone.
struct EvacuateZone {
  ZoneId Zone;
};
// Withdraws the evacuation of a zone; does nothing if there is none.
struct RestoreZone {
  ZoneId Zone;
};
// Lists the evacuated zones; answered by EvacuatedZones.
struct ReadEvacuations {};

using Command =
    std::variant<SubmitJob, CancelJob, ReadJob, CountPending, PutConfiguration,
                 ReadConfiguration, AnnounceWorker, WithdrawWorker,
                 RegisterHelper, EvacuateZone, RestoreZone, ReadEvacuations>;

// The kinds of commands, in the order of Command.
enum class CommandKind {
  SubmitJob,
  CancelJob,
  ReadJob,
  CountPending,
  PutConfiguration,
  ReadConfiguration,
  AnnounceWorker,
  WithdrawWorker,
  RegisterHelper,
  EvacuateZone,
  RestoreZone,
  ReadEvacuations,
};

inline constexpr NameTable<CommandKind, std::variant_size_v<Command>>
    CommandKindNames = {{
        {CommandKind::SubmitJob, "submit_job"},
        {CommandKind::CancelJob, "cancel_job"},
        {CommandKind::ReadJob, "read_job"},
        {CommandKind::CountPending, "count_pending"},
        {CommandKind::PutConfiguration, "put_configuration"},
        {CommandKind::ReadConfiguration, "read_configuration"},
        {CommandKind::AnnounceWorker, "announce_worker"},
        {CommandKind::WithdrawWorker, "withdraw_worker"},
        {CommandKind::RegisterHelper, "offer_help"},
        {CommandKind::EvacuateZone, "evacuate_zone"},
        {CommandKind::RestoreZone, "restore_zone"},
        {CommandKind::ReadEvacuations, "read_evacuations"},
    }};
static_assert(isComplete(CommandKindNames));

inline CommandKind kindOf(const Command &command) {
  return static_cast<CommandKind>(command.index());
}

// The job that a command refers to; empty if it refers to none.
inline JobId jobOf(const Command &command) {
  if (const auto *submit = std::get_if<SubmitJob>(&command))
    return submit->Job.Id;
  if (const auto *cancel = std::get_if<CancelJob>(&command))
    return cancel->Job;
  if (const auto *read = std::get_if<ReadJob>(&command))
    return read->Job;
  return JobId();
}

// The command was carried out and its effect is stored.
struct Stored {};
// Answer to ReadJob.
struct JobStatusReply {
  JobState State = JobState::Queued;
};
// Answer to CountPending.
struct PendingCount {
  uint64_t Jobs = 0;
};
// Answer to ReadConfiguration.
struct ConfigurationReply {
  std::string Document;
};
// Answer to AnnounceWorker.
struct WorkerRegistered {
  // Where the worker should send its next announcements.
  Address LeaderControl;
};
// Answer to RegisterHelper.
struct Members {
  // Where the members of the control group receive messages.
  std::vector<Address> Addresses;
};

// Answer to ReadEvacuations.
struct EvacuatedZones {
  std::vector<ZoneId> Zones;
};

using Reply =
    std::variant<Stored, JobStatusReply, PendingCount, ConfigurationReply,
                 WorkerRegistered, Members, EvacuatedZones>;

// Asks an approval service which of the workers may run a step. A helper host
// makes the call for the leader.
struct ApprovalQuery {
  StepKey Step;
  std::vector<WorkerId> Workers;
};
struct Approval {
  WorkerId Worker;
  // Proves the approval; sent to the worker with each start.
  std::string Ticket;

  bool operator==(const Approval &) const = default;
};
// Workers of the query that are missing here were not approved.
struct ApprovalAnswer {
  std::vector<Approval> Approved;
  // How long the tickets may be used after they were issued.
  Duration Validity;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_COMMANDS_H_
