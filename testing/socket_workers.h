// Emulates the platform's workers behind real sockets. Each worker has its own
// address on the loopback network.
#ifndef TESTING_SOCKET_WORKERS_H_
#define TESTING_SOCKET_WORKERS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/poll_loop.h"
#include "testing/platform_workers.h"

namespace jujube::testing {

// Owned by the task that owns `loop`.
class SocketWorkers {
public:
  // `network` is the first half of the workers' addresses, such as "127.9".
  SocketWorkers(runtime::PollLoop &loop, const std::string &network);

  // Adds a worker and listens on its address.
  Status add(const std::string &id, Resources capacity);

  PlatformWorkers &workers() { return Workers; }
  // Number of accepted connections, and of calls by target.
  uint64_t connections() const { return Accepted; }
  const std::map<std::string, uint64_t> &calls() const { return Calls; }

private:
  struct Connection {
    Address At;
    runtime::FileDescriptor Socket;
    std::string Input;
  };
  // Shared, because a reply may be sent after the connection has closed.
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept(const Address &at, int listener);
  void read(const ConnectionPtr &connection);
  // Serves the request at the start of the input. Returns false if the input
  // does not hold a complete request yet.
  bool serveNext(const ConnectionPtr &connection);

  runtime::PollLoop &Loop;
  PlatformWorkers Workers;
  std::list<runtime::FileDescriptor> Listeners;
  uint64_t Accepted = 0;
  std::map<std::string, uint64_t> Calls;
};

} // namespace jujube::testing

#endif // TESTING_SOCKET_WORKERS_H_
