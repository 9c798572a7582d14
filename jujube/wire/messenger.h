// Requests and replies between processes, for the task that owns them.
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

// Called once for each call: with the reply, which may be a Refusal, or with
// DeadlineExceeded after the timeout or when the peer was lost. After
// DeadlineExceeded the request may still have been carried out.
using ReplyHook = std::function<void(Result<Message>)>;

// Encodes messages, sends them through the transport's mailbox and pairs
// replies with calls. It belongs to the task that owns `loop`.
class Messenger {
public:
  Messenger(runtime::PollLoop &loop, HostId self, Address listen,
            PacketMailbox outbox);

  // Sends a message that is not answered.
  void send(const Address &to, Message what, Channel via = Channel::Stream);

  // Sends a request; `done` is called on the loop's thread, never within
  // call().
  void call(const Address &to, Message what, Duration timeout, ReplyHook done,
            Channel via = Channel::Stream);

  // Answers a request, if it wants an answer.
  void reply(const Envelope &request, Message what,
             Channel via = Channel::Stream);

  // Ends the calls to `peer` that wait for a reply with DeadlineExceeded, as
  // none is to be expected soon.
  void abandonCalls(const Address &peer);

  // Takes what the transport tells. Replies go to the hook of their call, and
  // calls to a lost peer are abandoned; returns a message for the owner to
  // handle, or nothing.
  std::optional<Envelope> receive(const TransportEvent &event);

  // Adds counters ROLE_sent_messages and ROLE_sent_bytes, with the kind of
  // message as class.
  void addTraffic(catalogue::HostRole role, metrics::Snapshot &snapshot) const;

  // Messages that could not be decoded since the start.
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
  std::optional<Envelope> take(const std::string &payload);
  void finish(uint64_t correlation, Result<Message> result);

  runtime::PollLoop &Loop;
  HostId Self;
  Address Listen;
  PacketMailbox Outbox;
  absl::flat_hash_map<uint64_t, Call> Calls;
  // The calls that wait for each peer.
  std::map<Address, std::set<uint64_t>> CallsTo;
  std::map<MessageKind, Traffic> Sent;
  uint64_t LastCorrelation = 0;
  uint64_t Undecodable = 0;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_MESSENGER_H_
