// The main task of a scheduler process.
#ifndef JUJUBE_ZONE_ZONE_TASK_H_
#define JUJUBE_ZONE_ZONE_TASK_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/result.h"
#include "jujube/catalogue/follower.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/replica/group_member.h"
#include "jujube/routing/credit_ledger.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/catalogue_poller.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messenger.h"
#include "jujube/zone/event_outbox.h"
#include "jujube/zone/runner_registry.h"
#include "jujube/zone/scheduler.h"
#include "jujube/zone/zone_options.h"

namespace jujube::zone {

// Owns the zone's replicated journal, the fate state machine built from it, and
// the requests that wait for a change of the state machine. Confined to its
// task's thread.
class ZoneTask {
public:
  static Result<std::unique_ptr<ZoneTask>> create(const ZoneOptions &options,
                                                  runtime::TaskContext &context,
                                                  wire::PacketMailbox outbox);
  ~ZoneTask();

  // Handles a message or connection event from the transport.
  void receive(const wire::TransportEvent &event) { Group.receive(event); }
  // Transfers leadership and ends the loop.
  void stop() { Group.stop(); }
  // The error that ends the task; Ok if the task was asked to stop.
  const Status &outcome() const { return Group.outcome(); }

private:
  struct ParkedSync {
    wire::Envelope Request;
    Instant AnswerBy;
  };
  // A worker keeps one sync open and sends another when it has something to
  // report.
  using ParkedSyncs = std::vector<ParkedSync>;
  struct ParkedFateQuery {
    wire::Envelope Request;
    Instant AnswerBy;
  };

  ZoneTask(const ZoneOptions &options, runtime::TaskContext &context,
           wire::PacketMailbox outbox);

  Status openReplica();
  replica::ReplicaHooks replicaHooks();
  void startTimers();
  void changeRole(const consensus::RoleChanged &change);
  void startLeading(Term term);
  // Notifies the entry hosts, which may still be waiting for the old leader.
  void announceLeadership(Term term);
  void apply(const std::string &payload);
  bool isServing() const {
    return ActiveScheduler != nullptr && Group.log().mayServe();
  }
  Moment moment() const;

  void handle(const wire::Envelope &request, const wire::SubmitWork &submit);
  void handle(const wire::Envelope &request, const wire::CancelWork &cancel);
  void handle(const wire::Envelope &request, const wire::QueryFate &ask);
  void handle(const wire::Envelope &request, const wire::SyncTasks &sync);
  void handle(const wire::Envelope &request,
              const wire::ForwardAnnouncement &pass);
  void handle(const wire::Envelope &request, const wire::ReportCredits &report);
  void handle(const wire::Envelope &request, const wire::JournalLive &live);
  void handle(const wire::Envelope &request, const wire::JournalLiveEnd &live);
  void handle(const wire::Envelope &request, const wire::ReadZone &read);
  template <typename Other>
  void handle(const wire::Envelope &request, const Other &) {
    Group.refuseUnsupported(request);
  }

  void answerFate(const wire::Envelope &request, const RequestId &id);
  // Proposes the event, if there is one, then replies with the request's fate.
  void proposeThenAnswer(const wire::Envelope &request, const RequestId &id,
                         const Result<std::optional<fate::Event>> &event);
  void propose(const std::vector<fate::Event> &events,
               replica::ProposalHook done);
  // The team on whose behalf a caller acts: the team of the presented key, or
  // the request's own team if no key was presented and its entry is open.
  TeamId actingTeam(const RequestId &id, const TeamId &presented) const;
  bool isVisibleTo(const RequestId &id, const TeamId &presented) const;
  void answerSync(const WorkerId &worker);
  void answerFateQueries(const RequestId &id);
  void answerDueRequests();
  void reportToKeepers();
  void refuseParkedRequests();
  api::ZoneStatus status() const;

  ZoneOptions Settings;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  wire::LeaderClient Keepers;
  wire::CataloguePoller Catalogue;
  fate::FateStateMachine Book;
  replica::GroupMember Group;
  std::map<WorkerId, ParkedSyncs> Syncs;
  std::multimap<RequestId, ParkedFateQuery> FateQueries;
  // Set only while this process is the leader.
  std::unique_ptr<Scheduler> ActiveScheduler;
  std::unique_ptr<RunnerRegistry> Runners;
  // Events of the scheduler and of lost entry hosts, proposed at the end of
  // each loop turn.
  EventOutbox Outbox;
  // Workers whose parked syncs are checked at the end of this loop turn.
  std::set<WorkerId> WorkersToAnswer;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_ZONE_TASK_H_
