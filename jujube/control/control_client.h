// Sends commands to the leader of the control group, and reports whether a
// command without a reply may have been executed.
#ifndef JUJUBE_CONTROL_CONTROL_CLIENT_H_
#define JUJUBE_CONTROL_CONTROL_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/jobs/commands.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/poll_loop.h"
#include "jujube/runtime/reply_slot.h"
#include "jujube/wire/messenger.h"

namespace jujube::control {

// A command that a thread of the HTTP server sends to the owner of the client.
// The reply is stored in `Answer`.
struct ClientRequest {
  jobs::Command What;
  // How long the caller waits for the reply.
  Duration Timeout;
  runtime::ReplySlotPtr<Result<jobs::Reply>> Answer;
};
using ClientMailbox = runtime::MailboxPtr<ClientRequest>;

// Finds the leader by asking the members in turn and by following their
// redirects. Owned by the task that owns the messenger, and not thread-safe.
class ControlClient {
public:
  using Done = std::function<void(Result<jobs::Reply>)>;

  ControlClient(runtime::PollLoop &loop, wire::Messenger &messages,
                std::vector<Address> members);

  // Replaces the addresses of the members. Ignores an empty list.
  void setMembers(std::vector<Address> members);

  // When the leader last replied; the default Instant if it has never replied.
  Instant lastAnswer() const { return LastAnswer; }

  // Like call(), but also sends the command to members that have been silent,
  // so that its reply locates the leader.
  void callAnyMember(jobs::Command what, Duration timeout, Done done);

  // Sends an idempotent command and retries it until it is answered or
  // `timeout` has passed. While the leader is silent nothing is sent, so that a
  // command that cannot be served is known not to have run. Fails with the
  // error of the leader; with NotRun if no leader has executed the command; or
  // with OutcomeUnknown if a leader may have executed it, even if a later
  // attempt to make the change was refused. Gives up early while no leader can
  // be reached, but later if a majority of the members can be reached and is
  // electing one.
  void call(jobs::Command what, Duration timeout, Done done);

private:
  struct Request {
    jobs::Command What;
    Instant Began;
    Instant Deadline;
    bool MayHaveRun = false;
    // Set by callAnyMember(): the command is also sent to members that have
    // been silent.
    bool MayCallSilentMembers = false;
    Done Finish;
  };
  using RequestPtr = std::shared_ptr<Request>;

  bool isLeaderSilent() const;
  // True if the command cannot have run and no leader has been found in time.
  bool shouldGiveUp(const Request &request) const;
  bool isElecting() const;
  bool isSuspect(const Address &member) const;
  void attempt(const RequestPtr &request);
  void handle(const RequestPtr &request, const Address &from,
              Result<wire::Message> result);
  static void finishRefused(const Request &request, const Error &why);
  void retry(const RequestPtr &request);
  void selectMember(const Address &hint, const Address &failed);

  runtime::PollLoop &Loop;
  wire::Messenger &Messages;
  std::vector<Address> Members;
  std::size_t Current = 0;
  Instant LastAnswer;
  // When each member last replied that it is not the leader.
  std::map<Address, Instant> NotLeaderReplies;
  // Members that did not reply, and the time until which redirects to them are
  // ignored.
  std::map<Address, Instant> Suspects;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_CONTROL_CLIENT_H_
