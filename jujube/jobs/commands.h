// What front ends ask the control group, and what it answers.
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

// Where a caller's request goes and who sends it, not yet checked against the
// configuration.
struct Caller {
  std::string HostName;
  // Without the job's id.
  std::string Path;
  // Empty if none was sent.
  std::string Key;

  bool operator==(const Caller &) const = default;
};

// Submits a job; its Queue and Team are set by the receiver.
struct SubmitJob {
  Caller By;
  JobSpec Job;
};
struct CancelJob {
  Caller By;
  JobId Job;
};
struct ReadJob {
  Caller By;
  JobId Job;
};
// Counts the jobs of a queue of which no task has started.
struct CountPending {
  Caller By;
};

struct PutConfiguration {
  Configuration Value;
};
struct ReadConfiguration {};

struct AnnounceWorker {
  Announcement What;
};
// A worker says that it ends now.
struct WithdrawWorker {
  WorkerId Worker;
};

// A host that can make calls for the leader tells that it is there.
struct OfferHelp {
  HostId Host;
  Address At;
};

using Command =
    std::variant<SubmitJob, CancelJob, ReadJob, CountPending, PutConfiguration,
                 ReadConfiguration, AnnounceWorker, WithdrawWorker, OfferHelp>;

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
  OfferHelp,
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
        {CommandKind::OfferHelp, "offer_help"},
    }};
static_assert(isComplete(CommandKindNames));

inline CommandKind kindOf(const Command &command) {
  return static_cast<CommandKind>(command.index());
}

// The job that a command is about; empty for those that are about none.
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
struct JobNews {
  JobState State = JobState::Queued;
};
struct PendingCount {
  uint64_t Jobs = 0;
};
struct ConfigurationNews {
  std::string Document;
};
// The leader is named so that the worker can announce itself there.
struct WorkerNoted {
  Address LeaderControl;
};
// Where the members of the control group take messages.
struct Members {
  std::vector<Address> Addresses;
};

using Reply = std::variant<Stored, JobNews, PendingCount, ConfigurationNews,
                           WorkerNoted, Members>;

// Asks which workers may run a step; made on behalf of the leader.
struct ApprovalQuery {
  StepKey Step;
  std::vector<WorkerId> Workers;
};
struct Approval {
  WorkerId Worker;
  // Handed to the worker with each start.
  std::string Ticket;

  bool operator==(const Approval &) const = default;
};
struct ApprovalAnswer {
  std::vector<Approval> Approved;
  // How long the tickets may be used, from when they were given.
  Duration Validity;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_COMMANDS_H_
