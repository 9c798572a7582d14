// HTTP exchanges of a link task with runners.
#ifndef JUJUBE_ENTRY_RUNNER_EXCHANGE_H_
#define JUJUBE_ENTRY_RUNNER_EXCHANGE_H_

#include <memory>
#include <string>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/entry/runner_link.h"

namespace httplib {
class Client;
}

namespace jujube::entry {

// Holds at most one HTTP connection to a runner at a time. Owned by one link
// task; every call blocks.
class RunnerConnection {
public:
  explicit RunnerConnection(Clock clock);
  ~RunnerConnection();
  RunnerConnection(const RunnerConnection &) = delete;
  RunnerConnection &operator=(const RunnerConnection &) = delete;

  // Sends a request or an inquiry and waits for its outcome. An incomplete
  // answer, or an answer to another request or attempt, counts as Unknown.
  RunnerOutcome perform(const LinkCommand &command);

private:
  struct HttpResult;

  RunnerOutcome run(const SendRequest &request);
  RunnerOutcome inquire(const SendInquiry &inquiry);
  HttpResult post(const Address &to, const std::string &path, std::string body,
                  Duration timeout);
  void connectTo(const Address &to);

  Clock TimeSource;
  Address Peer;
  Instant LastUse;
  std::unique_ptr<httplib::Client> Client;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_RUNNER_EXCHANGE_H_
