#include "jujube/http/metrics_server.h"

#include <boost/test/unit_test.hpp>
#include <future>

#include "absl/strings/match.h"

namespace jujube::http {
namespace {

BOOST_AUTO_TEST_SUITE(MetricsServerTest)

BOOST_AUTO_TEST_CASE(MetricsAreExportedAsText) {
  const MetricsMailbox questions = makeMetricsMailbox();
  const RawRequestHook answer = answerWithMetrics(questions);
  auto answered =
      std::async(std::launch::async, [&] { return answer(RawRequest()); });
  runtime::PollLoop loop(Clock::monotonic());
  loop.watchMailbox<MetricsRequest>(
      questions, [&](const MetricsRequest &question) {
        metrics::Snapshot snapshot;
        snapshot.Gauges.push_back({"jobs_open", {}, 3});
        question.Answer->set(snapshot);
        loop.stop();
      });
  BOOST_REQUIRE(isOk(loop.run()));
  const RawResponse shown = answered.get();
  BOOST_TEST(shown.Status == 200);
  BOOST_TEST(
      absl::StrContains(shown.Body, "jobs_open{team=\"\",class=\"\"} 3"));
}

BOOST_AUTO_TEST_CASE(UnresponsiveTaskGivesStatus503) {
  const RawResponse shown = answerWithMetrics(makeMetricsMailbox())({});
  BOOST_TEST(shown.Status == 503);
  BOOST_TEST(absl::StrContains(shown.Body, "deadline_exceeded"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::http
