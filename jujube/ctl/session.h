// What the commands of jujubectl work with.
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

// How a command that was carried out ended.
enum class Verdict {
  Done,
  // The work that was asked about failed, was cancelled or was not run.
  WorkFailed,
};

// Settings that commands read, checked.
struct SessionOptions {
  std::string OperatorToken;
  // "KEYID.SECRET"; empty for open entries.
  std::string PresentedKey;
  // Who makes edits, for the history.
  std::string Author;
  // The availability zone that keeps new requests; empty to ask the server.
  std::string Zone;
  // Names this invocation; repeating it repeats nothing that was done.
  std::string Id;
  bool IsJson = false;
  bool IsDryRun = false;
  // Apply: delete what the file lacks.
  bool MayDelete = false;
  std::string Payload;
  // Number of tasks; 0 for the entry's own.
  uint32_t Tasks = 0;
  Duration StartWithin;
  // How long to wait for the end of a request.
  Duration Wait;
  // Of a live request.
  Duration Timeout = Duration::seconds(10);
  // Changes of a team; negative ones stay as they are.
  int64_t Share = -1;
  Resources Ceiling{-1, -1, -1};
  // Filters of histograms; empty for all.
  std::string Team;
  std::string Class;
  // Histograms of every server instead of the first that answers.
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
  // Replaces the line that tells how far a wait is; does nothing unless a
  // person watches.
  std::function<void(const std::string &)> Progress;
  // Random bytes as hex.
  std::function<std::string(std::size_t)> Random;
};

using Arguments = std::vector<std::string>;

// Reads the fleet's state as the entry host knows it.
Result<api::FleetStatus> readStatus(http::Client &api);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_SESSION_H_
