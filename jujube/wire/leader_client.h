// Calls to whichever member of a group leads it.
#ifndef JUJUBE_WIRE_LEADER_CLIENT_H_
#define JUJUBE_WIRE_LEADER_CLIENT_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/wire/messenger.h"

namespace jujube::wire {

inline constexpr Duration DefaultAttemptTimeout = Duration::millis(1500);

// Finds a group's leader by asking its members in turn, and follows their
// hints. It belongs to the task that owns the messenger.
class LeaderClient {
public:
  LeaderClient(runtime::PollLoop &loop, Messenger &messenger)
      : Loop(loop), Calls(messenger) {}

  // Sets the hosts that may lead; the known leader is kept if it is among them.
  void setMembers(std::vector<Address> members);
  // Takes a hint about the leader.
  void setLeader(const Address &leader);
  // Takes the news that `leader` has taken over: calls that wait for another
  // member are sent to it.
  void takeLeader(const Address &leader);

  // Sends a request to the leader, and again to the next candidate while the
  // answer is NotLeader or an attempt is lost, until `timeout` has passed. The
  // request has to be idempotent. A Refusal comes back as its error.
  // `attemptTimeout` is how long one member has to answer.
  void call(const Message &what, Duration timeout, const ReplyHook &done,
            Duration attemptTimeout = DefaultAttemptTimeout);

  // Sends a request once, to the member that is believed to lead. NotLeader and
  // timeouts come back as errors; the next call asks the leader that was named,
  // or the next member.
  void callOnce(const Message &what, Duration timeout, const ReplyHook &done,
                Channel via = Channel::Stream);

  Address leader() const;
  bool hasMembers() const { return !Members.empty(); }

private:
  struct Request {
    Message What;
    Instant Deadline;
    Duration AttemptTimeout;
    ReplyHook Done;
  };

  // Chooses whom to ask next after an attempt that `from` did not serve.
  void follow(const Refusal *refusal, const Address &from);
  void attempt(const std::shared_ptr<const Request> &request);
  void handleReply(const std::shared_ptr<const Request> &request,
                   const Address &from, Result<Message> result);
  void tryNext(const Address &failed);

  runtime::PollLoop &Loop;
  Messenger &Calls;
  std::vector<Address> Members;
  std::size_t Current = 0;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_LEADER_CLIENT_H_
