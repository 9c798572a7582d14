// Controls the speed of filler tasks that share a worker with serving tasks,
// from the tails of the serving tasks' response times: additive increase,
// multiplicative decrease.
#ifndef JUJUBE_DISPATCH_PACING_H_
#define JUJUBE_DISPATCH_PACING_H_

#include <vector>

#include "jujube/base/clock.h"

namespace jujube::dispatch {

// Response times of one serving task, as its worker reports them.
struct ServingTail {
  Duration TailLatency;
  // Upper bound that the tail should meet.
  Duration Target;
};

// Share of a task at full speed, in per cent.
inline constexpr int FullShare = 100;

// Returns the next share of the filler tasks, in per cent of full speed, given
// the current one. Without serving tasks it is FullShare.
int nextShare(int share, const std::vector<ServingTail> &tails);

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_PACING_H_
