// The trees of a control group in one process, over loopback sockets: members
// with their servers, and an entry host that answers approval queries.
#ifndef TESTING_SOCKET_CELL_H_
#define TESTING_SOCKET_CELL_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "jujube/control/control_task.h"
#include "jujube/runtime/task.h"

namespace jujube::testing {

// A tree on a thread of its own until it is destroyed.
class RunningTree {
public:
  explicit RunningTree(runtime::ChildSpec child,
                       Clock clock = Clock::monotonic());
  ~RunningTree();
  RunningTree(const RunningTree &) = delete;
  RunningTree &operator=(const RunningTree &) = delete;

private:
  std::unique_ptr<runtime::Task> Thread;
};

struct SocketCellOptions {
  int Members = 5;
  // How long a sync of a member's disk takes.
  Duration SyncTime = Duration::millis(6);
  // Whether the approving service lets a worker run a step.
  std::function<bool(const jobs::StepKey &, const WorkerId &)> IsApproved;
  // How long tickets are valid.
  Duration TicketsFor = Duration::millis(1500);
};

// Members are numbered from 1.
class SocketCell {
public:
  explicit SocketCell(SocketCellOptions options);
  ~SocketCell();

  // Takes commands for each member.
  const std::vector<control::ClientMailbox> &clients() const { return Clients; }
  // Where workers and operators reach a member.
  static Address controlAt(int member);
  // Where entry hosts are asked for approvals.
  static Address approverAt();

private:
  runtime::ChildSpec
  makeMemberSupervisor(int member,
                       const control::ControlMailboxes &boxes) const;
  runtime::ChildSpec approverTask(wire::TransportInbox inbox,
                                  wire::PacketMailbox outbox) const;

  SocketCellOptions Options;
  std::string Folder;
  std::vector<control::ClientMailbox> Clients;
  std::list<RunningTree> Trees;
};

} // namespace jujube::testing

#endif // TESTING_SOCKET_CELL_H_
