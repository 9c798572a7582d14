// Commands to whichever member leads the control group, with the truth about
// those that got no answer.
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

// A command from a thread of the HTTP server, answered through its slot.
struct ClientRequest {
  jobs::Command What;
  // How long the caller waits.
  Duration Timeout;
  runtime::ReplySlotPtr<Result<jobs::Reply>> Answer;
};
using ClientMailbox = runtime::MailboxPtr<ClientRequest>;

// Finds the leader by asking members in turn and follows their hints. Belongs
// to the task that owns the messenger.
class ControlClient {
public:
  using Done = std::function<void(Result<jobs::Reply>)>;

  ControlClient(runtime::PollLoop &loop, wire::Messenger &messages,
                std::vector<Address> members);

  // Replaces the members that may lead; an empty list is ignored.
  void setMembers(std::vector<Address> members);

  // When the leader last answered; the default Instant if it never has.
  Instant lastAnswer() const { return LastAnswer; }

  // Sends a command that also finds the leader; see call().
  void seek(jobs::Command what, Duration timeout, Done done);

  // Sends an idempotent command and repeats it until it is answered or
  // `timeout` has passed. Nothing is sent to a leader that has been silent, so
  // that what can't be served is surely not taken. Ends with the leader's
  // error, with NotRun if no leader took it, or with OutcomeUnknown if one may
  // have, even if a later attempt of a change was refused. Without a leader it
  // is given up soon, but not while most members are there to elect one.
  void call(jobs::Command what, Duration timeout, Done done);

private:
  struct Request {
    jobs::Command What;
    Instant Began;
    Instant Deadline;
    bool MayHaveRun = false;
    // Sent also to members that have been silent.
    bool IsSeeking = false;
    Done Finish;
  };
  using RequestPtr = std::shared_ptr<Request>;

  bool isLeaderSilent() const;
  // True if a command that no leader can have taken is given up now.
  bool isRefused(const Request &request) const;
  bool isElecting() const;
  bool isSuspect(const Address &member) const;
  void attempt(const RequestPtr &request);
  void handle(const RequestPtr &request, const Address &from,
              Result<wire::Message> result);
  static void finishRefused(const Request &request, const Error &why);
  void retry(const RequestPtr &request);
  void follow(const Address &hint, const Address &failed);

  runtime::PollLoop &Loop;
  wire::Messenger &Messages;
  std::vector<Address> Members;
  std::size_t Current = 0;
  Instant LastAnswer;
  // When members last answered that they do not lead.
  std::map<Address, Instant> Signs;
  // Members that did not answer, and until when they are not followed to.
  std::map<Address, Instant> Suspects;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_CONTROL_CLIENT_H_
