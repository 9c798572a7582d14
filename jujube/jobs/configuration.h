// The configuration of queues, pools and teams as operators put it: whole,
// under a version of theirs. The highest version is in force.
#ifndef JUJUBE_JOBS_CONFIGURATION_H_
#define JUJUBE_JOBS_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"
#include "jujube/jobs/types.h"

namespace jujube::jobs {

// The service that says which workers a step may run on.
struct ApprovalTerms {
  // A call takes Base and PerWorkerMs for each worker that it names.
  Duration Base;
  double PerWorkerMs = 0;
  // How long an approval may be used to start tasks.
  Duration Validity;

  bool operator==(const ApprovalTerms &) const = default;
};

// Where callers submit jobs.
struct Queue {
  QueueId Id;
  // Calls are matched by host name and the longest prefix of their path.
  std::string HostName;
  std::string PathPrefix;
  PoolId Pool;
  // Longest time that a call may take.
  Duration Timeout;
  // 0 comes first.
  int32_t Priority = 0;
  uint32_t MaxAttempts = 1;
  // A job's objective: the factor times its longest chain, and the target.
  double SlackFactor = 1;
  Duration LatencyTarget;
  std::optional<ApprovalTerms> Approval;
  // Takes calls without a key.
  bool IsOpen = false;

  bool operator==(const Queue &) const = default;
};

struct Pool {
  PoolId Id;
  // Its workers reject what does not fit.
  bool EnforcesCapacity = false;
  // Its machines are off until they are needed.
  bool IsStandby = false;

  bool operator==(const Pool &) const = default;
};

struct Team {
  TeamId Id;
  std::vector<std::string> Keys;
  // Its share when all is full.
  int64_t Weight = 0;
  // What it may have running over all workers; 0 for no limit.
  Resources Maximum;

  bool operator==(const Team &) const = default;
};

struct Configuration {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Pool> Pools;
  std::vector<Team> Teams;
  // What the operator sent, for reading it back.
  std::string Document;

  bool operator==(const Configuration &) const = default;
};

// Refuses a configuration that must not come into force: a queue that names an
// unknown pool or has no timeout, two queues at one place, a key of two teams,
// a team without weight.
Status validate(const Configuration &config);

// The queue that a call belongs to; null if there is none.
const Queue *findQueue(const Configuration &config, absl::string_view hostName,
                       absl::string_view path);
const Queue *findQueue(const Configuration &config, const QueueId &id);
const Team *findTeam(const Configuration &config, const TeamId &id);

// The team that a key belongs to; null if it is no key.
const Team *teamOfKey(const Configuration &config, absl::string_view key);

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_CONFIGURATION_H_
