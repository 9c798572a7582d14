#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "testing/state_fates.h"
#include "testing/state_script.h"

namespace jujube::testing {
namespace {

void runStep(FateDriver &driver, Step step) {
  const uint32_t kind = step.take(12);
  const uint32_t worker = step.take(FateWorkers);
  const uint32_t request = step.take(FateRequests);
  switch (kind) {
  case 0:
  case 1:
    driver.submit(request);
    break;
  case 2:
    driver.cancel(request);
    break;
  case 3:
    driver.changeLeader();
    break;
  case 4:
    driver.restartWorker(worker);
    break;
  case 5:
    driver.setCut(worker, step.flip());
    break;
  case 6:
  case 7:
    driver.setBehaviour(worker, step.take(4));
    break;
  default:
    RC_ASSERT(driver.advance(Duration::millis(500 + step.take(8000))) == "");
  }
}

BOOST_AUTO_TEST_SUITE(FatesSuite)

RC_BOOST_PROP(EveryRequestHasItsOneTrueFate, ()) {
  FateDriver driver(*rc::gen::inRange<uint32_t>(1, 1'000'000));
  for (const Step step : drawScript(120))
    runStep(driver, step);
  RC_ASSERT(driver.settle() == "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
