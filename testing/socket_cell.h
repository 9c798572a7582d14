// Runs the supervisor trees of a control group in one process, over loopback
// sockets: the members with their servers, and an entry host that answers
// approval queries.
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

// Runs a supervisor tree on its own thread; the destructor stops the tree.
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
  // Duration of a sync of a member's disk.
  Duration SyncTime = Duration::millis(6);
  // Whether the disks of the members refuse every write.
  std::function<bool()> AreDisksFull = [] { return false; };
  // Whether the approving service lets a worker run a step.
  std::function<bool(const jobs::StepKey &, const WorkerId &)> IsApproved;
  // Validity period of a ticket.
  Duration TicketValidity = Duration::millis(1500);
};

// Owns the trees of a control group. Members are numbered from 1.
class SocketCell {
public:
  explicit SocketCell(SocketCellOptions options);
  ~SocketCell();

  // The mailboxes that take commands, one for each member.
  const std::vector<control::ClientMailbox> &clients() const { return Clients; }
  // The address at which workers and operators reach a member.
  static Address controlAt(int member);
  // The address of the entry host that answers approval queries.
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
