// Calls to the current leader of a replicated group.
#ifndef JUJUBE_WIRE_LEADER_CLIENT_H_
#define JUJUBE_WIRE_LEADER_CLIENT_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/wire/messenger.h"

namespace jujube::wire {

// Time that a member has to answer an attempt of a call.
inline constexpr Duration DefaultAttemptTimeout = Duration::millis(1500);

// Finds a group's leader by trying its members in turn and following the
// redirects in their refusals. Belongs to the task that owns the messenger.
class LeaderClient {
public:
  LeaderClient(runtime::PollLoop &loop, Messenger &messenger)
      : Loop(loop), Calls(messenger) {}

  // Sets the members of the group. The presumed leader stays the same if it is
  // one of them.
  void setMembers(std::vector<Address> members);
  // Sets the presumed leader; ignored if `leader` isn't a member.
  void setLeader(const Address &leader);
  // Handles an announcement that `leader` now leads the group: calls pending at
  // other members are abandoned, so that call() retries them at `leader`.
  // Ignored if `leader` isn't a member.
  void announceLeader(const Address &leader);

  // Sends a request to the leader and retries at the next candidate while a
  // member replies NotLeader or doesn't answer within `attemptTimeout`. After
  // `timeout`, `done` receives Unavailable. Any other Refusal is passed to
  // `done` as its error. The request must be idempotent.
  void call(const Message &message, Duration timeout, const ReplyHook &done,
            Duration attemptTimeout = DefaultAttemptTimeout);

  // Sends a request once, to the presumed leader. NotLeader and timeouts are
  // passed to `done` as errors; the next call then goes to the leader named in
  // the refusal, or else to the next member.
  void callOnce(const Message &message, Duration timeout, const ReplyHook &done,
                Channel via = Channel::Stream);

  // Returns the presumed leader; port 0 if the group has no members.
  Address leader() const;
  bool hasMembers() const { return !Members.empty(); }

private:
  struct Request {
    Message Body;
    Instant Deadline;
    Duration AttemptTimeout;
    ReplyHook Done;
  };

  // Picks the member for the next attempt after `from` has not served one.
  // `refusal` is null if `from` did not reply.
  void selectNextMember(const Refusal *refusal, const Address &from);
  void attempt(const std::shared_ptr<const Request> &request);
  void handleReply(const std::shared_ptr<const Request> &request,
                   const Address &from, Result<Message> result);
  void advancePast(const Address &failed);

  runtime::PollLoop &Loop;
  Messenger &Calls;
  std::vector<Address> Members;
  std::size_t Current = 0;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_LEADER_CLIENT_H_
