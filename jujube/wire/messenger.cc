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
  Calls[correlation] = Call{to, std::move(done), timer};
  CallsTo[to].insert(correlation);
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

void Messenger::abandonCalls(const Address &peer) {
  const auto it = CallsTo.find(peer);
  if (it == CallsTo.end())
    return;
  const Error lost{ErrorKind::DeadlineExceeded, "a control host was lost",
                   "retry; the request may have been carried out"};
  // Hooks may call the same peer again.
  const std::set<uint64_t> waiting = std::exchange(it->second, {});
  for (const uint64_t correlation : waiting)
    finish(correlation, lost);
}

std::optional<Envelope> Messenger::receive(const TransportEvent &event) {
  if (const auto *delivery = std::get_if<Delivery>(&event))
    return take(delivery->Payload);
  abandonCalls(std::get<PeerLost>(event).Peer);
  return std::nullopt;
}

std::optional<Envelope> Messenger::take(const std::string &payload) {
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
  CallsTo[call.To].erase(correlation);
  Loop.cancel(call.Timeout);
  call.Done(std::move(result));
}

} // namespace jujube::wire
