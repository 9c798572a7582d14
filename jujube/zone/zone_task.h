// The scheduler process's task that owns the zone's journal and the requests
// that wait for it.
#ifndef JUJUBE_ZONE_ZONE_TASK_H_
#define JUJUBE_ZONE_ZONE_TASK_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/result.h"
#include "jujube/catalogue/follower.h"
#include "jujube/fate/fate_book.h"
#include "jujube/replica/group_member.h"
#include "jujube/routing/credit_ledger.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/catalogue_poller.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messenger.h"
#include "jujube/zone/runner_desk.h"
#include "jujube/zone/scheduler.h"
#include "jujube/zone/zone_options.h"

namespace jujube::zone {

// State of the zone task; lives on its thread.
class ZoneTask {
public:
  static Result<std::unique_ptr<ZoneTask>> create(const ZoneOptions &options,
                                                  runtime::TaskContext &context,
                                                  wire::PacketMailbox outbox);
  ~ZoneTask();

  // Handles what the transport tells.
  void receive(const wire::TransportEvent &event) { Group.receive(event); }
  // Passes leadership on and ends the loop.
  void stop() { Group.stop(); }
  // Why the task has to end; Ok if it was asked to.
  const Status &outcome() const { return Group.outcome(); }

private:
  struct ParkedSync {
    wire::Envelope Request;
    Instant AnswerBy;
  };
  // A worker keeps one sync waiting and sends another when it has news.
  using ParkedSyncs = std::vector<ParkedSync>;
  struct ParkedAsk {
    wire::Envelope Request;
    Instant AnswerBy;
  };

  ZoneTask(const ZoneOptions &options, runtime::TaskContext &context,
           wire::PacketMailbox outbox);

  Status openReplica();
  replica::ReplicaHooks replicaHooks();
  void startTimers();
  void changeRole(const consensus::RoleChanged &change);
  void lead(Term term);
  // Tells the entry hosts, which may still wait for the predecessor.
  void announceLeadership(Term term);
  void apply(const std::string &payload);
  bool isServing() const {
    return Leading != nullptr && Group.log().mayServe();
  }
  Moment moment() const;

  void handle(const wire::Envelope &request, const wire::SubmitWork &submit);
  void handle(const wire::Envelope &request, const wire::CancelWork &cancel);
  void handle(const wire::Envelope &request, const wire::AskFate &ask);
  void handle(const wire::Envelope &request, const wire::SyncTasks &sync);
  void handle(const wire::Envelope &request,
              const wire::PassAnnouncement &pass);
  void handle(const wire::Envelope &request, const wire::ReportCredits &report);
  void handle(const wire::Envelope &request, const wire::JournalLive &live);
  void handle(const wire::Envelope &request, const wire::JournalLiveEnd &live);
  void handle(const wire::Envelope &request, const wire::ReadZone &read);
  template <typename Other>
  void handle(const wire::Envelope &request, const Other &) {
    Group.refuseKind(request);
  }

  void answerFate(const wire::Envelope &request, const RequestId &id);
  // Proposes an event, if there is one, and answers with the request's fate.
  void proposeThenAnswer(const wire::Envelope &request, const RequestId &id,
                         const Result<std::optional<fate::Event>> &event);
  void propose(const std::vector<fate::Event> &events,
               replica::ProposalHook done);
  // The team on whose behalf a request is asked for: that of the key, or the
  // owner if the request came without one to an open entry.
  TeamId actingTeam(const RequestId &id, const TeamId &presented) const;
  bool maySee(const RequestId &id, const TeamId &presented) const;
  // Proposes what the scheduler asked for since the last turn as one record.
  void proposeGathered();
  void answerSync(const WorkerId &worker);
  void answerAsks(const RequestId &id);
  void answerOverdue();
  void pollSlices();
  void refuseParked();
  api::ZoneStatus status() const;

  ZoneOptions Settings;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  wire::LeaderClient Keepers;
  wire::CataloguePoller Catalogue;
  fate::FateBook Book;
  replica::GroupMember Group;
  std::map<WorkerId, ParkedSyncs> Syncs;
  std::multimap<RequestId, ParkedAsk> Asks;
  // While this scheduler leads.
  std::unique_ptr<Scheduler> Leading;
  std::unique_ptr<RunnerDesk> Runners;
  // Events that the scheduler proposes at the end of this turn.
  std::vector<fate::Event> Gathered;
  // Workers that have directives since the last turn.
  std::set<WorkerId> Woken;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_ZONE_TASK_H_
