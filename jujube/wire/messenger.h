// Request and reply messaging between processes.
#ifndef JUJUBE_WIRE_MESSENGER_H_
#define JUJUBE_WIRE_MESSENGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "jujube/base/address.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/runtime/poll_loop.h"
#include "jujube/wire/messages.h"
#include "jujube/wire/transport.h"

namespace jujube::wire {

// Called exactly once per call: with the reply, which may be a Refusal, or with
// DeadlineExceeded when the timeout has passed or the peer is lost. The request
// may have been carried out despite DeadlineExceeded.
using ReplyHook = std::function<void(Result<Message>)>;

// Encodes messages, sends them through the transport's mailbox and matches
// replies to pending calls. Belongs to the task that owns `loop`.
class Messenger {
public:
  Messenger(runtime::PollLoop &loop, HostId self, Address listen,
            PacketMailbox outbox);

  // Sends a one-way message. A message that exceeds MaxFrameBytes is dropped.
  void send(const Address &to, Message message, Channel via = Channel::Stream);

  // Sends a request. `done` is called on the loop's thread, never from within
  // call(). A request that exceeds MaxFrameBytes is dropped and times out.
  void call(const Address &to, Message message, Duration timeout,
            ReplyHook done, Channel via = Channel::Stream);

  // Replies to a request; does nothing if `request` is a one-way message.
  void reply(const Envelope &request, Message message,
             Channel via = Channel::Stream);

  // Ends all pending calls to `peer` with DeadlineExceeded.
  void abandonCalls(const Address &peer);

  // Handles a transport event: passes replies to the hook of their call and
  // abandons the calls to a lost peer. Returns a request or one-way message for
  // the owner to handle; otherwise an empty optional.
  std::optional<Envelope> receive(const TransportEvent &event);

  // Adds the counters ROLE_sent_messages and ROLE_sent_bytes to `snapshot`,
  // with the kind of message as the label `class`.
  void addTraffic(catalogue::HostRole role, metrics::Snapshot &snapshot) const;

  // Number of received payloads that could not be decoded.
  uint64_t undecodable() const { return Undecodable; }

private:
  struct Call {
    Address To;
    ReplyHook Done;
    runtime::TimerId Timeout;
  };

  struct Traffic {
    uint64_t Messages = 0;
    uint64_t Bytes = 0;
  };

  void post(const Address &to, Channel via, const Envelope &envelope);
  std::optional<Envelope> handlePayload(const std::string &payload);
  void completeCall(uint64_t correlation, Result<Message> result);

  runtime::PollLoop &Loop;
  HostId Self;
  Address Listen;
  PacketMailbox Outbox;
  absl::flat_hash_map<uint64_t, Call> PendingCalls;
  // Correlations of the pending calls, by peer.
  std::map<Address, std::set<uint64_t>> CallsByPeer;
  std::map<MessageKind, Traffic> SentByKind;
  uint64_t LastCorrelation = 0;
  uint64_t Undecodable = 0;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_MESSENGER_H_
