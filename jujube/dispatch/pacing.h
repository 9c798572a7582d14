// How fast tasks that fill may work beside tasks that serve: by the tails of
// the serving tasks' response times, additively up and multiplicatively down.
#ifndef JUJUBE_DISPATCH_PACING_H_
#define JUJUBE_DISPATCH_PACING_H_

#include <vector>

#include "jujube/base/clock.h"

namespace jujube::dispatch {

// What a worker says of one task that serves.
struct ServingTail {
  Duration Tail;
  Duration Target;
};

// Full speed, in per cent.
inline constexpr int FullShare = 100;

// The share in per cent that the tasks which fill get next, after `share`.
int nextShare(int share, const std::vector<ServingTail> &tails);

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_PACING_H_
