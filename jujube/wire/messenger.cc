#include "jujube/wire/messenger.h"

#include "jujube/wire/framing.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::wire {

Messenger::Messenger(runtime::PollLoop &loop, HostId self, Address listen,
                     PacketMailbox outbox)
    : Loop(loop), Self(std::move(self)), Listen(std::move(listen)),
      Outbox(std::move(outbox)),
      // Replies to a predecessor of this object must not match its calls.
      LastCorrelation(static_cast<uint64_t>(loop.now().millis()) << 20) {}

void Messenger::post(const Address &to, Channel via, const Envelope &envelope) {
  std::string payload = encodeEnvelope(envelope);
  if (payload.size() > MaxFrameBytes)
    return; // The caller's timeout tells.
  Traffic &traffic = Sent[kindOf(envelope.What)];
  ++traffic.Messages;
  traffic.Bytes += payload.size();
  (void)Outbox->post(Packet{to, via, std::move(payload)});
}

void Messenger::send(const Address &to, Message what, Channel via) {
  post(to, via, Envelope{Self, Listen, 0, false, std::move(what)});
}

void Messenger::call(const Address &to, Message what, Duration timeout,
                     ReplyHook done, Channel via) {
  const uint64_t correlation = ++LastCorrelation;
  const runtime::TimerId timer =
      Loop.callAt(Loop.now() + timeout, [this, correlation] {
        finish(correlation,
               Error{ErrorKind::DeadlineExceeded,
                     "no reply from a control host",
                     "retry; the request may have been carried out"});
      });
  Calls[correlation] = Call{std::move(done), timer};
  post(to, via, Envelope{Self, Listen, correlation, false, std::move(what)});
}

void Messenger::reply(const Envelope &request, Message what, Channel via) {
  if (request.Correlation == 0)
    return;
  post(request.ReplyTo, via,
       Envelope{Self, Listen, request.Correlation, true, std::move(what)});
}

void Messenger::addTraffic(catalogue::HostRole role,
                           metrics::Snapshot &snapshot) const {
  const absl::string_view name = nameIn(catalogue::HostRoleNames, role);
  for (const auto &[kind, traffic] : Sent) {
    const metrics::Labels labels{"",
                                 std::string(nameIn(MessageKindNames, kind))};
    snapshot.Counters.push_back(
        {absl::StrCat(name, "_sent_messages"), labels, traffic.Messages});
    snapshot.Counters.push_back(
        {absl::StrCat(name, "_sent_bytes"), labels, traffic.Bytes});
  }
}

std::optional<Envelope> Messenger::receive(const std::string &payload) {
  Result<Envelope> envelope = decodeEnvelope(payload);
  if (!isOk(envelope)) {
    ++Undecodable;
    return std::nullopt;
  }
  if (!valueOf(envelope).IsReply)
    return valueOf(std::move(envelope));
  finish(valueOf(envelope).Correlation, std::move(valueOf(envelope).What));
  return std::nullopt;
}

void Messenger::finish(uint64_t correlation, Result<Message> result) {
  const auto it = Calls.find(correlation);
  if (it == Calls.end())
    return; // A late or repeated reply.
  const Call call = std::move(it->second);
  Calls.erase(it);
  Loop.cancel(call.Timeout);
  call.Done(std::move(result));
}

} // namespace jujube::wire
