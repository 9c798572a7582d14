// The task of one member of the control group. It owns the replicated log and
// the job state and, while it leads, dispatches tasks to the workers.
#ifndef JUJUBE_CONTROL_CONTROL_TASK_H_
#define JUJUBE_CONTROL_CONTROL_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jujube/control/admission_queue.h"
#include "jujube/control/approval_helpers.h"
#include "jujube/control/control_client.h"
#include "jujube/control/control_options.h"
#include "jujube/control/event_batch.h"
#include "jujube/control/plan_pacer.h"
#include "jujube/control/turn_meter.h"
#include "jujube/control/wait_tracker.h"
#include "jujube/control/worker_sessions.h"
#include "jujube/dispatch/approvals.h"
#include "jujube/dispatch/dispatcher.h"
#include "jujube/http/caller.h"
#include "jujube/http/metrics_server.h"
#include "jujube/jobs/job_state_machine.h"
#include "jujube/metrics/metrics.h"
#include "jujube/replica/group_member.h"
#include "jujube/runtime/task.h"
#include "jujube/shares/share_table.h"
#include "jujube/storage/store.h"
#include "jujube/wire/messenger.h"

namespace jujube::control {

// Mailboxes between the tasks of one member.
struct ControlMailboxes {
  // Commands from the threads of the HTTP server.
  ClientMailbox Clients;
  http::CallMailbox Calls;
  http::CallResults Results;
  // Requests for a snapshot of the metrics.
  http::MetricsMailbox MetricsRequests = http::makeMetricsMailbox();
  // Raised when the process is about to stop, so that the leader transfers
  // leadership first.
  std::shared_ptr<runtime::SignalEvent> Leaving =
      std::make_shared<runtime::SignalEvent>();
};

// Why an announcement changes nothing.
enum class IgnoredAnnouncement {
  // The worker has drained and was removed.
  Departed,
  // A later announcement or a later incarnation is known.
  Stale,
  // The incarnation is registered with another address or pool, which it keeps
  // for as long as it runs.
  OtherIdentity,
  // The configuration has no such pool.
  UnknownPool,
  // A newer worker is registered at the address.
  AddressTaken,
};

inline constexpr NameTable<IgnoredAnnouncement, 5> IgnoredAnnouncementNames = {{
    {IgnoredAnnouncement::Departed, "departed"},
    {IgnoredAnnouncement::Stale, "stale"},
    {IgnoredAnnouncement::OtherIdentity, "other_identity"},
    {IgnoredAnnouncement::UnknownPool, "unknown_pool"},
    {IgnoredAnnouncement::AddressTaken, "address_taken"},
}};
static_assert(isComplete(IgnoredAnnouncementNames));

// The state of the control task. Used only on the thread of that task.
class ControlTask {
public:
  using Answer = std::function<void(Result<jobs::Reply>)>;

  // Recovers the log from disk and joins the group.
  static Result<std::unique_ptr<ControlTask>>
  create(const ControlOptions &options, const ControlMailboxes &mailboxes,
         runtime::TaskContext &context, wire::PacketMailbox outbox);

  // Handles an event from the transport.
  void receive(const wire::TransportEvent &event);
  // Transfers leadership and ends the event loop.
  void stop() { Group.stop(); }
  // The error that ended the task; Ok if it was asked to stop.
  const Status &outcome() const { return Group.outcome(); }
  // True while this member leads and may answer commands.
  bool isServing() const {
    return Sessions != nullptr && Group.log().mayServe();
  }
  // Totals of the work since the task was created.
  const TurnMeter::Accounts &work() const { return Meter.totals(); }

private:
  ControlTask(const ControlOptions &options, const ControlMailboxes &mailboxes,
              runtime::TaskContext &context, wire::PacketMailbox outbox);

  Status openReplica();
  replica::DiskHooks diskHooks();
  replica::ReplicaHooks replicaHooks();
  void changeRole(const consensus::RoleChanged &change);
  void becomeLeader();
  WorkerSessions::Hooks sessionHooks();
  void sendOrder(const dispatch::Order &order, Duration timeout,
                 std::function<void(dispatch::OrderAnswer)> done);

