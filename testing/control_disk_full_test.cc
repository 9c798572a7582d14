// The disks of a control group refuse every write for some time: the members
// stay up, acknowledge nothing meanwhile, and go on from their logs.
#include <atomic>
#include <boost/test/unit_test.hpp>

#include "testing/job_samples.h"
#include "testing/socket_cell.h"

namespace jujube::testing {
namespace {

// Longer than a member would last that restarts at once.
constexpr Duration FullSpan = Duration::seconds(3);
// Equals the sites' recoveryS.
constexpr Duration RecoveryBound = Duration::seconds(12);
constexpr Duration CallTimeout = Duration::millis(900);

Result<jobs::Reply> execute(const SocketCell &cell, jobs::Command command) {
  const auto slot = runtime::makeReplySlot<Result<jobs::Reply>>();
  if (const Status status =
          cell.clients().front()->post({std::move(command), CallTimeout, slot});
      !isOk(status))
    return errorOf(status);
  const auto answer = slot->wait(CallTimeout);
  return isOk(answer) ? valueOf(answer) : Result<jobs::Reply>(errorOf(answer));
}

bool executeUntilOk(const SocketCell &cell, const jobs::Command &command,
                    Duration bound) {
  const Clock clock = Clock::monotonic();
  const Instant end = clock.now() + bound;
  while (clock.now() < end)
    if (isOk(execute(cell, command)))
      return true;
  return false;
}

jobs::PutConfiguration configuration(uint64_t version) {
  jobs::Configuration config = sampleConfiguration(version);
  config.Document = std::to_string(version);
  return {std::move(config)};
}

std::string storedDocument(const SocketCell &cell) {
  const Result<jobs::Reply> reply = execute(cell, jobs::ReadConfiguration{});
  BOOST_REQUIRE(isOk(reply));
  return std::get<jobs::ConfigurationReply>(valueOf(reply)).Document;
}

BOOST_AUTO_TEST_SUITE(ControlDiskFullTest)

BOOST_AUTO_TEST_CASE(MembersWithFullDisksStayUpAndGoOn) {
  std::atomic<bool> isFull = false;
  SocketCellOptions options;
  options.Members = 3;
  options.AreDisksFull = [&isFull] { return isFull.load(); };
  SocketCell cell(options);
  BOOST_REQUIRE(executeUntilOk(cell, configuration(1), RecoveryBound));
  const Clock clock = Clock::monotonic();
  const Instant end = clock.now() + FullSpan;
  isFull = true;
  while (clock.now() < end)
    BOOST_TEST(!isOk(execute(cell, configuration(2))));
  isFull = false;
  BOOST_TEST(executeUntilOk(cell, configuration(3), RecoveryBound));
  BOOST_TEST(storedDocument(cell) == "3");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
