// The task of an entry host in front of a control group: it passes commands on
// to the leader and asks for approvals on its behalf. It holds no state that
// has to last and decides nothing about queues and keys.
#ifndef JUJUBE_FRONT_FRONT_TASK_H_
#define JUJUBE_FRONT_FRONT_TASK_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "jujube/control/control_client.h"
#include "jujube/control/control_options.h"
#include "jujube/http/caller.h"
#include "jujube/http/metrics_server.h"
#include "jujube/metrics/metrics.h"
#include "jujube/runtime/supervisor.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/messenger.h"

namespace jujube::front {

struct FrontOptions {
  HostId Self;
  // Where the system's processes reach this host.
  Address Listen;
  // Where some members of the control group take messages, read anew while no
  // member answers.
  std::function<std::vector<Address>()> Seeds;
  std::string FleetToken;
  // How long the host reports itself unready before it refuses connections.
  Duration LeaveDelay = Duration::millis(2200);
  control::ApprovalProtocol Approvals;
};

struct FrontMailboxes {
  control::ClientMailbox Clients;
  http::CallMailbox Calls;
  http::CallResults Results;
  // True while the leader has answered lately; without it connections are
  // closed.
  std::shared_ptr<std::atomic<bool>> IsConnected;
  // The same for a shorter span; read by the readiness check.
  std::shared_ptr<std::atomic<bool>> IsReady;
  // True once the process is asked to stop.
  std::shared_ptr<std::atomic<bool>> IsLeaving;
  // Calls that could not be read, counted by the HTTP server's threads.
  std::shared_ptr<std::atomic<uint64_t>> Unreadable =
      std::make_shared<std::atomic<uint64_t>>(0);
  http::MetricsMailbox Questions = http::makeMetricsMailbox();
};

// State of the front task; lives on its thread.
class FrontTask {
public:
  FrontTask(const FrontOptions &options, const FrontMailboxes &mailboxes,
            runtime::TaskContext &context, wire::PacketMailbox outbox);

  void receive(const wire::TransportEvent &event);

private:
  void pass(control::ClientRequest request);
  void noteForwarded(const jobs::Command &what, Duration timeout) const;
  void noteAnswered(jobs::CommandKind kind, const jobs::JobId &job,
                    const Result<jobs::Reply> &reply, Duration after);
  metrics::Snapshot snapshot() const;
  void offerHelp();
  void noteMembers(const Result<jobs::Reply> &reply);
  void askApproval(const wire::Envelope &request, const wire::AskApproval &ask);

  FrontOptions Settings;
  std::shared_ptr<std::atomic<bool>> IsConnected;
  std::shared_ptr<std::atomic<bool>> IsReady;
  std::shared_ptr<std::atomic<uint64_t>> Unreadable;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  control::ControlClient Leader;
  http::CallDesk Calls;
  metrics::Metrics Numbers;
  // A report waits for its answer.
  bool IsReporting = false;
};

// The supervisor tree: the front task, the transport, the caller, `servers`,
// which post to `mailboxes.Clients`, and the gate, which is stopped first and
// waits until the balancer has noticed.
Result<runtime::Supervisor> frontTree(const FrontOptions &options,
                                      const FrontMailboxes &mailboxes,
                                      std::vector<runtime::ChildSpec> servers);

} // namespace jujube::front

#endif // JUJUBE_FRONT_FRONT_TASK_H_
