// Scheduling in the leader of an availability zone: queues requests, places
// tasks, renews the leases of workers and reclaims the tasks of lost ones.
#ifndef JUJUBE_ZONE_SCHEDULER_H_
#define JUJUBE_ZONE_SCHEDULER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/fate/sync_scopes.h"
#include "jujube/limits/lease_table.h"
#include "jujube/limits/zone_slices.h"
#include "jujube/metrics/metrics.h"
#include "jujube/placement/planner.h"
#include "jujube/zone/directives.h"
#include "jujube/zone/zone_options.h"

namespace jujube::zone {

// A point in time on both clocks of a leader.
struct Moment {
  // The host's monotonic clock, for leases and planning.
  Instant Now;
  // Wall time, for events in the journal.
  Instant Wall;
};

// Callbacks from a scheduler to the task that owns it.
struct SchedulerHooks {
  // Proposes events to the zone's consensus group as one record.
  std::function<void(std::vector<fate::Event>)> Propose;
  // Called when a directive is ready for the worker.
  std::function<void(const WorkerId &)> WakeWorker;
  // Called when the request has ended.
  std::function<void(const RequestId &)> RequestEnded;
};

// Schedules the work of one availability zone. Owned by the zone task, which
// creates a scheduler from the fate state machine when it becomes leader and
// destroys it when it loses leadership. The scheduler never changes the state
// machine directly: it proposes events, and onApplied() reports each one after
// it was committed and applied.
class Scheduler {
public:
  static Result<std::unique_ptr<Scheduler>> create(
      const ZoneOptions &options, Term term, const fate::FateStateMachine &book,
      const catalogue::Catalogue &catalogue, SchedulerHooks hooks, Moment at);

  // Updates the scheduler after `event` has changed the state machine.
  void onApplied(const fate::Event &event, Moment at);
  // Takes the teams from a new revision of the catalogue.
  void setCatalogue(const catalogue::Catalogue &catalogue);

  // Processes a worker's sync. On error, the worker's lease is not renewed.
  Status takeSync(const fate::WorkerSync &sync, Moment at);
  // How long the reply to the sync may be held back for a directive.
  Duration replyHold(const fate::WorkerSync &sync, Instant now) const {
    return Scopes.replyHold(sync, Settings.WorkerLease, now);
  }
  // Returns the next reply to the worker and renews its lease. Empty if no
  // reply may be sent now: the keepers have not confirmed the slices, the lease
  // has ended, or `isDue` is false and there is neither a directive nor an
  // urgent change of the sync's scope.
  std::optional<fate::SyncReply> replyTo(const WorkerId &worker, bool isDue,
                                         Moment at);

  // True if a change since the last plan may allow more work to start.
  bool needsPlan() const { return NeedsPlan; }
  // Runs the planner, proposes the resulting events and requests directives.
  void plan(Moment at);
  // Ends expired leases, overdue requests and fates past their retention.
  // Called about ten times a second.
  void sweep(Moment at);
  // True if the next report to the keepers should be sent at once.
  bool hasUrgentSliceReport() const;
  // Returns the report to the keepers. Called about once a second.
  limits::SliceReport reportSlices(Moment at);
  void takeSlices(const limits::SliceReply &reply, Moment at);

  placement::PlannerStatus status() const { return Planner.status(); }
  metrics::Snapshot metrics() const { return Metrics.snapshot(); }
  metrics::Metrics &metricsOfZone() { return Metrics; }

private:
  Scheduler(const ZoneOptions &options, Term term,
            const fate::FateStateMachine &book, placement::Planner planner,
            SchedulerHooks hooks, Moment at);

  void restore(Moment at);
  // Restores the finished and the queued tasks of an open request.
  void restoreRequest(const RequestId &id, const std::vector<uint32_t> &queued,
                      Moment at);
  void updateLimits(Instant now);
  std::vector<limits::TeamDemand> demands() const;
  // When the request was accepted, on the planner's monotonic clock.
  Instant acceptedAt(const fate::RequestRecord &request, Moment at) const;
  void enqueueAll(const RequestId &id, Moment at);
  void onAttemptEnded(const TaskId &task, placement::EndKind kind, Moment at);
  void finishIfEnded(const RequestId &id, Moment at);
  void observeStart(const TaskId &task, Moment at);

  void on(const fate::RequestAccepted &event, Moment at);
  void on(const fate::TaskOffered &event, Moment at);
  void on(const fate::TaskStarted &event, Moment at);
  void on(const fate::ReservationChanged &event, Moment) {
    sendGrant(event.Task, event.Reserved);
  }
  void on(const fate::TaskEnded &event, Moment at);
  void on(const fate::AttemptLost &event, Moment at);
  void on(const fate::RequestCancelled &event, Moment at);
  void on(const fate::RequestRejected &event, Moment at);
  void on(const fate::LiveOffered &, Moment) {}
  void on(const fate::LiveEnded &event, Moment at);
  void on(const fate::FateForgotten &, Moment) {}
  void on(const limits::SliceUpdate &, Moment at);

  std::optional<fate::Event> execute(const placement::Offer &offer, Moment at);
  std::optional<fate::Event> execute(const placement::StopTask &stop, Moment) {
    return requestStop(stop.Task, fate::DirectiveKind::Stop);
  }
  std::optional<fate::Event> execute(const placement::CheckpointTask &stop,
                                     Moment) {
    return requestStop(stop.Task, fate::DirectiveKind::Checkpoint);
  }
  std::optional<fate::Event> execute(const placement::ThrottleTask &throttle,
                                     Moment at);
  std::optional<fate::Event> execute(const placement::RejectRequest &reject,
                                     Moment at);
  std::vector<fate::Directive> takeAnswers(const WorkerId &worker);
  // Requests a directive that needs no event in the journal.
  std::nullopt_t requestStop(const TaskId &task, fate::DirectiveKind kind);
  void sendGrant(const TaskId &task, const Resources &size);

  ZoneOptions Settings;
  Term LeaderTerm;
  const fate::FateStateMachine &Book;
  placement::Planner Planner;
  SchedulerHooks Hooks;
  Directives Pending;
  limits::LeaseTable<WorkerId> Leases;
  fate::SyncScopeTracker Scopes;
  limits::ZoneSlices Slices;
  std::vector<catalogue::Team> Teams;
  std::map<WorkerId, Incarnation> Workers;
  // The latest unanswered report of each task, by worker.
  std::map<WorkerId, std::map<TaskId, fate::TaskReport>> Unanswered;
  // The worker that reported each task last.
  std::map<TaskId, WorkerId> LastReporter;
  // Workers whose lease has ended, until the journal shows that their attempts
  // are lost.
  std::set<WorkerId> Expiring;
  metrics::Metrics Metrics;
  Instant NextLimitUpdate;
  bool NeedsPlan = true;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_SCHEDULER_H_
