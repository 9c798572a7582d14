// Limits retries and hedges to a fraction of a team's requests, so that they
// can't multiply load when runners fail.
#ifndef JUJUBE_ROUTING_RETRY_BUDGET_H_
#define JUJUBE_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace jujube::routing {

struct RetryBudgetOptions {
  // Retries earned by each first attempt.
  double PerRequest = 0.1;
  // The most retries saved up; also the amount to start with.
  double Burst = 10;
};

// A token bucket that is filled by requests.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options)
      : Options(options), Tokens(options.Burst) {}

  void earn() { Tokens = std::min(Options.Burst, Tokens + Options.PerRequest); }

  // Takes one token if there is one.
  bool spend() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  RetryBudgetOptions Options;
  double Tokens;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_RETRY_BUDGET_H_
