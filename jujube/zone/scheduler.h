// What the leader of an availability zone does with its journal: it queues,
// places, leases and reclaims.
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
#include "jujube/fate/fate_book.h"
#include "jujube/fate/sync_scopes.h"
#include "jujube/limits/lease_table.h"
#include "jujube/limits/zone_slices.h"
#include "jujube/metrics/metrics.h"
#include "jujube/placement/planner.h"
#include "jujube/zone/directives.h"
#include "jujube/zone/zone_options.h"

namespace jujube::zone {

// One moment on the two time lines of a leader.
struct Moment {
  // The host's monotonic clock; for leases and plans.
  Instant Now;
  // Wall time; for events of the journal.
  Instant Wall;
};

// Hooks of a scheduler into the task that owns it.
struct SchedulerHooks {
  // Proposes events to the zone's group as one record.
  std::function<void(std::vector<fate::Event>)> Propose;
  // The worker has a directive waiting.
  std::function<void(const WorkerId &)> WakeWorker;
  // The request has ended.
  std::function<void(const RequestId &)> RequestEnded;
};

// Made anew by each new leader from the book, and dropped when it stops
// leading. It changes the book only through proposals, whose events come back
// through onApplied().
class Scheduler {
public:
  static Result<std::unique_ptr<Scheduler>>
  create(const ZoneOptions &options, Term term, const fate::FateBook &book,
         const catalogue::Catalogue &catalogue, SchedulerHooks hooks,
         Moment at);

  // An event that changed the book was applied.
  void onApplied(const fate::Event &event, Moment at);
  // The catalogue has a new revision.
  void setCatalogue(const catalogue::Catalogue &catalogue);

  // Takes a worker's sync. An error means that its leases are not renewed now.
  Status takeSync(const fate::WorkerSync &sync, Moment at);
  // How long its reply may wait for a directive.
  Duration holdOf(const fate::WorkerSync &sync, Instant now) const {
    return Scopes.holdOf(sync, Settings.WorkerLease, now);
  }
  // The reply for the worker, or nothing if it has to be delayed or refused;
  // counts its leases as renewed. Without `isDue` it waits for a directive.
  std::optional<fate::SyncReply> replyTo(const WorkerId &worker, bool isDue,
                                         Moment at);

  // True if something changed since the last plan that may let work start.
  bool needsPlan() const { return NeedsPlan; }
  // Offers what can be placed.
  void plan(Moment at);
  // Ends leases, overdue requests and fates; about ten times a second.
  void sweep(Moment at);
  // True if a report to the keepers should not wait for the next second.
  bool hasSliceNews() const;
  // The report to the keepers, about once a second.
  limits::SliceReport reportSlices(Moment at);
  void takeSlices(const limits::SliceReply &reply, Moment at);

  placement::PlannerStatus status() const { return Planner.status(); }
  metrics::Snapshot metrics() const { return Metrics.snapshot(); }
  metrics::Metrics &metricsOfZone() { return Metrics; }

private:
  Scheduler(const ZoneOptions &options, Term term, const fate::FateBook &book,
            placement::Planner planner, SchedulerHooks hooks, Moment at);

  void restore(Moment at);
  // Restores what is neither offered nor running of an open request.
  void restoreRequest(const RequestId &id, const std::vector<uint32_t> &queued,
                      Moment at);
  void setLimits(Instant now);
  std::vector<limits::TeamDemand> demands() const;
  // The request's acceptance on the planner's time line.
  Instant acceptedAt(const fate::RequestRecord &request, Moment at) const;
  void enqueueAll(const RequestId &id, Moment at);
  void afterAttempt(const TaskId &task, placement::EndKind kind, Moment at);
  void forgetIfEnded(const RequestId &id, Moment at);
  void observeStart(const TaskId &task, Moment at);

  void on(const fate::RequestAccepted &event, Moment at);
  void on(const fate::TaskOffered &event, Moment at);
  void on(const fate::TaskStarted &event, Moment at);
  void on(const fate::ReservationChanged &event, Moment) {
    grant(event.Task, event.Reserved);
  }
  void on(const fate::TaskEnded &event, Moment at);
  void on(const fate::AttemptLost &event, Moment at);
  void on(const fate::RequestCancelled &event, Moment at);
  void on(const fate::RequestRejected &event, Moment at);
  void on(const fate::LiveOffered &, Moment) {}
  void on(const fate::LiveEnded &event, Moment at);
  void on(const fate::FateForgotten &, Moment) {}
  void on(const limits::SliceUpdate &, Moment at);

  std::optional<fate::Event> carryOut(const placement::Offer &offer, Moment at);
  std::optional<fate::Event> carryOut(const placement::StopTask &stop, Moment) {
    return direct(stop.Task, fate::DirectiveKind::Stop);
  }
  std::optional<fate::Event> carryOut(const placement::CheckpointTask &stop,
                                      Moment) {
    return direct(stop.Task, fate::DirectiveKind::Checkpoint);
  }
  std::optional<fate::Event> carryOut(const placement::ThrottleTask &throttle,
                                      Moment at);
  std::optional<fate::Event> carryOut(const placement::RejectRequest &reject,
                                      Moment at);
  std::vector<fate::Directive> answersFor(const WorkerId &worker);
  // Orders that need no event.
  std::nullopt_t direct(const TaskId &task, fate::DirectiveKind kind);
  void grant(const TaskId &task, const Resources &size);

  ZoneOptions Settings;
  Term LeaderTerm;
  const fate::FateBook &Book;
  placement::Planner Planner;
  SchedulerHooks Hooks;
  Directives Orders;
  limits::LeaseTable<WorkerId> Leases;
  fate::SyncScopes Scopes;
  limits::ZoneSlices Slices;
  std::vector<catalogue::Team> Teams;
  std::map<WorkerId, Incarnation> Workers;
  // The latest report of each attempt that is not answered yet, and who
  // reported each task.
  std::map<WorkerId, std::map<TaskId, fate::TaskReport>> Unanswered;
  std::map<TaskId, WorkerId> ReportedBy;
  // Workers whose ended leases are being journaled.
  std::set<WorkerId> Expiring;
  metrics::Metrics Metrics;
  Instant NextLimits;
  bool NeedsPlan = true;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_SCHEDULER_H_
