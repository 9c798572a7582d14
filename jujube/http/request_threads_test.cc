// Tests the thread pool when the system can't create more threads.
#include "jujube/http/request_threads.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "absl/synchronization/notification.h"

namespace jujube::http {
namespace {

// Starts up to a maximum number of threads and joins them.
class LimitedThreadStarter {
public:
  explicit LimitedThreadStarter(std::size_t maxThreads)
      : Remaining(maxThreads) {}
  ~LimitedThreadStarter() {
    for (std::thread &thread : Started)
      thread.join();
  }

  bool start(std::function<void()> body) {
    if (Remaining == 0)
      return false;
    --Remaining;
    Started.emplace_back(std::move(body));
    return true;
  }

private:
  std::size_t Remaining;
  std::vector<std::thread> Started;
};

PendingRequestPtr makeRequest() { return std::make_unique<PendingRequest>(); }

RequestThreads::Options optionsFor(LimitedThreadStarter &starter,
                                   absl::Notification &hasStopped) {
  RequestThreads::Options options;
  options.StartThread = [&starter](std::function<void()> body) {
    return starter.start(std::move(body));
  };
  options.Serve = [](const PendingRequestPtr &) {};
  options.OnStopped = [&hasStopped] { hasStopped.Notify(); };
  return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestThreadsTest)

BOOST_AUTO_TEST_CASE(RequestIsReturnedAndStopCompletesWithoutThreads) {
  LimitedThreadStarter starter(0);
  absl::Notification hasStopped;
  RequestThreads threads(optionsFor(starter, hasStopped));
  PendingRequestPtr request = makeRequest();
  const Status status = threads.serve(request);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST((errorOf(status).Kind == ErrorKind::Overloaded));
  BOOST_TEST(request.get() != nullptr);
  threads.stop();
  BOOST_TEST(hasStopped.HasBeenNotified());
}

BOOST_AUTO_TEST_CASE(RequestsQueueWhenNoThreadCanBeStarted) {
  LimitedThreadStarter starter(1);
  absl::Notification hasStopped;
  absl::Notification mayServe;
  std::atomic<int> served = 0;
  RequestThreads::Options options = optionsFor(starter, hasStopped);
  options.MaxWaiting = 2;
  options.Serve = [&](const PendingRequestPtr &request) {
    mayServe.WaitForNotification();
    served += request ? 1 : 0;
  };
  RequestThreads threads(std::move(options));
  int accepted = 0;
  PendingRequestPtr refused;
  while (!refused) {
    PendingRequestPtr request = makeRequest();
    if (isOk(threads.serve(request)))
      ++accepted;
    else
      refused = std::move(request);
  }
  BOOST_TEST((accepted == 2 || accepted == 3));
  mayServe.Notify();
  threads.stop();
  hasStopped.WaitForNotification();
  BOOST_TEST(served == accepted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::http
