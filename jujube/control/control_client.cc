#include "jujube/control/control_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::control {
namespace {

// How long one member has to answer before the command is resent to the current
// leader. A sync on a slow disk takes 0.3 s, a change of leader 0.5 s.
constexpr Duration AttemptTimeout = Duration::millis(500);
// The timeout of one attempt while the leader is unknown: about forty round
// trips between zones, and a group commit on a slow disk.
constexpr Duration UnknownLeaderTimeout = Duration::millis(300);
// A leader that has not answered for this long gets no commands. The span
// covers a report of an entry host and its answer from a busy leader.
constexpr Duration LeaderSilence = Duration::millis(250);
// Redirects to a member that did not answer are ignored for this long. The
// other members name a lost leader until its lease has expired.
constexpr Duration SuspectSpan = Duration::millis(500);
// Pause between attempts while no member leads.
constexpr Duration RetryPause = Duration::millis(60);
// A command that no leader has executed fails after this long, so that the
// caller can try another host or retry later: a quarter of the shortest
// objective of a queue.
constexpr Duration GiveUpAfter = Duration::millis(350);
// The same limit while a majority of the members reply that they do not lead.
// They are electing a leader, which takes less time than this, and a retry by
// the caller would take longer.
constexpr Duration GiveUpWhileElectingAfter = Duration::millis(900);
// Members that have replied within this span take part in an election. The span
// covers two reports of an entry host, and one attempt at a member that is
// lost.
constexpr Duration ElectionReplySpan = Duration::millis(500);

Error outcomeUnknown(const std::string &message) {
  return Error{ErrorKind::OutcomeUnknown, message,
               "resend it with the same id"};
}

bool isRead(const jobs::Command &what) {
  switch (jobs::kindOf(what)) {
  case jobs::CommandKind::ReadJob:
  case jobs::CommandKind::CountPending:
  case jobs::CommandKind::ReadConfiguration:
  case jobs::CommandKind::RegisterHelper:
  case jobs::CommandKind::ReadEvacuations:
    return true;
  case jobs::CommandKind::SubmitJob:
  case jobs::CommandKind::CancelJob:
  case jobs::CommandKind::PutConfiguration:
  case jobs::CommandKind::AnnounceWorker:
  case jobs::CommandKind::WithdrawWorker:
  case jobs::CommandKind::EvacuateZone:
  case jobs::CommandKind::RestoreZone:
    return false;
  }
  return false;
}

// True if the error depends on the command alone, so that it applies to every
// attempt, or if it says that there is nothing to change.
bool holdsForAllAttempts(ErrorKind kind) {
  return kind == ErrorKind::InvalidArgument ||
         kind == ErrorKind::MalformedBody ||
         kind == ErrorKind::ImpossibleRequest || kind == ErrorKind::Gone;
}

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
  attempt(std::make_shared<Request>(Request{std::move(what), now, now + timeout,
                                            false, false, std::move(done)}));
}

void ControlClient::callAnyMember(jobs::Command what, Duration timeout,
                                  Done done) {
  const Instant now = Loop.now();
  attempt(std::make_shared<Request>(Request{std::move(what), now, now + timeout,
                                            false, true, std::move(done)}));
}

bool ControlClient::isLeaderSilent() const {
  return LastAnswer == Instant() || Loop.now() - LastAnswer > LeaderSilence;
}

bool ControlClient::shouldGiveUp(const Request &request) const {
  if (request.MayHaveRun || request.MayCallSilentMembers)
    return false;
  return Loop.now() - request.Began >=
         (isElecting() ? GiveUpWhileElectingAfter : GiveUpAfter);
}

// A majority is required: a minority cannot elect a leader, and may be
// partitioned from the rest of the group together with this host.
bool ControlClient::isElecting() const {
  const auto n =
      std::ranges::count_if(NotLeaderReplies, [this](const auto &it) {
        return Loop.now() - it.second <= ElectionReplySpan;
      });
  return static_cast<std::size_t>(n) > Members.size() / 2;
}

