#include "jujube/control/admission_queue.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace jujube::control {
namespace {

constexpr Instant Begin = Instant::fromMillis(10'000);

// Records which entries were run and which were shed.
struct Fixture {
  AdmissionQueue Queue;
  std::vector<std::size_t> Run;
  std::vector<std::size_t> Shed;

  void push(std::size_t first, std::size_t n, Instant now) {
    for (std::size_t i = first; i < first + n; ++i)
      Queue.push({[this, i] { Run.push_back(i); },
                  [this, i](const Error &) { Shed.push_back(i); }},
                 now);
  }
};

BOOST_AUTO_TEST_SUITE(AdmissionQueueTest)

BOOST_AUTO_TEST_CASE(OneCallRunsABoundedNumberOldestFirst) {
  Fixture fixture;
  fixture.push(0, AdmissionQueue::MaxRuns + 10, Begin);
  fixture.Queue.serve(Begin);
  BOOST_TEST(fixture.Run.size() == AdmissionQueue::MaxRuns);
  BOOST_TEST(fixture.Run.front() == 0U);
  BOOST_TEST(fixture.Run.back() == AdmissionQueue::MaxRuns - 1);
  fixture.Queue.serve(Begin);
  BOOST_TEST(fixture.Run.size() == AdmissionQueue::MaxRuns + 10);
  BOOST_TEST(fixture.Queue.empty());
  BOOST_TEST(fixture.Shed.empty());
}

BOOST_AUTO_TEST_CASE(EntriesThatWaitedTooLongAreShedAndNotRun) {
  Fixture fixture;
  const Instant late = Begin + AdmissionQueue::MaxWait + Duration::millis(1);
  fixture.push(0, 3, Begin);
  fixture.push(3, 2, late);
  fixture.Queue.serve(late);
  BOOST_TEST(fixture.Shed == (std::vector<std::size_t>{0, 1, 2}),
             boost::test_tools::per_element());
  BOOST_TEST(fixture.Run == (std::vector<std::size_t>{3, 4}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EntriesMayPushMoreEntries) {
  Fixture fixture;
  fixture.Queue.push(
      {[&fixture] { fixture.push(7, 1, Begin); }, [](const Error &) {}}, Begin);
  fixture.Queue.serve(Begin);
  BOOST_TEST(fixture.Run == (std::vector<std::size_t>{7}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
