// Measures over real processes how soon urgent work starts after a zone's
// leader was killed or paused.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "testing/failover_probe.h"

namespace jujube {
namespace {

using testing::LeaderFault;

constexpr int DefaultRuns = 10;
constexpr char Zone[] = "san-fernando";

struct Samples {
  std::vector<int64_t> UntilAccepted;
  std::vector<int64_t> UntilStarted;
  std::vector<int64_t> Waited;
};

void print(const char *what, std::vector<int64_t> millis) {
  std::ranges::sort(millis);
  (void)std::printf("  %-16s p50 %5ld ms, max %5ld ms\n", what,
                    static_cast<long>(millis[millis.size() / 2]),
                    static_cast<long>(millis.back()));
}

Status measure(LeaderFault fault, int runs) {
  auto cell = testing::Cell::start({});
  if (!isOk(cell))
    return errorOf(cell);
  if (Status status = testing::prepareProbe(*valueOf(cell)); !isOk(status))
    return status;
  Samples samples;
  for (int run = 0; run < runs; ++run) {
    const auto sample =
        testing::probeFailover(*valueOf(cell), Zone, fault, run);
    if (!isOk(sample))
      return errorOf(sample);
    const fate::FateView &fate = valueOf(sample).Fate;
    samples.UntilAccepted.push_back(valueOf(sample).UntilAccepted.millis());
    samples.UntilStarted.push_back(valueOf(sample).UntilStarted.millis());
    samples.Waited.push_back((fate.StartedAt - fate.AcceptedAt).millis());
  }
  (void)std::printf(
      "%s of the zone's leader, %d runs\n",
      std::string(nameIn(testing::LeaderFaultNames, fault)).c_str(), runs);
  print("loss to accepted", samples.UntilAccepted);
  print("loss to start", samples.UntilStarted);
  print("accepted to start", samples.Waited);
  return Ok{};
}

int run(int argc, char **argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : DefaultRuns;
  if (runs < 1) {
    (void)std::fprintf(stderr, "usage: failover-bench [RUNS]\n");
    return 2;
  }
  for (const LeaderFault fault : {LeaderFault::Kill, LeaderFault::Pause})
    if (const Status status = measure(fault, runs); !isOk(status)) {
      (void)std::fprintf(stderr, "%s\n", errorOf(status).text().c_str());
      return 1;
    }
  return 0;
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) { return jujube::run(argc, argv); }
