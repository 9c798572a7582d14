// The jobs that were cancelled before their submission arrived.
#ifndef JUJUBE_JOBS_WITHDRAWALS_H_
#define JUJUBE_JOBS_WITHDRAWALS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "jujube/jobs/types.h"

namespace jujube::jobs {

// A cancelled job of which no submission had been stored.
struct Withdrawal {
  JobId Job;
  Owner By;

  bool operator==(const Withdrawal &) const = default;
};

// Remembers withdrawals, so that a submission that arrives after its
// cancellation is refused. Part of the replicated job state. The number of
// withdrawals is bounded, in total and for each team, because callers may
// cancel any number of ids that nobody submits.
class Withdrawals {
public:
  static constexpr std::size_t MaxPerTeam = 4096;
  static constexpr std::size_t MaxTotal = 16384;

  // True if another withdrawal of the team can be recorded.
  bool hasRoomFor(const TeamId &team) const;
  // Does nothing if the withdrawal is recorded already, or if there is no room.
  void record(const JobId &job, const Owner &by);
  // True if this owner has withdrawn the job.
  bool contains(const JobId &job, const Owner &by) const;
  // True if any owner has.
  bool contains(const JobId &job) const { return ByJob.contains(job); }
  // Forgets the withdrawals of the id by all owners.
  void forget(const JobId &job);
  // Replaces the owners after a change of the configuration.
  void updateOwners(const std::function<void(Owner &)> &update);

  std::size_t size() const { return ByJob.size(); }
  // In the order of their ids.
  std::vector<Withdrawal> capture() const;
  static Withdrawals restore(const std::vector<Withdrawal> &state);

private:
  // Several owners may withdraw the same id: they do not know of each other.
  std::multimap<JobId, Owner> ByJob;
  std::map<TeamId, std::size_t> TeamSizes;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_WITHDRAWALS_H_
