#include <boost/test/unit_test.hpp>

#include "jujube/metrics/metrics.h"

namespace jujube::metrics {
namespace {

BOOST_AUTO_TEST_SUITE(MetricsSuite)

BOOST_AUTO_TEST_CASE(CountersAndHistogramsAreKeptPerTeamAndClass) {
  Metrics metrics;
  metrics.add("accepted", {"events", "batch"});
  metrics.add("accepted", {"events", "batch"}, 2);
  metrics.add("accepted", {"farms", "gang"});
  for (int i = 1; i <= 1000; ++i)
    metrics.observe("wait_ms", {"events", "batch"}, i);
  const Snapshot all = metrics.snapshot();
  BOOST_TEST(all.Counters.size() == 2U);
  BOOST_TEST(all.Counters[0].Value == 3U);
  BOOST_REQUIRE(all.Histograms.size() == 1U);
  BOOST_TEST(all.Histograms[0].Count == 1000U);
  BOOST_TEST(all.Histograms[0].P50 == 500, boost::test_tools::tolerance(0.05));
  BOOST_TEST(all.Histograms[0].P99 == 990, boost::test_tools::tolerance(0.05));
  BOOST_TEST(all.Histograms[0].Max == 1000);
}

BOOST_AUTO_TEST_CASE(FewObservationsGiveExactQuantiles) {
  Metrics metrics;
  metrics.observe("wait_ms", {}, 7);
  const Snapshot all = metrics.snapshot();
  BOOST_TEST(all.Histograms[0].P50 == 7);
  BOOST_TEST(all.Histograms[0].P99 == 7);
  BOOST_TEST(renderText(all).find("wait_ms_p50{team=\"\",class=\"\"} 7.000") !=
             std::string::npos);
  BOOST_TEST(renderBars(all.Histograms[0]).find('#') != std::string::npos);
  BOOST_TEST(renderBars(all.Histograms[0]).find(" \n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(TextHasTypesAndCumulativeBuckets) {
  Metrics metrics;
  metrics.add("refused", {"events", "batch", "no_room"}, 3);
  metrics.observe("wait_ms", {"events", "batch"}, 0.5);
  metrics.observe("wait_ms", {"events", "batch"}, 3);
  Snapshot all = metrics.snapshot();
  all.Gauges.push_back({"queue", {"", "batch"}, 7});
  const std::string text = renderText(all);
  const auto has = [&text](const std::string &line) {
    return text.find(line + "\n") != std::string::npos;
  };
  BOOST_TEST(has("# TYPE refused counter"));
  BOOST_TEST(has(R"(refused{team="events",class="batch",cause="no_room"} 3)"));
  BOOST_TEST(has("# TYPE queue gauge"));
  BOOST_TEST(has(R"(queue{team="",class="batch"} 7.000)"));
  BOOST_TEST(has("# TYPE wait_ms histogram"));
  BOOST_TEST(has(R"(wait_ms_bucket{team="events",class="batch",le="1"} 1)"));
  BOOST_TEST(has(R"(wait_ms_bucket{team="events",class="batch",le="4"} 2)"));
  BOOST_TEST(has(R"(wait_ms_bucket{team="events",class="batch",le="+Inf"} 2)"));
  BOOST_TEST(has(R"(wait_ms_sum{team="events",class="batch"} 3.500)"));
  BOOST_TEST(has(R"(wait_ms_count{team="events",class="batch"} 2)"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::metrics
