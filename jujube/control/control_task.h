// The task of one member of the control group: its log, the book of jobs, and,
// while it leads, the workers and the starts.
#ifndef JUJUBE_CONTROL_CONTROL_TASK_H_
#define JUJUBE_CONTROL_CONTROL_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/control/admission_queue.h"
#include "jujube/control/control_client.h"
#include "jujube/control/control_options.h"
#include "jujube/control/event_batch.h"
#include "jujube/control/helper_roster.h"
#include "jujube/control/plan_pacer.h"
#include "jujube/control/turn_meter.h"
#include "jujube/control/wait_ledger.h"
#include "jujube/control/worker_desk.h"
#include "jujube/dispatch/approvals.h"
#include "jujube/dispatch/dispatcher.h"
#include "jujube/http/caller.h"
#include "jujube/http/metrics_server.h"
#include "jujube/jobs/job_book.h"
#include "jujube/metrics/metrics.h"
#include "jujube/replica/group_member.h"
#include "jujube/runtime/task.h"
#include "jujube/storage/store.h"
#include "jujube/wire/messenger.h"

namespace jujube::control {

// The mailboxes between the tasks of a member.
struct ControlMailboxes {
  // From the threads of the HTTP server.
  ClientMailbox Clients;
  http::CallMailbox Calls;
  http::CallResults Results;
  // Questions for the values of the metrics.
  http::MetricsMailbox Questions = http::makeMetricsMailbox();
  // Raised when the process is about to stop: leadership is passed on first.
  std::shared_ptr<runtime::SignalEvent> Leaving =
      std::make_shared<runtime::SignalEvent>();
};

// State of the control task; lives on its thread.
class ControlTask {
public:
  using Answer = std::function<void(Result<jobs::Reply>)>;

  // Recovers the log and joins the group.
  static Result<std::unique_ptr<ControlTask>>
  create(const ControlOptions &options, const ControlMailboxes &mailboxes,
         runtime::TaskContext &context, wire::PacketMailbox outbox);

  // Handles what the transport tells.
  void receive(const wire::TransportEvent &event);
  // Passes leadership on and ends the loop.
  void stop() { Group.stop(); }
  // Why the task has to end; Ok if it was asked to.
  const Status &outcome() const { return Group.outcome(); }
  // True while it leads and answers commands.
  bool isServing() const { return Desk != nullptr && Group.log().mayServe(); }
  // What it has done since it was created.
  const TurnMeter::Accounts &work() const { return Meter.totals(); }

private:
  ControlTask(const ControlOptions &options, const ControlMailboxes &mailboxes,
              runtime::TaskContext &context, wire::PacketMailbox outbox);

  Status openReplica();
  replica::DiskHooks diskHooks();
  replica::ReplicaHooks replicaHooks();
  void changeRole(const consensus::RoleChanged &change);
  void lead();
  WorkerDesk::Hooks deskHooks();
  void sendOrder(const dispatch::Order &order, Duration timeout,
                 std::function<void(dispatch::OrderAnswer)> done);

  // Queues what the leader is asked, but for what keeps hosts and workers in
  // its view.
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
  void run(const jobs::OfferHelp &command, const Answer &done);

  // The queue and the team of a caller; an error if it may not use the queue.
  struct Admitted {
    const jobs::Queue *Queue = nullptr;
    TeamId Team;
  };
  Result<Admitted> admit(const jobs::Caller &caller) const;
  Result<const jobs::Job *> findJob(const jobs::Caller &caller,
                                    const jobs::JobId &id) const;

  // Appends events to the batch of this turn.
  void store(std::vector<jobs::Event> events, std::function<void(bool)> done);
  // Stores events and answers once they are applied.
  void storeAndReply(std::vector<jobs::Event> events, const Answer &done,
                     std::function<jobs::Reply()> reply);
  void flushBatch();
  void applyRecord(const std::string &payload);
  void follow(const jobs::Event &event);
  void followStart(const jobs::AttemptStarted &event);
  void followEnd(const jobs::AttemptEnded &event);
  void followGone(const jobs::WorkerGone &event);
  void followCancel(const jobs::JobCancelled &event);
  void stopLiveTasks(const jobs::JobId &job);
  void stopRestOfGang(const jobs::StepKey &step);

