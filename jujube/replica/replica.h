// One member of a replicated log: connects the consensus algorithm with the
// disk, the network and the state machine.
#ifndef JUJUBE_REPLICA_REPLICA_H_
#define JUJUBE_REPLICA_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/consensus/node.h"
#include "jujube/runtime/poll_loop.h"

namespace jujube::replica {

// The state machine and the network of a replica.
struct ReplicaHooks {
  // Applies a committed command.
  std::function<void(const std::string &payload)> Apply;
  // Replaces the state machine with a state that Capture returned.
  std::function<void(const std::string &data)> Restore;
  // Returns the serialized state of the state machine.
  std::function<std::string()> Capture;
  std::function<void(const consensus::RoleChanged &)> RoleChanged;
  std::function<void(const consensus::Send &)> Send;
  // Reports, once, that the replica has stopped for good; its owner must end.
  std::function<void(const Error &)> Fail;
};

// The journal of a durable replica.
struct DiskHooks {
  // Writes all changes and then syncs once.
  std::function<Status(const std::vector<consensus::Persist> &)> Write;
  // Makes a snapshot durable and removes the part of the journal that it
  // covers.
  std::function<Status(const consensus::Snapshot &)> SaveSnapshot;
  // Replaces the whole journal with a snapshot from the leader.
  std::function<Status(const consensus::Snapshot &)> InstallSnapshot;
};

// Receives the result of a proposal: Ok once it has been applied, Unavailable
// if it may still be applied, any other error if it never will be.
using ProposalHook = std::function<void(const Status &)>;

// Runs one consensus node. Owned by the task that owns the loop; it occupies
// the loop's turn-end handler, in which it batches the journal writes of a
// turn.
class Replica {
public:
  // An empty `disk` makes the replica diskless. `seed` initializes the random
  // generator of the consensus node.
  static Result<std::unique_ptr<Replica>>
  create(runtime::PollLoop &loop, consensus::Options options,
         consensus::DurableState initial, uint64_t seed, ReplicaHooks hooks,
         std::optional<DiskHooks> disk);

  // Proposes a command. `done` may be called before this returns.
  void propose(std::string payload, ProposalHook done);
  void receive(const HostId &from, const consensus::Message &message);
  // Transfers leadership to another member, before an orderly stop.
  void transferLeadership();

  // True while this replica leads and its applied state is up to date.
  bool mayServe() const { return Node.mayServe(Loop.now()); }
  Term term() const { return Node.term(); }
  // Number of voters that recently acknowledged this leader, including itself.
  std::size_t voters() const { return Node.responsiveVoters(Loop.now()); }
  Instant confirmedAt() const { return Node.confirmedAt(Loop.now()); }
  const HostId &leader() const { return Node.leader(); }
  // The port is 0 while the leader is unknown.
  Address leaderAddress() const {
    return Node.leaderAddress().value_or(Address{});
  }
  // The addresses at which the group members receive messages.
  std::vector<Address> memberAddresses() const;
  // Sets a handler that runs at the end of each turn of the loop, before the
  // replica writes to the disk.
  void onTurnEnd(std::function<void()> handler) {
    BeforeFlush = std::move(handler);
  }

private:
  Replica(runtime::PollLoop &loop, consensus::Node node, ReplicaHooks hooks,
          std::optional<DiskHooks> disk);

  void endTurn();
  void tickIfDue();
  void run(consensus::Actions actions);
  void handle(consensus::Send &action);
  void handle(consensus::Persist &action);
  void handle(consensus::Apply &action);
  void handle(consensus::RestoreSnapshot &action);
  void handle(consensus::RoleChanged &action);
  void handle(consensus::ProposalRefused &action);
  void handle(consensus::ProposalUnresolved &action);
  void handle(consensus::Superseded &action);
  // Writes the unwritten changes. Returns false if there were none or if the
  // write failed.
  bool flush();
  void compactIfDue();
  void finishProposal(uint64_t proposalId, const Status &status);
  void fail(const Error &error);

  runtime::PollLoop &Loop;
  consensus::Node Node;
  ReplicaHooks Hooks;
  std::optional<DiskHooks> Disk;
  std::function<void()> BeforeFlush;
  std::vector<consensus::Persist> Unwritten;
  std::map<uint64_t, ProposalHook> Proposals;
  uint64_t LastProposal = 0;
  LogIndex LastApplied;
  LogIndex LastCompacted;
  std::size_t BytesSinceCompaction = 0;
  std::optional<runtime::TimerId> WakeTimer;
  bool HasFailed = false;
};

} // namespace jujube::replica

#endif // JUJUBE_REPLICA_REPLICA_H_
