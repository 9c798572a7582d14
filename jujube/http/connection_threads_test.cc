// The pool of connection threads where the system has no more threads.
#include "jujube/http/connection_threads.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "absl/synchronization/notification.h"

namespace jujube::http {
namespace {

// Threads that the test hands out and joins.
class ThreadSource {
public:
  explicit ThreadSource(std::size_t most) : Left(most) {}
  ~ThreadSource() {
    for (std::thread &thread : Started)
      thread.join();
  }

  bool start(std::function<void()> body) {
    if (Left == 0)
      return false;
    --Left;
    Started.emplace_back(std::move(body));
    return true;
  }

private:
  std::size_t Left;
  std::vector<std::thread> Started;
};

ConnectionPtr makeConnection() {
  return std::make_unique<Connection>(runtime::FileDescriptor(), nullptr,
                                      Duration::seconds(1));
}

ConnectionThreads::Options optionsFor(ThreadSource &source,
                                      absl::Notification &hasStopped) {
  ConnectionThreads::Options options;
  options.StartThread = [&source](std::function<void()> body) {
    return source.start(std::move(body));
  };
  options.Serve = [](const ConnectionPtr &) {};
  options.OnStopped = [&hasStopped] { hasStopped.Notify(); };
  return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionThreadsTest)

BOOST_AUTO_TEST_CASE(WithoutAnyThreadAConnectionIsHandedBackAndTheStopEnds) {
  ThreadSource source(0);
  absl::Notification hasStopped;
  ConnectionThreads threads(optionsFor(source, hasStopped));
  ConnectionPtr connection = makeConnection();
  const Status status = threads.serve(connection);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST((errorOf(status).Kind == ErrorKind::Overloaded));
  BOOST_TEST(connection.get() != nullptr);
  threads.stop();
  BOOST_TEST(hasStopped.HasBeenNotified());
}

BOOST_AUTO_TEST_CASE(WithoutAnotherThreadConnectionsWaitForTheBusyOne) {
  ThreadSource source(1);
  absl::Notification hasStopped;
  absl::Notification mayServe;
  std::atomic<int> served = 0;
  ConnectionThreads::Options options = optionsFor(source, hasStopped);
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
