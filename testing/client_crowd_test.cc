// Crowds of clients that misbehave, against the real processes. The checks do
// not depend on the speed of the machine: each process stays alive and within
// bounds of memory and descriptors, accepted work is run, and an ordinary
// request is answered once the crowd is gone.
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "testing/client_crowd.h"
#include "testing/platform_processes.h"

namespace jujube::testing {
namespace {

// Half of the memory of the smallest entry host, 120 MB.
constexpr std::size_t FrontKilobytes = 60'000;
// A quarter of the memory of the smallest core host, 256 MB: the rest is for
// the job state, the log and a snapshot.
constexpr std::size_t CoreKilobytes = 64'000;
// The smallest entry host has 3,075 descriptors.
constexpr std::size_t MaxDescriptors = 3'000;
// A body of legal size on the control plane.
constexpr std::size_t ControlBodyBytes = 1'500'000;

void checkProcess(ServedProcess &process, std::size_t kilobytes,
                  const std::string &what) {
  BOOST_TEST_REQUIRE(process.isAlive(), what);
  const ProcessUsage usage = process.usage();
  BOOST_TEST(usage.PeakKilobytes <= kilobytes,
             absl::StrCat(what, " peaked at ", usage.PeakKilobytes, " kB"));
  BOOST_TEST(usage.Descriptors <= MaxDescriptors,
             absl::StrCat(what, " holds ", usage.Descriptors, " descriptors"));
}

// Sends one crowd to each of the targets, after one another, and checks all
// processes while each crowd is there and once it is gone.
void checkCrowds(CrowdKind kind, const std::vector<CrowdOptions> &crowds) {
  PlatformProcesses processes;
  int n = 0;
  for (CrowdOptions options : crowds) {
    options.Kind = kind;
    const std::string where =
        absl::StrCat(std::string(nameIn(CrowdKindNames, kind)), " at ",
                     options.Target.str(), options.Path);
    const std::string before = absl::StrCat(absl::Hex(++n, absl::kZeroPad16));
    BOOST_TEST(PlatformProcesses::submit(before, 300) == 200, where);
    {
      ClientCrowd crowd(options);
      crowd.run();
      checkProcess(processes.front(), FrontKilobytes, "front, " + where);
      checkProcess(processes.core(), CoreKilobytes, "core, " + where);
    }
    BOOST_TEST(PlatformProcesses::awaitCompleted(before), where);
    const std::string after =
        absl::StrCat(absl::Hex(0x1000 + n, absl::kZeroPad16));
    BOOST_TEST(PlatformProcesses::submit(after, 10) == 200, where);
    BOOST_TEST(PlatformProcesses::awaitCompleted(after), where);
    BOOST_TEST(
        PlatformProcesses::isAnswered(PlatformProcesses::readiness(), "/ready"),
        where);
    BOOST_TEST(
        PlatformProcesses::isAnswered(PlatformProcesses::control(), "/config"),
        where);
    BOOST_TEST(PlatformProcesses::isAnswered(PlatformProcesses::frontMetrics(),
                                             "/metrics"),
               where);
    BOOST_TEST(PlatformProcesses::isAnswered(PlatformProcesses::coreMetrics(),
                                             "/metrics"),
               where);
    checkProcess(processes.front(), FrontKilobytes, "front after " + where);
    checkProcess(processes.core(), CoreKilobytes, "core after " + where);
  }
}

// The doors of both processes, with a path of a route and paths without.
std::vector<CrowdOptions> doors() {
  const std::string job = PlatformProcesses::pathOf("00000000000000ff");
  CrowdOptions route{CrowdKind::Silent, PlatformProcesses::clients()};
  route.Path = job;
  CrowdOptions other = route;
  other.Path = "/nowhere/";
  CrowdOptions ready = other;
  ready.Target = PlatformProcesses::readiness();
  ready.Path = "/ready";
  CrowdOptions config{CrowdKind::Silent, PlatformProcesses::control(), "PUT",
                      "/config", ControlBodyBytes};
  // The bodies are six times as large.
  config.Clients = 60;
  CrowdOptions beat = config;
  beat.Path = "/instances/i-1";
  CrowdOptions frontMetrics = other;
  frontMetrics.Target = PlatformProcesses::frontMetrics();
  frontMetrics.Path = "/metrics";
  CrowdOptions coreMetrics = frontMetrics;
  coreMetrics.Target = PlatformProcesses::coreMetrics();
  return {route, other, ready, config, beat, frontMetrics, coreMetrics};
}

BOOST_AUTO_TEST_SUITE(ClientCrowdTest)

BOOST_AUTO_TEST_CASE(BodiesThatStopShortOfTheirEnd) {
  checkCrowds(CrowdKind::HeldBody, doors());
}

BOOST_AUTO_TEST_CASE(BodiesInSmallPieces) {
  checkCrowds(CrowdKind::HeldBodyInPieces, doors());
}

BOOST_AUTO_TEST_CASE(BodiesInChunksWithoutAnEnd) {
  checkCrowds(CrowdKind::HeldChunks, doors());
}

BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimit) {
  checkCrowds(CrowdKind::HugeBody, doors());
}

BOOST_AUTO_TEST_CASE(ChunksFarOverTheLimit) {
  checkCrowds(CrowdKind::HugeChunks, doors());
}

BOOST_AUTO_TEST_CASE(BodiesOfVeryManyShortFields) {
  checkCrowds(CrowdKind::ShortFields, doors());
}

BOOST_AUTO_TEST_CASE(HeadsOfVeryManyShortFields) {
  checkCrowds(CrowdKind::ShortHeaders, doors());
}

BOOST_AUTO_TEST_CASE(LongPaths) { checkCrowds(CrowdKind::LongPath, doors()); }

BOOST_AUTO_TEST_CASE(RequestsSentAheadWithoutReadingTheAnswers) {
  checkCrowds(CrowdKind::SentAhead, doors());
}

BOOST_AUTO_TEST_CASE(RequestLinesThatStopHalfWay) {
  std::vector<CrowdOptions> crowds = doors();
  for (CrowdOptions &crowd : crowds)
    crowd.Clients = 1500;
  checkCrowds(CrowdKind::HalfLine, crowds);
}

BOOST_AUTO_TEST_CASE(ConnectionsThatSendNothing) {
  std::vector<CrowdOptions> crowds = doors();
  for (CrowdOptions &crowd : crowds)
    crowd.Clients = 1500;
  checkCrowds(CrowdKind::Silent, crowds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
