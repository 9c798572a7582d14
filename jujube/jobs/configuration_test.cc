#include "jujube/jobs/configuration.h"

#include <boost/test/unit_test.hpp>

#include "testing/job_samples.h"

namespace jujube::jobs {
namespace {

using testing::sampleConfiguration;

bool isRefused(const Configuration &config) {
  const Status status = validate(config);
  return !isOk(status) && errorOf(status).Kind == ErrorKind::InvalidArgument &&
         !errorOf(status).Remedy.empty();
}

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

BOOST_AUTO_TEST_CASE(ValidConfigurationIsAccepted) {
  BOOST_TEST(isOk(validate(sampleConfiguration())));
}

BOOST_AUTO_TEST_CASE(InvalidConfigurationsAreRefused) {
  Configuration config = sampleConfiguration();
  config.Queues[0].Pool = PoolId("unknown");
  BOOST_TEST(isRefused(config));

  config = sampleConfiguration();
  config.Queues[0].Timeout = Duration();
  BOOST_TEST(isRefused(config));

  config = sampleConfiguration();
  config.Queues.push_back(config.Queues[0]);
  config.Queues[1].Id = QueueId("other");
  BOOST_TEST(isRefused(config));

  config = sampleConfiguration();
  config.Teams.push_back({TeamId("other"), {"key-a"}, 1, {}});
  BOOST_TEST(isRefused(config));

  config = sampleConfiguration();
  config.Teams[0].Weight = 0;
  BOOST_TEST(isRefused(config));

  config = sampleConfiguration();
  config.Version = 0;
  BOOST_TEST(isRefused(config));
}

BOOST_AUTO_TEST_CASE(LongestPrefixAndHostNameSelectTheQueue) {
  Configuration config = sampleConfiguration();
  Queue inner = config.Queues[0];
  inner.Id = QueueId("inner");
  inner.PathPrefix = "/plans/inner/";
  config.Queues.push_back(inner);
  BOOST_TEST(findQueue(config, "a.example", "/plans/inner/")->Id.str() ==
             "inner");
  BOOST_TEST(findQueue(config, "a.example", "/plans/")->Id.str() == "plans");
  BOOST_TEST(findQueue(config, "b.example", "/plans/") == nullptr);
  BOOST_TEST(findQueue(config, "a.example", "/other/") == nullptr);
}

BOOST_AUTO_TEST_CASE(KeysBelongToTeams) {
  const Configuration config = sampleConfiguration();
  BOOST_TEST(teamOfKey(config, "key-a")->Id.str() == "billing");
  BOOST_TEST(teamOfKey(config, "") == nullptr);
  BOOST_TEST(teamOfKey(config, "key-b") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::jobs
