// What the processes of replicated groups have in common: who takes a message,
// and how requests are refused.
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

// One member of a group, with its replica. Messages of the group go to the
// replica, requests to the owner while it serves; others are refused with the
// leader's address. It belongs to the task that owns the loop.
class GroupMember {
public:
  struct Hooks {
    // What the process is called in refusals, for example "keeper".
    std::string Name;
    // True while the owner answers requests.
    std::function<bool()> IsServing;
    // Answers a request.
    std::function<void(const wire::Envelope &)> Answer;
  };

  GroupMember(runtime::PollLoop &loop, wire::Messenger &messages, Hooks hooks)
      : Loop(loop), Messages(messages), Callbacks(std::move(hooks)) {}

  // Creates the replica. `hooks` are those of the owner; Send and Fail are set
  // here. Without a seed one is drawn from the system.
  Status open(consensus::Options options, consensus::DurableState initial,
              std::optional<uint64_t> seed, ReplicaHooks hooks,
              std::optional<DiskHooks> disk);
  // Valid once open() has returned Ok.
  Replica &log() { return *Log; }
  const Replica &log() const { return *Log; }

  // Handles what the transport tells.
  void receive(const wire::TransportEvent &event);
  void refuse(const wire::Envelope &request, const Error &why);
  // Refuses a message that this kind of process does not take.
  void refuseKind(const wire::Envelope &request);
  // What requests that were waiting are refused with.
  Error lostLeadership() const;

  // Passes leadership on and ends the loop.
  void stop();
  // Why the task has to end; Ok if it was asked to.
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
