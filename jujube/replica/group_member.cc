#include "jujube/replica/group_member.h"

#include <random>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::replica {

Status GroupMember::open(consensus::Options options,
                         consensus::DurableState initial,
                         std::optional<uint64_t> seed, ReplicaHooks hooks,
                         std::optional<DiskHooks> disk) {
  hooks.Send = [this](const consensus::Send &send) {
    Messages.send(send.At, wire::GroupMessage{send.What});
  };
  hooks.Fail = [this](const Error &error) {
    Outcome = error;
    Loop.stop();
  };
  auto log = Replica::create(Loop, std::move(options), std::move(initial),
                             seed.value_or(std::random_device()()),
                             std::move(hooks), std::move(disk));
  if (!isOk(log))
    return errorOf(log);
  Log = valueOf(std::move(log));
  return Ok{};
}

void GroupMember::receive(const wire::TransportEvent &event) {
  const auto request = Messages.receive(event);
  if (!request)
    return;
  if (const auto *group = std::get_if<wire::GroupMessage>(&request->What))
    Log->receive(request->From, group->What);
  else if (Callbacks.IsServing())
    Callbacks.Answer(*request);
  else
    refuse(*request, Error{ErrorKind::NotLeader,
                           absl::StrCat("this ", Callbacks.Name,
                                        " is not the leader of its group"),
                           "send the request to the leader"});
}

void GroupMember::refuse(const wire::Envelope &request, const Error &error) {
  Messages.reply(request, wire::Refusal{error, Log->leaderAddress()});
}

void GroupMember::refuseUnsupported(const wire::Envelope &request) {
  refuse(request,
         Error{ErrorKind::InvalidArgument,
               absl::StrCat(Callbacks.Name, "s don't take this message"),
               "check which process listens on this address"});
}

Error GroupMember::lostLeadershipError() const {
  return {ErrorKind::NotLeader,
          absl::StrCat("this ", Callbacks.Name,
                       " is no longer the leader of its group"),
          "send the request to the leader"};
}

void GroupMember::stop() {
  Log->transferLeadership();
  Loop.stop();
}

} // namespace jujube::replica
