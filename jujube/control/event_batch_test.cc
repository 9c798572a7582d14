#include "jujube/control/event_batch.h"

#include <boost/test/unit_test.hpp>

#include <string>

#include "testing/job_samples.h"

namespace jujube::control {
namespace {

jobs::Event jobOf(std::size_t bytes) {
  jobs::JobSpec job = testing::sampleJob("a", {testing::sampleStep(1)});
  job.Payload = std::string(bytes, 'x');
  return jobs::JobAccepted{job, Instant::fromMillis(1)};
}

BOOST_AUTO_TEST_SUITE(EventBatchTest)

BOOST_AUTO_TEST_CASE(LargeBatchIsCutIntoEntriesThatFitAMessage) {
  EventBatch batch;
  int stored = 0;
  for (int i = 0; i < 10; ++i)
    batch.add({jobOf(EventBatch::MaxPartBytes / 4)},
              [&stored](bool isStored) { stored += isStored ? 1 : 0; });
  const std::vector<BatchPart> parts = batch.take();
  BOOST_TEST(batch.empty());
  BOOST_REQUIRE(parts.size() == 4U);
  for (const BatchPart &part : parts) {
    BOOST_TEST(part.Events.size() == part.Done.size());
    BOOST_TEST(part.Events.size() <= 3U);
  }
  parts[0].finish(true);
  BOOST_TEST(stored == 3);
}

BOOST_AUTO_TEST_CASE(EventsThatAreAddedTogetherStayTogether) {
  EventBatch batch;
  batch.add({jobOf(100)}, [](bool) {});
  batch.add({jobOf(EventBatch::MaxPartBytes), jobOf(100)}, [](bool) {});
  batch.add({jobOf(100)}, [](bool) {});
  const std::vector<BatchPart> parts = batch.take();
  BOOST_REQUIRE(parts.size() == 3U);
  BOOST_TEST(parts[1].Events.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
