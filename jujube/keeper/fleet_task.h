// The main task of a keeper process.
#ifndef JUJUBE_KEEPER_FLEET_TASK_H_
#define JUJUBE_KEEPER_FLEET_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/propagation_tracker.h"
#include "jujube/keeper/fleet_state.h"
#include "jujube/keeper/host_roster.h"
#include "jujube/limits/lease_table.h"
#include "jujube/replica/group_member.h"
#include "jujube/runtime/task.h"
#include "jujube/storage/store.h"
#include "jujube/wire/messenger.h"

namespace jujube::keeper {

struct KeeperOptions {
  HostId Self;
  // Address at which other processes reach this keeper.
  Address Listen;
  // All keepers, including this one.
  std::vector<consensus::Peer> Keepers;
  // Directory for the journal and snapshots.
  std::string DataFolder;
  std::string FleetToken;
  // Seed for random election timeouts; taken from the system if empty.
  std::optional<uint64_t> ElectionSeed;
};

// Owns the replicated fleet log, the state built from it, and the requests that
// wait for a change of this state. Confined to its task's thread.
class FleetTask {
public:
  // Recovers the journal and joins the keepers' consensus group.
  static Result<std::unique_ptr<FleetTask>>
  create(const KeeperOptions &options, runtime::TaskContext &context,
         wire::PacketMailbox outbox);
  ~FleetTask();

  // Handles a message or connection event from the transport.
  void receive(const wire::TransportEvent &event) { Group.receive(event); }
  // Transfers leadership and ends the loop.
  void stop() { Group.stop(); }
  // The error that ends the task; Ok if the task was asked to stop.
  const Status &outcome() const { return Group.outcome(); }

private:
  struct ParkedPoll {
    wire::Envelope Request;
    Instant AnswerBy;
  };
  struct ParkedEdit {
    wire::Envelope Request;
    catalogue::Edit Edit;
    Revision At;
    Instant AnswerBy;
  };

  FleetTask(const KeeperOptions &options, runtime::TaskContext &context,
            wire::PacketMailbox outbox);

  Status openReplica();
  replica::ReplicaHooks replicaHooks();
  void changeRole(const consensus::RoleChanged &change);

  void handle(const wire::Envelope &request, const wire::PollCatalogue &poll);
  void handle(const wire::Envelope &request, const wire::ProposeEdit &propose);
  void handle(const wire::Envelope &request, const wire::ReadHistory &read);
  void handle(const wire::Envelope &request, const wire::ReportSlices &report);
  void handle(const wire::Envelope &request, const wire::ReadMetrics &read);
  template <typename Other>
  void handle(const wire::Envelope &request, const Other &) {
    Group.refuseUnsupported(request);
  }

  void propose(const wire::FleetCommand &command, replica::ProposalHook done);
  void recordHost(const wire::HostStatus &status);
  void answerPoll(const ParkedPoll &poll);
  void answerEdit(const ParkedEdit &edit, bool isInForce);
  void answerReport(const wire::Envelope &request,
                    const limits::SliceReport &report);
  // Starts a new slice lease for the zone and calls `then`. If the zone still
  // holds borrowed capacity, that is reclaimed through the log first; `then` is
  // not called if this fails.
  void renewEndedLease(const ZoneId &zone, const std::function<void()> &then);
  // Answers the parked requests whose condition is met or whose time is up.
  void answerParked();
  void reclaimEndedLeases();

  KeeperOptions Settings;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  FleetState State;
  std::optional<storage::Store> Disk;
  replica::GroupMember Group;
  HostRoster Hosts;
  std::vector<ParkedPoll> Polls;
  std::vector<ParkedEdit> Edits;
  // Set only while this keeper is the leader.
  std::unique_ptr<catalogue::PropagationTracker> RevisionTracker;
  std::unique_ptr<limits::LeaseTable<ZoneId>> SliceLeases;
};

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_FLEET_TASK_H_