void ControlClient::attempt(const RequestPtr &request) {
  const Duration left = request->Deadline - Loop.now();
  if (left <= Duration() || shouldGiveUp(*request) || Members.empty()) {
    request->Finish(request->MayHaveRun
                        ? outcomeUnknown("the leader did not answer in time")
                        : Error{ErrorKind::NotRun, "no leader can be reached",
                                "resend it later, or at another host"});
    return;
  }
  if (isLeaderSilent() && !request->MayCallSilentMembers) {
    retry(request);
    return;
  }
  const Address to = Members[Current];
  const Duration attemptTimeout =
      request->MayCallSilentMembers ? UnknownLeaderTimeout : AttemptTimeout;
  Messages.call(to, wire::ControlCall{request->What},
                std::min(left, attemptTimeout),
                [this, request, to](Result<wire::Message> result) {
                  handle(request, to, std::move(result));
                });
}

void ControlClient::handle(const RequestPtr &request, const Address &from,
                           Result<wire::Message> result) {
  if (!isOk(result)) {
    request->MayHaveRun = true;
    Suspects[from] = Loop.now() + SuspectSpan;
    selectMember(Address{}, from);
    retry(request);
    return;
  }
  Suspects.erase(from);
  if (const auto *news = std::get_if<wire::ControlReply>(&valueOf(result))) {
    LastAnswer = Loop.now();
    request->Finish(news->What);
    return;
  }
  const auto *refusal = std::get_if<wire::Refusal>(&valueOf(result));
  if (refusal == nullptr) {
    request->Finish(Error{ErrorKind::Internal,
                          "the leader sent an unexpected reply",
                          "run the same version on all hosts"});
    return;
  }
  if (refusal->Why.Kind == ErrorKind::NotLeader) {
    NotLeaderReplies[from] = Loop.now();
    selectMember(refusal->Leader, from);
    retry(request);
  } else if (refusal->Why.Kind == ErrorKind::Unavailable) {
    request->MayHaveRun = true;
    retry(request);
  } else {
    finishRefused(*request, refusal->Why);
  }
}

// The leader decides by its current state, which may differ from the state at
// an earlier attempt: for example, the key may have been withdrawn after that
// attempt was stored.
void ControlClient::finishRefused(const Request &request, const Error &why) {
  const bool mayBeStored = request.MayHaveRun && !isRead(request.What) &&
                           !holdsForAllAttempts(why.Kind);
  request.Finish(mayBeStored ? outcomeUnknown(absl::StrCat(
                                   "an earlier attempt may have been stored; "
                                   "the last attempt failed: ",
                                   why.Message))
                             : why);
}

void ControlClient::retry(const RequestPtr &request) {
  Loop.callAt(Loop.now() + RetryPause, [this, request] { attempt(request); });
}

bool ControlClient::isSuspect(const Address &member) const {
  const auto it = Suspects.find(member);
  return it != Suspects.end() && Loop.now() < it->second;
}

void ControlClient::selectMember(const Address &hint, const Address &failed) {
  const bool isHint = hint.Port != 0 && hint != failed && !isSuspect(hint);
  auto it = std::ranges::find(Members, hint);
  if (isHint && it == Members.end())
    it = Members.insert(it, hint);
  if (isHint) {
    Current = static_cast<std::size_t>(it - Members.begin());
    return;
  }
  if (Members.empty() || Members[Current] != failed)
    return;
  // Choose the next member that is not suspect, or the current member again if
  // all others are suspect.
  for (std::size_t i = 1; i <= Members.size(); ++i) {
    const std::size_t next = (Current + i) % Members.size();
    if (isSuspect(Members[next]) && i < Members.size())
      continue;
    Current = next;
    return;
  }
}

} // namespace jujube::control