  // Queues a command. Commands of operators, reports of hosts and workers, and
  // cancellations are executed at once.
  void serve(ClientRequest request);
  void serveNow(ClientRequest request);
  void handle(const wire::Envelope &request);
  void handleNow(const wire::Envelope &request, const jobs::Command &command);
  void serveAdmitted();
  void execute(const jobs::Command &command, const Answer &done);
  void run(const jobs::SubmitJob &command, const Answer &done);
  void run(const jobs::CancelJob &command, const Answer &done);
  void run(const jobs::ReadJob &command, const Answer &done);
  void run(const jobs::CountPending &command, const Answer &done);
  void run(const jobs::PutConfiguration &command, const Answer &done);
  void run(const jobs::ReadConfiguration &command, const Answer &done);
  void run(const jobs::AnnounceWorker &command, const Answer &done);
  void run(const jobs::WithdrawWorker &command, const Answer &done);
  void run(const jobs::EvacuateZone &command, const Answer &done);
  void run(const jobs::RestoreZone &command, const Answer &done);
  void run(const jobs::ReadEvacuations &command, const Answer &done);
  void run(const jobs::RegisterHelper &command, const Answer &done);

  // The queue and the team of a caller.
  struct Admitted {
    const jobs::Queue *Queue = nullptr;
    TeamId Team;
  };
  Result<Admitted> admit(const jobs::Caller &caller) const;
  Result<const jobs::Job *> findJob(const jobs::Caller &caller,
                                    const jobs::JobId &id) const;
  static jobs::Owner ownerOf(const Admitted &by, const jobs::Caller &caller);
  // Records that an unknown job was cancelled: its submission may still arrive.
  void withdraw(const jobs::CancelJob &command, const Answer &done);
  // Returns why an announcement is acknowledged and otherwise ignored; nullopt
  // if it is to be stored. `held` is the registered worker of this id, or null.
  std::optional<IgnoredAnnouncement>
  reasonToIgnore(const jobs::Announcement &what,
                 const jobs::Worker *held) const;
  void verifyWorkersAt(const Address &at);

  // Adds events to the batch of this turn; `done` is told whether they were
  // stored.
  void store(std::vector<jobs::Event> events, std::function<void(bool)> done);
  // Stores events and replies once they are applied.
  void storeAndReply(std::vector<jobs::Event> events, const Answer &done,
                     std::function<Result<jobs::Reply>()> reply);
  void flushBatch();
  void applyRecord(const std::string &payload);
  void applyEvent(const jobs::Event &event);
  void applyAttemptStarted(const jobs::AttemptStarted &event);
  // `event` is or contains `end`.
  void applyAttemptEnded(const jobs::AttemptEnded &end,
                         const jobs::Event &event);
  void applyWorkerGone(const jobs::WorkerGone &event);
  // `event` is a JobCancelled or a JobWithdrawn of the job.
  void applyJobCancelled(const jobs::JobId &id, const jobs::Event &event);
  void stopLiveTasks(const jobs::JobId &job);
  void stopRestOfGang(const jobs::StepKey &step);

  // Metrics and log lines about jobs.
  struct CommandSummary {
    jobs::CommandKind Kind = jobs::CommandKind::SubmitJob;
    jobs::JobId Job;
  };
  static CommandSummary summaryOf(const jobs::Command &command) {
    return {jobs::kindOf(command), jobs::jobOf(command)};
  }
  void noteRefusal(const CommandSummary &command, const Error &error);
  void noteAccepted(const jobs::JobSpec &spec);
  void noteApproval(const jobs::ApprovalQuery &query,
                    const jobs::ApprovalAnswer &answer, Duration after);
  // Records why steps wait. `isWhole` is true if the plan covers all steps.
  void noteWaits(const dispatch::DispatchPlan &plan, bool isWhole);
  void noteEnd(const jobs::AttemptEnded &event, const jobs::Job &job,
               const WorkerId &worker);
  // The time from the acceptance of the job to its objective; nullopt if the
  // job has a due time or its queue is gone. Precondition: the job has not
  // ended.
  std::optional<Duration> objectiveSpan(const jobs::Job &job) const;
  // `objective` is the value of objectiveSpan() before the job ended.
  void noteJobEnded(const jobs::Job &job, std::optional<Duration> objective);
  metrics::Snapshot snapshot() const;

