#include "jujube/wire/messenger.h"

#include "jujube/wire/framing.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::wire {

Messenger::Messenger(runtime::PollLoop &loop, HostId self, Address listen,
                     PacketMailbox outbox)
    : Loop(loop), Self(std::move(self)), Listen(std::move(listen)),
      Outbox(std::move(outbox)),
      // Starts from the clock, so that replies to calls of an earlier Messenger
      // at the same address match none of this one's calls.
      LastCorrelation(static_cast<uint64_t>(loop.now().millis()) << 20) {}

void Messenger::post(const Address &to, Channel via, const Envelope &envelope) {
  std::string payload = encodeEnvelope(envelope);
  if (payload.size() > MaxFrameBytes)
    return; // The caller is notified by its timeout.
  Traffic &traffic = SentByKind[kindOf(envelope.What)];
  ++traffic.Messages;
  traffic.Bytes += payload.size();
  (void)Outbox->post(Packet{to, via, std::move(payload)});
}

void Messenger::send(const Address &to, Message message, Channel via) {
  post(to, via, Envelope{Self, Listen, 0, false, std::move(message)});
}

void Messenger::call(const Address &to, Message message, Duration timeout,
                     ReplyHook done, Channel via) {
  const uint64_t correlation = ++LastCorrelation;
  const runtime::TimerId timeoutTimer =
      Loop.callAt(Loop.now() + timeout, [this, correlation] {
        completeCall(correlation,
                     Error{ErrorKind::DeadlineExceeded,
                           "no reply from a control host within the timeout",
                           "retry; the request may have been carried out"});
      });
  PendingCalls[correlation] = Call{to, std::move(done), timeoutTimer};
  CallsByPeer[to].insert(correlation);
  post(to, via, Envelope{Self, Listen, correlation, false, std::move(message)});
}

void Messenger::reply(const Envelope &request, Message message, Channel via) {
  if (request.Correlation == 0)
    return;
  post(request.ReplyTo, via,
       Envelope{Self, Listen, request.Correlation, true, std::move(message)});
}

void Messenger::addTraffic(catalogue::HostRole role,
                           metrics::Snapshot &snapshot) const {
  const absl::string_view name = nameIn(catalogue::HostRoleNames, role);
  for (const auto &[kind, traffic] : SentByKind) {
    const metrics::Labels labels{"",
                                 std::string(nameIn(MessageKindNames, kind))};
    snapshot.Counters.push_back(
        {absl::StrCat(name, "_sent_messages"), labels, traffic.Messages});
    snapshot.Counters.push_back(
        {absl::StrCat(name, "_sent_bytes"), labels, traffic.Bytes});
  }
}

void Messenger::abandonCalls(const Address &peer) {
  const auto it = CallsByPeer.find(peer);
  if (it == CallsByPeer.end())
    return;
  const Error error{ErrorKind::DeadlineExceeded,
                    "a control host can't be reached",
                    "retry; the request may have been carried out"};
  // Moved out first, since hooks may call the same peer again.
  const std::set<uint64_t> correlations = std::exchange(it->second, {});
  for (const uint64_t correlation : correlations)
    completeCall(correlation, error);
}

std::optional<Envelope> Messenger::receive(const TransportEvent &event) {
  if (const auto *delivery = std::get_if<Delivery>(&event))
    return handlePayload(delivery->Payload);
  abandonCalls(std::get<PeerLost>(event).Peer);
  return std::nullopt;
}

std::optional<Envelope> Messenger::handlePayload(const std::string &payload) {
  Result<Envelope> envelope = decodeEnvelope(payload);
  if (!isOk(envelope)) {
    ++Undecodable;
    return std::nullopt;
  }
  if (!valueOf(envelope).IsReply)
    return valueOf(std::move(envelope));
  completeCall(valueOf(envelope).Correlation,
               std::move(valueOf(envelope).What));
  return std::nullopt;
}

void Messenger::completeCall(uint64_t correlation, Result<Message> result) {
  const auto it = PendingCalls.find(correlation);
  if (it == PendingCalls.end())
    return; // A late or duplicate reply.
  const Call call = std::move(it->second);
  PendingCalls.erase(it);
  CallsByPeer[call.To].erase(correlation);
  Loop.cancel(call.Timeout);
  call.Done(std::move(result));
}

} // namespace jujube::wire
