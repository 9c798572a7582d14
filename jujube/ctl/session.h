// The options and interfaces shared by the commands of jujubectl.
#ifndef JUJUBE_CTL_SESSION_H_
#define JUJUBE_CTL_SESSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/http/client.h"

namespace jujube::ctl {

// The result of a command that was carried out.
enum class Verdict {
  Done,
  // The request failed, was cancelled or was not run.
  WorkFailed,
};

// Validated settings of one invocation.
struct SessionOptions {
  std::string OperatorToken;
  // "KEYID.SECRET"; empty for entries that need no key.
  std::string PresentedKey;
  // The author recorded in the catalogue history.
  std::string Author;
  // The availability zone that stores new requests; empty to use the server's
  // zone.
  std::string Zone;
  // Idempotency id of this invocation; a repeated invocation with the same id
  // has no further effect.
  std::string Id;
  bool IsJson = false;
  bool IsDryRun = false;
  // catalogue apply: delete objects that are missing from the file.
  bool MayDelete = false;
  std::string Payload;
  // Number of tasks; 0 to use the number in the entry.
  uint32_t Tasks = 0;
  Duration StartWithin;
  // Maximum time to wait for a request to end.
  Duration Wait;
  // Timeout of a live request.
  Duration Timeout = Duration::seconds(10);
  // New values for a team; negative values leave the current ones unchanged.
  int64_t Share = -1;
  Resources Ceiling{-1, -1, -1};
  // Filters of histograms; empty to match all.
  std::string Team;
  std::string Class;
  // Print histograms of every server instead of the first that responds.
  bool OfEachServer = false;
};

struct Session {
  SessionOptions Options;
  http::Client Api;
  Clock Time;
  // Writes to standard output.
  std::function<void(const std::string &)> Print;
  // Writes to standard error.
  std::function<void(const std::string &)> PrintError;
  // Updates the progress line of a wait. Does nothing unless the output is a
  // terminal.
  std::function<void(const std::string &)> Progress;
  // Returns this number of random bytes as hexadecimal text.
  std::function<std::string(std::size_t)> Random;
};

using Arguments = std::vector<std::string>;

// Fetches the state of the fleet as known to the entry host.
Result<api::FleetStatus> readStatus(http::Client &api);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_SESSION_H_