  // Metrics and log lines about the work of this task (control_work.cc).
  void noteTurn();
  void notePlan(const dispatch::DispatchPlan &plan, Duration elapsed);
  void noteLeadershipTaken(Duration elapsed);
  void noteLeadershipLost(const consensus::RoleChanged &change);
  void logWork();
  void addWork(metrics::Snapshot &all) const;

  void endTurn();
  // Orders steps by the shares of their teams.
  dispatch::DispatchHooks dispatchPolicy();
  void planIfDue();
  // Computes the shares of the teams for the next plan.
  void updateShares(const std::vector<dispatch::WorkerView> &workers);
  // When to hand the job in again, if the team's share can't carry it in useful
  // time; nullopt if it is to be accepted.
  std::optional<Duration> retryAfterBacklog(const jobs::JobSpec &spec,
                                            const jobs::Queue &queue,
                                            const TeamId &id) const;
  // The aged steps that the next plan may plan first.
  dispatch::AgedWindow nextAgedWindow(Instant now);
  // Wakes the loop at `at`, so that a turn ends and planning is retried.
  void wakeForPlan(Instant at);
  void startPlanned(const std::vector<dispatch::PlannedStart> &starts);
  // Sends the orders of starts that are stored.
  void sendStarts(const std::vector<dispatch::PlannedStart> &starts);
  void sendApprovalQuery(const jobs::ApprovalQuery &query);
  void sweep();
  void forgetEnded();
  void dropSilentWorkers();
  // Removes a worker from the register, unless an attempt may be running on it:
  // its removal would end the attempt without evidence.
  void removeIdleWorker(const WorkerId &id, Incarnation life);

  ControlOptions Settings;
  runtime::PollLoop &Loop;
  TurnMeter Meter;
  wire::Messenger Messages;
  replica::GroupMember Group;
  ControlClient LeaderClient;
  http::CallerClient Calls;
  Clock WallClock;
  std::unique_ptr<storage::Store> Storage;
  jobs::JobStateMachine Book;

  AdmissionQueue Admissions;
  // Events that are stored at the end of this turn.
  EventBatch Batch;

  // The current term of leadership of this member.
  struct Leadership {
    Instant Since;
    // When the latest message that a quorum acknowledged was sent.
    Instant Confirmed;
    Duration LongestTurn;
    Work LongestWork = Work::Other;
  };

  // Set only while this member leads.
  std::optional<Leadership> CurrentLeadership;
  std::shared_ptr<WorkerSessions> Sessions;
  dispatch::Approvals Approved;
  ApprovalHelpers Helpers;
  shares::ShareTable Shares;
  // The capacity of the workers at the last plan.
  Resources ShareCapacity;
  Instant NextAged;
  std::size_t AgedOffset = 0;
  // Jobs that are being stored: a resend is the same job.
  std::multiset<jobs::JobId> Storing;
  // Configurations that are being stored.
  std::size_t ConfigurationsStoring = 0;
  dispatch::DispatchHooks Policy = dispatchPolicy();
  std::map<jobs::JobId, Instant> EndedAt;
  WaitTracker Waits;
  bool IsPlanDue = false;
  bool IsPlanStoring = false;
  PlanPacer Pacer;
  bool IsPlanWakeSet = false;
  // Where the last plan stopped early; nullopt if it covered all steps.
  std::optional<dispatch::PlanCursor> PlanResume;
  metrics::Metrics TaskMetrics;
  // When this member applied the current configuration.
  Instant ConfiguredAt;
  // Consecutive slow syncs of this member's disk.
  int SlowSyncs = 0;
  // Long turns since the last log line about long turns, and when the next line
  // may be written.
  int LongTurns = 0;
  Instant NextLongTurnLine;
  TurnMeter::Accounts LoggedWork;
};

// Builds the supervisor tree of a member: the control task, the transport, the
// HTTP caller, `servers`, which post to `mailboxes.Clients`, and the gate. The
// gate is stopped first, and delays the stop of the other tasks so that
// leadership can be transferred.
Result<runtime::Supervisor>
makeControlTree(const ControlOptions &options,
                const ControlMailboxes &mailboxes,
                std::vector<runtime::ChildSpec> servers);

} // namespace jujube::control

#endif // JUJUBE_CONTROL_CONTROL_TASK_H_
