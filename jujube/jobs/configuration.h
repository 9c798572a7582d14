// The operators' configuration of queues, pools and teams.
#ifndef JUJUBE_JOBS_CONFIGURATION_H_
#define JUJUBE_JOBS_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"
#include "jujube/jobs/types.h"

namespace jujube::jobs {

// Properties of the service that approves workers for the steps of a queue.
struct ApprovalTerms {
  // A call takes Base, plus PerWorkerMs for each worker that it names.
  Duration Base;
  double PerWorkerMs = 0;
  // How long an approval may be used to start tasks.
  Duration Validity;

  bool operator==(const ApprovalTerms &) const = default;
};

// Where callers reach a queue. Callers know a queue by its place only; its id
// is the operators' name for it, and another version of the configuration may
// give the place another id.
struct QueuePlace {
  std::string HostName;
  std::string PathPrefix;

  auto operator<=>(const QueuePlace &) const = default;
};

// A destination for jobs, with the rules that apply to them.
struct Queue {
  QueueId Id;
  // A call belongs to the queue with its host name and the longest prefix of
  // its path.
  std::string HostName;
  std::string PathPrefix;
  PoolId Pool;
  // Longest duration of a call.
  Duration Timeout;
  // Lower numbers are more urgent; 0 is the most urgent.
  int32_t Priority = 0;
  // A job fails once this many attempts of a task or a gang have failed.
  uint32_t MaxAttempts = 1;
  // The objective of a job is SlackFactor times the length of its critical
  // path, plus LatencyTarget, after it is due.
  double SlackFactor = 1;
  Duration LatencyTarget;
  // Set if steps may only run on approved workers.
  std::optional<ApprovalTerms> Approval;
  // Accepts calls without a key.
  bool IsOpen = false;

  bool operator==(const Queue &) const = default;
};

// A set of workers that serve the same queues.
struct Pool {
  PoolId Id;
  // The workers refuse tasks that exceed their free capacity.
  bool EnforcesCapacity = false;
  // The machines are switched off until they are needed.
  bool IsStandby = false;

  bool operator==(const Pool &) const = default;
};

// A tenant that submits jobs.
struct Team {
  TeamId Id;
  std::vector<std::string> Keys;
  // Weight of its share when the cluster is full; at least 1.
  int64_t Weight = 0;
  // Most resources that its running tasks may request over all workers; 0 means
  // no limit.
  Resources Maximum;

  bool operator==(const Team &) const = default;
};

// Operators replace the configuration as a whole. The highest version that was
// stored is in force.
struct Configuration {
  // Set by the operator, from 1; 0 means that there is no configuration yet.
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Pool> Pools;
  std::vector<Team> Teams;
  // The operator's original document, returned to readers.
  std::string Document;

  bool operator==(const Configuration &) const = default;
};

// Returns InvalidArgument for a configuration without a version, a queue with
// an unknown pool or without a timeout, two queues with the same host name and
// prefix, a queue or a team that is listed twice, a key of two teams, and a
// team without weight.
Status validate(const Configuration &config);

// Returns the queue that a call belongs to, or null if there is none.
const Queue *findQueue(const Configuration &config, absl::string_view hostName,
                       absl::string_view path);
QueuePlace placeOf(const Queue &queue);
// The lookups below return null for unknown places, ids and keys.
const Queue *findQueue(const Configuration &config, const QueuePlace &place);
const Queue *findQueue(const Configuration &config, const QueueId &id);
const Team *findTeam(const Configuration &config, const TeamId &id);
const Pool *findPool(const Configuration &config, const PoolId &id);

// Returns the team that a key belongs to.
const Team *teamOfKey(const Configuration &config, absl::string_view key);

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_CONFIGURATION_H_
