#include "jujube/wire/leader_client.h"

#include <algorithm>
#include <utility>

namespace jujube::wire {
namespace {

// Delay between the attempts of a call.
constexpr Duration RetryDelay = Duration::millis(50);

} // namespace

void LeaderClient::setMembers(std::vector<Address> members) {
  const Address known = leader();
  Members = std::move(members);
  Current = 0;
  setLeader(known);
}

void LeaderClient::setLeader(const Address &leader) {
  const auto it = std::ranges::find(Members, leader);
  if (it != Members.end())
    Current = static_cast<std::size_t>(it - Members.begin());
}

void LeaderClient::announceLeader(const Address &leader) {
  setLeader(leader);
  if (this->leader() != leader)
    return; // `leader` isn't a member.
  std::vector<Address> others = Members;
  std::erase(others, leader);
  std::ranges::for_each(
      others, [this](const Address &member) { Calls.abandonCalls(member); });
}

Address LeaderClient::leader() const {
  return Members.empty() ? Address{} : Members[Current];
}

void LeaderClient::advancePast(const Address &failed) {
  if (!Members.empty() && Members[Current] == failed)
    Current = (Current + 1) % Members.size();
}

void LeaderClient::call(const Message &message, Duration timeout,
                        const ReplyHook &done, Duration attemptTimeout) {
  attempt(std::make_shared<const Request>(
      Request{message, Loop.now() + timeout, attemptTimeout, done}));
}

void LeaderClient::selectNextMember(const Refusal *refusal,
                                    const Address &from) {
  if (refusal && refusal->Leader.Port != 0 && refusal->Leader != from)
    setLeader(refusal->Leader);
  else
    advancePast(from);
}

void LeaderClient::callOnce(const Message &message, Duration timeout,
                            const ReplyHook &done, Channel via) {
  const Address to = leader();
  Calls.call(
      to, message, timeout,
      [this, to, done](Result<Message> result) {
        const auto *refusal =
            isOk(result) ? std::get_if<Refusal>(&valueOf(result)) : nullptr;
        if (isOk(result) && !refusal) {
          done(std::move(result));
          return;
        }
        if (!refusal || refusal->Why.Kind == ErrorKind::NotLeader)
          selectNextMember(refusal, to);
        done(refusal ? Result<Message>(refusal->Why) : std::move(result));
      },
      via);
}

void LeaderClient::attempt(const std::shared_ptr<const Request> &request) {
  const Duration left = request->Deadline - Loop.now();
  if (Members.empty() || left <= Duration()) {
    request->Done(Error{ErrorKind::Unavailable, "no leader can be reached",
                        "retry; see jujubectl status for the groups' leaders"});
    return;
  }
  const Address to = leader();
  Calls.call(to, request->Body, std::min(left, request->AttemptTimeout),
             [this, request, to](Result<Message> result) {
               handleReply(request, to, std::move(result));
             });
}

void LeaderClient::handleReply(const std::shared_ptr<const Request> &request,
                               const Address &from, Result<Message> result) {
  const auto *refusal =
      isOk(result) ? std::get_if<Refusal>(&valueOf(result)) : nullptr;
  if (isOk(result) && !refusal) {
    setLeader(from);
    request->Done(std::move(result));
    return;
  }
  if (refusal && refusal->Why.Kind != ErrorKind::NotLeader) {
    request->Done(refusal->Why);
    return;
  }
  selectNextMember(refusal, from);
  Loop.callAt(Loop.now() + RetryDelay, [this, request] { attempt(request); });
}

} // namespace jujube::wire
