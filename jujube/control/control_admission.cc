// How a command reaches the leader's decision: executed at once, queued, shed,
// or forwarded to another member.
#include <memory>
#include <utility>

#include "jujube/control/control_task.h"

namespace jujube::control {
namespace {

// True for commands that bypass the queue of callers' commands. Reports of
// hosts and workers: if they are late, a busy leader considers their senders
// lost. Commands of the operator: a command that was acknowledged must not be
// refused when it is resent. Cancellations: they reduce the load.
bool isImmediate(const jobs::Command &command) {
  switch (jobs::kindOf(command)) {
  case jobs::CommandKind::AnnounceWorker:
  case jobs::CommandKind::WithdrawWorker:
  case jobs::CommandKind::RegisterHelper:
  case jobs::CommandKind::PutConfiguration:
  case jobs::CommandKind::ReadConfiguration:
  case jobs::CommandKind::CancelJob:
  case jobs::CommandKind::EvacuateZone:
  case jobs::CommandKind::RestoreZone:
  case jobs::CommandKind::ReadEvacuations:
    return true;
  case jobs::CommandKind::SubmitJob:
  case jobs::CommandKind::ReadJob:
  case jobs::CommandKind::CountPending:
    return false;
  }
  return false;
}

} // namespace

void ControlTask::serve(ClientRequest request) {
  if (!isServing() || isImmediate(request.What)) {
    serveNow(std::move(request));
    return;
  }
  const auto held = std::make_shared<ClientRequest>(std::move(request));
  Admissions.push({[this, held] { serveNow(std::move(*held)); },
                   [this, held](const Error &why) {
                     noteRefusal(summaryOf(held->What), why);
                     held->Answer->set(why);
                   }},
                  Loop.now());
}

void ControlTask::serveNow(ClientRequest request) {
  const auto scope = Meter.enter(Work::Commands);
  const auto slot = request.Answer;
  const Answer done = [slot](Result<jobs::Reply> reply) {
    slot->set(std::move(reply));
  };
  if (isServing()) {
    execute(request.What, done);
    return;
  }
  const Address leader = Group.log().leaderAddress();
  if (leader.Port != 0)
    LeaderClient.setMembers({leader});
  LeaderClient.callAnyMember(std::move(request.What), request.Timeout, done);
}

void ControlTask::handle(const wire::Envelope &request) {
  const auto *call = std::get_if<wire::ControlCall>(&request.What);
  if (call == nullptr) {
    Group.refuseUnsupported(request);
    return;
  }
  if (isImmediate(call->What)) {
    handleNow(request, call->What);
    return;
  }
  const auto held = std::make_shared<const wire::Envelope>(request);
  const jobs::Command &what = std::get<wire::ControlCall>(held->What).What;
  Admissions.push({[this, held, &what] { handleNow(*held, what); },
                   [this, held, &what](const Error &why) {
                     noteRefusal(summaryOf(what), why);
                     Group.refuse(*held, why);
                   }},
                  Loop.now());
}

void ControlTask::handleNow(const wire::Envelope &request,
                            const jobs::Command &command) {
  const auto scope = Meter.enter(Work::Commands);
  if (!isServing()) {
    Group.refuse(request, Group.lostLeadershipError());
    return;
  }
  execute(command, [this, request](Result<jobs::Reply> reply) {
    if (isOk(reply))
      Messages.reply(request, wire::ControlReply{valueOf(std::move(reply))});
    else
      Group.refuse(request, errorOf(reply));
  });
}

void ControlTask::serveAdmitted() {
  Admissions.serve(Loop.now());
  // Serve the rest in the next turn, after messages that have arrived
  // meanwhile.
  if (!Admissions.empty())
    Loop.callAt(Loop.now(), [] {});
}

} // namespace jujube::control
