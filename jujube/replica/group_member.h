// Message handling shared by the processes that are members of a replicated
// group.
#ifndef JUJUBE_REPLICA_GROUP_MEMBER_H_
#define JUJUBE_REPLICA_GROUP_MEMBER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "jujube/replica/replica.h"
#include "jujube/wire/messenger.h"

namespace jujube::replica {

// One member of a replicated group, together with its replica. Passes consensus
// messages to the replica and requests to the owner while the owner serves;
// refuses other requests with the leader's address. Owned by the task that owns
// the loop.
class GroupMember {
public:
  struct Hooks {
    // Name of the process in error messages, for example "keeper".
    std::string Name;
    // Whether the owner currently answers requests.
    std::function<bool()> IsServing;
    // Answers a request.
    std::function<void(const wire::Envelope &)> Answer;
  };

  GroupMember(runtime::PollLoop &loop, wire::Messenger &messages, Hooks hooks)
      : Loop(loop), Messages(messages), Callbacks(std::move(hooks)) {}

  // Creates the replica with the owner's `hooks`, of which Send and Fail are
  // set here. An empty `seed` is replaced by a random one, an empty `disk`
  // makes the replica diskless. Must be called once, before any other function.
  Status open(consensus::Options options, consensus::DurableState initial,
              std::optional<uint64_t> seed, ReplicaHooks hooks,
              std::optional<DiskHooks> disk);
  // The replica; valid once open() has returned Ok.
  Replica &log() { return *Log; }
  const Replica &log() const { return *Log; }

  // Handles an event from the transport.
  void receive(const wire::TransportEvent &event);
  // Replies to a request with an error and the leader's address.
  void refuse(const wire::Envelope &request, const Error &error);
  // Refuses a message type that this kind of process does not support.
  void refuseUnsupported(const wire::Envelope &request);
  // The error for requests that were pending when leadership was lost.
  Error lostLeadershipError() const;

  // Transfers leadership to another member and stops the loop.
  void stop();
  // Ok after an orderly stop, otherwise the error that stopped the task.
  const Status &outcome() const { return Outcome; }

private:
  runtime::PollLoop &Loop;
  wire::Messenger &Messages;
  Hooks Callbacks;
  std::unique_ptr<Replica> Log;
  Status Outcome = Ok{};
};

} // namespace jujube::replica

#endif // JUJUBE_REPLICA_GROUP_MEMBER_H_
