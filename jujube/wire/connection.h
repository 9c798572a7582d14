// A TCP connection that carries frames.
#ifndef JUJUBE_WIRE_CONNECTION_H_
#define JUJUBE_WIRE_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"
#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/poll_loop.h"
#include "jujube/wire/framing.h"

namespace jujube::wire {

// Limit of the unsent bytes buffered on a connection.
inline constexpr std::size_t MaxBufferedBytes = 16 << 20;

// Reads and writes frames on a connected or connecting socket, which it owns.
// Belongs to the task that owns `loop`.
class Connection {
public:
  struct Hooks {
    // Called once the socket is connected.
    std::function<void()> OnOpen;
    // Called for each complete frame.
    std::function<void(std::string payload)> OnFrame;
    // Called once when the connection fails or the peer closes it. The hook
    // must not destroy the connection; the owner does so afterwards.
    std::function<void()> OnClose;
  };

  Connection(runtime::PollLoop &loop, runtime::FileDescriptor fd, Hooks hooks);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  // Queues a payload as a frame. Returns Overloaded if the unsent bytes would
  // exceed MaxBufferedBytes.
  Status send(absl::string_view payload);
  // Stops watching the socket. No hook is called afterwards, even if data
  // arrives before the connection is destroyed.
  void abandon();

private:
  void handleEvents(short events);
  // These return false if the connection has to be closed.
  bool readAvailable();
  bool writeBuffered();
  void close();
  void updateWatch();

  runtime::PollLoop &Loop;
  runtime::FileDescriptor Fd;
  Hooks Callbacks;
  FrameReader Reader;
  std::string Output;
  // Length of the prefix of Output that has been written to the socket.
  std::size_t WrittenBytes = 0;
  bool IsOpen = false;
  bool IsClosed = false;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_CONNECTION_H_
