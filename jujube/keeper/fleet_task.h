// The keeper's task that owns the fleet log: its journal, its state and the
// requests that wait for it.
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
#include "jujube/catalogue/force_tracker.h"
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
  // Where other processes reach this keeper.
  Address Listen;
  // All keepers with this one.
  std::vector<consensus::Peer> Keepers;
  // Folder for the journal and snapshots.
  std::string DataFolder;
  std::string FleetToken;
  // Seed of the random delays of elections; drawn from the system if not set.
  std::optional<uint64_t> ElectionSeed;
};

// State of the fleet task; lives on its thread.
class FleetTask {
public:
  // Recovers the journal and joins the group of keepers.
  static Result<std::unique_ptr<FleetTask>>
  create(const KeeperOptions &options, runtime::TaskContext &context,
         wire::PacketMailbox outbox);
  ~FleetTask();

  // Handles what the transport tells.
  void receive(const wire::TransportEvent &event) { Group.receive(event); }
  // Passes leadership on and ends the loop.
  void stop() { Group.stop(); }
  // Why the task has to end; Ok if it was asked to.
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
    Group.refuseKind(request);
  }

  void propose(const wire::FleetCommand &command, replica::ProposalHook done);
  void noteHost(const wire::HostStatus &status);
  void answerPoll(const ParkedPoll &poll);
  void answerEdit(const ParkedEdit &edit, bool isInForce);
  void answerReport(const wire::Envelope &request,
                    const limits::SliceReport &report);
  // Starts a new lease after what the old one covered was taken back.
  void restartLease(const ZoneId &zone, const std::function<void()> &then);
  // Answers what waited for a new revision or long enough.
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
  // While this keeper leads.
  std::unique_ptr<catalogue::ForceTracker> Force;
  std::unique_ptr<limits::LeaseTable<ZoneId>> SliceLeases;
};

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_FLEET_TASK_H_
