// Tests the thread pool when the system can't create more threads.
#include "jujube/http/connection_threads.h"

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

ConnectionPtr makeConnection() {
  return std::make_unique<Connection>(runtime::FileDescriptor(), nullptr,
                                      Duration::seconds(1));
}

ConnectionThreads::Options optionsFor(LimitedThreadStarter &starter,
                                      absl::Notification &hasStopped) {
  ConnectionThreads::Options options;
  options.StartThread = [&starter](std::function<void()> body) {
    return starter.start(std::move(body));
  };
  options.Serve = [](const ConnectionPtr &) {};
  options.OnStopped = [&hasStopped] { hasStopped.Notify(); };
  return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionThreadsTest)

BOOST_AUTO_TEST_CASE(ConnectionIsReturnedAndStopCompletesWithoutThreads) {
  LimitedThreadStarter starter(0);
  absl::Notification hasStopped;
  ConnectionThreads threads(optionsFor(starter, hasStopped));
  ConnectionPtr connection = makeConnection();
  const Status status = threads.serve(connection);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST((errorOf(status).Kind == ErrorKind::Overloaded));
  BOOST_TEST(connection.get() != nullptr);
  threads.stop();
  BOOST_TEST(hasStopped.HasBeenNotified());
}

BOOST_AUTO_TEST_CASE(ConnectionsQueueWhenNoThreadCanBeStarted) {
  LimitedThreadStarter starter(1);
  absl::Notification hasStopped;
  absl::Notification mayServe;
  std::atomic<int> served = 0;
  ConnectionThreads::Options options = optionsFor(starter, hasStopped);
  options.MaxWaiting = 2;
  options.Serve = [&](const ConnectionPtr &connection) {
    mayServe.WaitForNotification();
    served += connection ? 1 : 0;
  };
  ConnectionThreads threads(std::move(options));
  int accepted = 0;
  ConnectionPtr refused;
  while (!refused) {
    ConnectionPtr connection = makeConnection();
    if (isOk(threads.serve(connection)))
      ++accepted;
    else
      refused = std::move(connection);
  }
  BOOST_TEST((accepted == 2 || accepted == 3));
  mayServe.Notify();
  threads.stop();
  hasStopped.WaitForNotification();
  BOOST_TEST(served == accepted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::http
