// How commands reach the leader's decisions: at once, queued, shed, or passed
// on to another member.
#include <memory>
#include <utility>

#include "jujube/control/control_task.h"

namespace jujube::control {
namespace {

// True for what keeps hosts and workers in the leader's view: behind other
// commands it would make a busy leader lose sight of them.
bool isKeepAlive(const jobs::Command &command) {
  const jobs::CommandKind kind = jobs::kindOf(command);
  return kind == jobs::CommandKind::AnnounceWorker ||
         kind == jobs::CommandKind::OfferHelp;
}

} // namespace

void ControlTask::serve(ClientRequest request) {
  if (!isServing() || isKeepAlive(request.What)) {
    serveNow(std::move(request));
    return;
  }
  const auto held = std::make_shared<ClientRequest>(std::move(request));
  Admissions.push({[this, held] { serveNow(std::move(*held)); },
                   [this, held](const Error &why) {
                     noteRefusal(briefOf(held->What), why);
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
    Forward.setMembers({leader});
  Forward.seek(std::move(request.What), request.Timeout, done);
}

void ControlTask::handle(const wire::Envelope &request) {
  const auto *call = std::get_if<wire::ControlCall>(&request.What);
  if (call == nullptr) {
    Group.refuseKind(request);
    return;
  }
  if (isKeepAlive(call->What)) {
    handleNow(request, call->What);
    return;
  }
  const auto held = std::make_shared<const wire::Envelope>(request);
  const jobs::Command &what = std::get<wire::ControlCall>(held->What).What;
  Admissions.push({[this, held, &what] { handleNow(*held, what); },
                   [this, held, &what](const Error &why) {
                     noteRefusal(briefOf(what), why);
                     Group.refuse(*held, why);
                   }},
                  Loop.now());
}

void ControlTask::handleNow(const wire::Envelope &request,
                            const jobs::Command &command) {
  const auto scope = Meter.enter(Work::Commands);
  if (!isServing()) {
    Group.refuse(request, Group.lostLeadership());
    return;
  }
  execute(command, [this, request](Result<jobs::Reply> reply) {
    if (isOk(reply))
      Messages.reply(request, wire::ControlNews{valueOf(std::move(reply))});
    else
      Group.refuse(request, errorOf(reply));
  });
}

void ControlTask::serveAdmitted() {
  Admissions.serve(Loop.now());
  // The rest is served after messages that have arrived meanwhile.
  if (!Admissions.empty())
    Loop.callAt(Loop.now(), [] {});
}

} // namespace jujube::control
