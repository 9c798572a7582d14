// One TCP connection of frames.
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

// Most bytes that wait to be sent on one connection.
inline constexpr std::size_t MaxBufferedBytes = 16 << 20;

// Reads and writes frames on a connected or connecting socket. It belongs to
// the task that owns `loop`.
class Connection {
public:
  struct Hooks {
    // The socket is connected.
    std::function<void()> OnOpen;
    std::function<void(std::string payload)> OnFrame;
    // The connection failed or the peer closed it. The owner destroys it later,
    // not within this call.
    std::function<void()> OnClose;
  };

  Connection(runtime::PollLoop &loop, runtime::FileDescriptor fd, Hooks hooks);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  // Queues a payload; refuses it with Overloaded over MaxBufferedBytes.
  Status send(absl::string_view payload);
  // Calls no hook any more, whatever arrives until it is destroyed.
  void abandon();

private:
  void handleEvents(short events);
  bool readAvailable();
  bool writeBuffered();
  void close();
  void updateWatch();

  runtime::PollLoop &Loop;
  runtime::FileDescriptor Fd;
  Hooks Callbacks;
  FrameReader Reader;
  std::string Output;
  // Bytes of Output that were written already.
  std::size_t Written = 0;
  bool IsOpen = false;
  bool IsClosed = false;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_CONNECTION_H_
