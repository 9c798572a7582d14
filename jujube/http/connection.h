// A client connection of a server. Owned by the server's task.
#ifndef JUJUBE_HTTP_CONNECTION_H_
#define JUJUBE_HTTP_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <string>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/http/channel.h"
#include "jujube/http/request_assembler.h"

namespace jujube::http {

enum class ConnectionState {
  // No byte of a next request has arrived.
  Idle,
  // Part of a request has arrived.
  Receiving,
  // A whole request waits for a thread.
  Ready,
  // A thread serves the request.
  Processing,
  // The response is being sent.
  Sending,
  // The response was sent, and what the client still sends is discarded: to
  // close at once would reset the connection, and the client could lose the
  // response.
  Draining,
};

inline constexpr NameTable<ConnectionState, 6> ConnectionStateNames = {{
    {ConnectionState::Idle, "idle"},
    {ConnectionState::Receiving, "receiving"},
    {ConnectionState::Ready, "ready"},
    {ConnectionState::Processing, "processing"},
    {ConnectionState::Sending, "sending"},
    {ConnectionState::Draining, "draining"},
}};
static_assert(isComplete(ConnectionStateNames));

struct Connection {
  Connection(std::unique_ptr<Channel> link, RequestAssembler::Limits limits,
             Instant now)
      : Link(std::move(link)), Incoming(limits), Since(now), Progress(now) {}

  void enter(ConnectionState state, Instant now) {
    State = state;
    Since = now;
    Progress = now;
  }
  // Memory that the connection occupies besides a request that a thread has.
  std::size_t bufferedBytes() const {
    return Incoming.heldBytes() + Input.capacity() + Output.capacity();
  }

  std::unique_ptr<Channel> Link;
  RequestAssembler Incoming;
  // Received bytes that follow the present request.
  std::string Input;
  std::string Output;
  // Bytes of Output that were sent.
  std::size_t Sent = 0;
  ConnectionState State = ConnectionState::Idle;
  // When the state began, and when bytes were last transferred in it.
  Instant Since;
  Instant Progress;
  bool ClosesAfterOutput = false;
  bool DrainsAfterOutput = false;
  // The poll(2) events that the loop watches; 0 if it watches none.
  short Watched = 0;
  // The part of the server's buffered bytes that is counted for it.
  std::size_t Counted = 0;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CONNECTION_H_
