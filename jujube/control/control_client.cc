#include "jujube/control/control_client.h"

#include <algorithm>
#include <utility>

namespace jujube::control {
namespace {

// How long one member has to answer. Source: twice the longest usual sync of a
// slow disk, and less than a third of the callers' deadlines.
constexpr Duration AttemptTimeout = Duration::millis(800);
// The same when a leader is looked for. Source: some forty round trips between
// zones, and a group commit on a slow disk.
constexpr Duration SeekTimeout = Duration::millis(300);
// A leader that has not answered for this span gets no commands. Source: two
// reports of an entry host, and their answers.
constexpr Duration LeaderSilence = Duration::millis(450);
// Wait between attempts while no member leads.
constexpr Duration RetryPause = Duration::millis(60);
// A command that no leader has taken is refused after this span, so that the
// caller can try another host or come back. Source: a quarter of the shortest
// objective of the queues.
constexpr Duration RefuseAfter = Duration::millis(350);

} // namespace

ControlClient::ControlClient(runtime::PollLoop &loop, wire::Messenger &messages,
                             std::vector<Address> members)
    : Loop(loop), Messages(messages), Members(std::move(members)) {}

void ControlClient::setMembers(std::vector<Address> members) {
  if (members.empty())
    return;
  const Address known = Members.empty() ? Address{} : Members[Current];
  Members = std::move(members);
  const auto it = std::ranges::find(Members, known);
  Current =
      it == Members.end() ? 0 : static_cast<std::size_t>(it - Members.begin());
}

void ControlClient::call(jobs::Command what, Duration timeout, Done done) {
  const Instant now = Loop.now();
  attempt(std::make_shared<Request>(Request{
      std::move(what), now + timeout, now + std::min(timeout, RefuseAfter),
      false, false, std::move(done)}));
}

void ControlClient::seek(jobs::Command what, Duration timeout, Done done) {
  const Instant now = Loop.now();
  attempt(std::make_shared<Request>(Request{std::move(what), now + timeout,
                                            now + timeout, false, true,
                                            std::move(done)}));
}

bool ControlClient::isLeaderSilent() const {
  return LastAnswer == Instant() || Loop.now() - LastAnswer > LeaderSilence;
}

void ControlClient::attempt(const RequestPtr &request) {
  const Duration left = request->Deadline - Loop.now();
  if (left <= Duration() && request->MayHaveRun) {
    request->Finish(Error{ErrorKind::OutcomeUnknown,
                          "no leader has answered in time",
                          "resend it with the same id"});
    return;
  }
  const bool isRefused =
      !request->MayHaveRun && Loop.now() >= request->RefuseAt;
  if (left <= Duration() || isRefused || Members.empty()) {
    request->Finish(Error{ErrorKind::NotRun, "no leader can be reached",
                          "resend it later, or at another host"});
    return;
  }
  if (isLeaderSilent() && !request->IsSeeking) {
    retry(request);
    return;
  }
  const Address to = Members[Current];
  const Duration patience = request->IsSeeking ? SeekTimeout : AttemptTimeout;
  Messages.call(to, wire::ControlCall{request->What}, std::min(left, patience),
                [this, request, to](Result<wire::Message> result) {
                  handle(request, to, std::move(result));
                });
}

void ControlClient::handle(const RequestPtr &request, const Address &from,
                           Result<wire::Message> result) {
  if (!isOk(result)) {
    request->MayHaveRun = true;
    follow(Address{}, from);
    retry(request);
    return;
  }
  if (const auto *news = std::get_if<wire::ControlNews>(&valueOf(result))) {
    LastAnswer = Loop.now();
    request->Finish(news->What);
    return;
  }
  const auto *refusal = std::get_if<wire::Refusal>(&valueOf(result));
  if (refusal == nullptr) {
    request->Finish(Error{ErrorKind::Internal, "an unexpected reply",
                          "run the same version on all hosts"});
    return;
  }
  if (refusal->Why.Kind == ErrorKind::NotLeader) {
    follow(refusal->Leader, from);
    retry(request);
  } else if (refusal->Why.Kind == ErrorKind::Unavailable) {
    request->MayHaveRun = true;
    retry(request);
  } else {
    request->Finish(refusal->Why);
  }
}

void ControlClient::retry(const RequestPtr &request) {
  Loop.callAt(Loop.now() + RetryPause, [this, request] { attempt(request); });
}

void ControlClient::follow(const Address &hint, const Address &failed) {
  const auto it = std::ranges::find(Members, hint);
  if (hint.Port != 0 && it != Members.end() && hint != failed) {
    Current = static_cast<std::size_t>(it - Members.begin());
    return;
  }
  if (hint.Port != 0 && it == Members.end()) {
    Members.push_back(hint);
    Current = Members.size() - 1;
    return;
  }
  if (!Members.empty() && Members[Current] == failed)
    Current = (Current + 1) % Members.size();
}

} // namespace jujube::control
