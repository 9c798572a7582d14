#include "jujube/control/admission_queue.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace jujube::control {
namespace {

constexpr Instant Begin = Instant::atMillis(10'000);

// A queue whose entries note how they ended.
struct Bed {
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

BOOST_AUTO_TEST_CASE(OneTurnTakesOnABoundedNumberOldestFirst) {
  Bed bed;
  bed.push(0, AdmissionQueue::MaxRuns + 10, Begin);
  bed.Queue.serve(Begin);
  BOOST_TEST(bed.Run.size() == AdmissionQueue::MaxRuns);
  BOOST_TEST(bed.Run.front() == 0U);
  BOOST_TEST(bed.Run.back() == AdmissionQueue::MaxRuns - 1);
  bed.Queue.serve(Begin);
  BOOST_TEST(bed.Run.size() == AdmissionQueue::MaxRuns + 10);
  BOOST_TEST(bed.Queue.empty());
  BOOST_TEST(bed.Shed.empty());
}

BOOST_AUTO_TEST_CASE(WhatHasWaitedTooLongIsShedAndNotRun) {
  Bed bed;
  const Instant late = Begin + AdmissionQueue::Patience + Duration::millis(1);
  bed.push(0, 3, Begin);
  bed.push(3, 2, late);
  bed.Queue.serve(late);
  BOOST_TEST(bed.Shed == (std::vector<std::size_t>{0, 1, 2}),
             boost::test_tools::per_element());
  BOOST_TEST(bed.Run == (std::vector<std::size_t>{3, 4}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EntriesMayPushFurtherOnes) {
  Bed bed;
  bed.Queue.push({[&bed] { bed.push(7, 1, Begin); }, [](const Error &) {}},
                 Begin);
  bed.Queue.serve(Begin);
  BOOST_TEST(bed.Run == (std::vector<std::size_t>{7}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