  // Metrics and lines about what happens to jobs.
  struct CommandBrief {
    jobs::CommandKind Kind = jobs::CommandKind::SubmitJob;
    jobs::JobId Job;
  };
  static CommandBrief briefOf(const jobs::Command &command) {
    return {jobs::kindOf(command), jobs::jobOf(command)};
  }
  void noteRefusal(const CommandBrief &command, const Error &error);
  void noteAccepted(const jobs::JobSpec &spec);
  void noteApproval(const jobs::ApprovalQuery &query,
                    const jobs::ApprovalAnswer &answer, Duration after);
  // `isWhole`: the plan is over all steps.
  void noteWaits(const dispatch::DispatchPlan &plan, bool isWhole);
  void noteEnd(const jobs::AttemptEnded &event, const jobs::Job &job,
               const WorkerId &worker);
  // What the job had until its objective when it was accepted; nothing if that
  // is not one span. Precondition: the job has not ended.
  std::optional<Duration> aimOf(const jobs::Job &job) const;
  // `aim` is that of the job before it ended.
  void noteJobEnded(const jobs::Job &job, std::optional<Duration> aim);
  metrics::Snapshot snapshot() const;

  // Accounts of the task's own work (control_work.cc).
  void noteTurn();
  void notePlan(const dispatch::DispatchPlan &plan, Duration elapsed);
  void noteLeadershipTaken(Duration elapsed);
  void noteLeadershipLost(const consensus::RoleChanged &change);
  void tellWork();
  void addWork(metrics::Snapshot &all) const;

  void endTurn();
  void planIfDue();
  // Ends a turn then.
  void wakeForPlan(Instant at);
  void startPlanned(const std::vector<dispatch::PlannedStart> &starts);
  void ask(const jobs::ApprovalQuery &query);
  void sweep();
  void forgetEnded();
  void dropSilentWorkers();

  ControlOptions Settings;
  runtime::PollLoop &Loop;
  TurnMeter Meter;
  wire::Messenger Messages;
  replica::GroupMember Group;
  ControlClient Forward;
  http::CallDesk Calls;
  Clock Wall;
  std::unique_ptr<storage::Store> Disk;
  jobs::JobBook Book;

  AdmissionQueue Admissions;
  // The batch of this turn.
  EventBatch Batch;

  // Since this member leads.
  struct Leadership {
    Instant Since;
    // The send time of the latest message that a quorum acknowledged.
    Instant Confirmed;
    Duration LongestTurn;
    Work LongestWork = Work::Other;
  };

  // Leader only.
  std::optional<Leadership> Lead;
  std::shared_ptr<WorkerDesk> Desk;
  dispatch::Approvals Approved;
  HelperRoster Helpers;
  dispatch::DispatchHooks Policy = dispatch::defaultHooks();
  std::map<jobs::JobId, Instant> EndedAt;
  WaitLedger Waits;
  bool IsPlanDue = false;
  bool IsPlanStoring = false;
  PlanPacer Pacer;
  bool IsPlanWakeSet = false;
  // Where the last plan was cut.
  std::optional<dispatch::PlanCursor> PlanResume;
  metrics::Metrics Numbers;
  // When this member applied the configuration that it holds.
  Instant ConfiguredAt;
  // Consecutive slow syncs of this member's disk.
  int SlowSyncs = 0;
  // Long turns since the last line about one, and when the next may be written.
  int LongTurns = 0;
  Instant NextLongTurnLine;
  TurnMeter::Accounts ToldWork;
};

// The supervisor tree of a member: the control task, the transport, the caller,
// `servers`, which post to `mailboxes.Clients`, and the gate, which is stopped
// first and lets leadership be passed on while the others still run.
Result<runtime::Supervisor>
controlTree(const ControlOptions &options, const ControlMailboxes &mailboxes,
            std::vector<runtime::ChildSpec> servers);

} // namespace jujube::control

#endif // JUJUBE_CONTROL_CONTROL_TASK_H_
