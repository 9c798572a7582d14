// One member of a replicated log, for the task that owns it: connects the
// consensus decisions with the disk, the network and the state machine.
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

// The state machine and the network around a replica.
struct ReplicaHooks {
  // Applies a committed command.
  std::function<void(const std::string &payload)> Apply;
  // Replaces the state by one that Capture returned.
  std::function<void(const std::string &data)> Restore;
  // Returns the whole state.
  std::function<std::string()> Capture;
  std::function<void(const consensus::RoleChanged &)> RoleChanged;
  std::function<void(const consensus::Send &)> Send;
  // The replica can't go on; its owner has to end.
  std::function<void(const Error &)> Fail;
};

// The journal of a durable replica.
struct DiskHooks {
  // Writes all records and syncs once.
  std::function<Status(const std::vector<consensus::Persist> &)> Write;
  // Makes a snapshot durable and drops the journal up to it.
  std::function<Status(const consensus::Snapshot &)> SaveSnapshot;
  // Replaces the whole journal by a leader's snapshot.
  std::function<Status(const consensus::Snapshot &)> InstallSnapshot;
};

// Told how a proposal ended: Ok once it is applied; Unavailable if it may still
// take effect; any other error if it never will.
using ProposalHook = std::function<void(const Status &)>;

// Belongs to the task that owns the loop, and takes the loop's turn-end
// handler: proposals and journal writes of one turn go out together.
class Replica {
public:
  // `disk` is empty for a diskless replica.
  static Result<std::unique_ptr<Replica>>
  create(runtime::PollLoop &loop, consensus::Options options,
         consensus::DurableState initial, uint64_t seed, ReplicaHooks hooks,
         std::optional<DiskHooks> disk);

  void propose(std::string payload, ProposalHook done);
  void receive(const HostId &from, const consensus::Message &message);
  // Passes leadership on before an orderly end.
  void transferLeadership();

  // True while this replica leads and what it has applied is the latest state.
  bool mayServe() const { return Node.mayServe(Loop.now()); }
  Term term() const { return Node.term(); }
  // Voters of the group that have lately acknowledged this leader, with itself.
  std::size_t voters() const { return Node.responsiveVoters(Loop.now()); }
  Instant confirmedAt() const { return Node.confirmedAt(Loop.now()); }
  const HostId &leader() const { return Node.leader(); }
  // Port 0 while no leader is known.
  Address leaderAddress() const {
    return Node.leaderAddress().value_or(Address{});
  }
  // Where the members of the group take messages.
  std::vector<Address> memberAddresses() const;
  // Called at the end of each turn of the loop, before the replica writes.
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
  // Writes what waits for the disk; false if there was nothing.
  bool flush();
  void compactIfLong();
  void finish(uint64_t proposalId, const Status &status);
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
  std::optional<runtime::TimerId> Wake;
  bool HasFailed = false;
};

} // namespace jujube::replica

#endif // JUJUBE_REPLICA_REPLICA_H_
