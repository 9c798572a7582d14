// The task of an entry host in front of a control group. It forwards commands
// to the leader and sends approval queries on its behalf. It keeps no durable
// state, and leaves the checks of queues and keys to the leader.
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
  // Address for messages from the other processes of the system.
  Address Listen;
  // Returns the message addresses of some members of the control group. Called
  // again while no member answers.
  std::function<std::vector<Address>()> Seeds;
  std::string FleetToken;
  // How long the host reports itself as not ready before it refuses
  // connections.
  Duration DrainDelay = Duration::millis(2200);
  control::ApprovalProtocolCodec Approvals;
};

struct FrontMailboxes {
  control::ClientMailbox Clients;
  http::CallMailbox Calls;
  http::CallResults Results;
  // True while the leader has answered recently; connections are closed
  // otherwise.
  std::shared_ptr<std::atomic<bool>> IsConnected;
  // Like IsConnected with a shorter span, for the readiness check.
  std::shared_ptr<std::atomic<bool>> IsReady;
  // True once the process has been asked to stop.
  std::shared_ptr<std::atomic<bool>> IsLeaving;
  // The number of malformed calls, counted by the threads of the HTTP server.
  std::shared_ptr<std::atomic<uint64_t>> MalformedCalls =
      std::make_shared<std::atomic<uint64_t>>(0);
  http::MetricsMailbox MetricsRequests = http::makeMetricsMailbox();
};

// The state of the front task. Used only on the thread of that task.
class FrontTask {
public:
  FrontTask(const FrontOptions &options, const FrontMailboxes &mailboxes,
            runtime::TaskContext &context, wire::PacketMailbox outbox);

  void receive(const wire::TransportEvent &event);

private:
  void forward(control::ClientRequest request);
  void noteForwarded(const jobs::Command &what, Duration timeout) const;
  void noteAnswered(jobs::CommandKind kind, const jobs::JobId &job,
                    const Result<jobs::Reply> &reply, Duration after);
  metrics::Snapshot snapshot() const;
  void reportToLeader();
  void noteMembers(const Result<jobs::Reply> &reply);
  void askApproval(const wire::Envelope &request,
                   const wire::QueryApproval &ask);

  FrontOptions Settings;
  std::shared_ptr<std::atomic<bool>> IsConnected;
  std::shared_ptr<std::atomic<bool>> IsReady;
  std::shared_ptr<std::atomic<uint64_t>> MalformedCalls;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  control::ControlClient Leader;
  http::CallerClient Calls;
  metrics::Metrics TaskMetrics;
  // True while a report to the leader waits for its answer.
  bool IsReportPending = false;
};

// Builds the supervisor tree: the front task, the transport, the HTTP caller,
// `servers`, which post to `mailboxes.Clients`, and the gate. The gate is
// stopped first, and delays the stop of the other tasks so that the load
// balancer can notice that the host is not ready.
Result<runtime::Supervisor>
makeFrontTree(const FrontOptions &options, const FrontMailboxes &mailboxes,
              std::vector<runtime::ChildSpec> servers);

} // namespace jujube::front

#endif // JUJUBE_FRONT_FRONT_TASK_H_
