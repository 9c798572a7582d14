// Limits retries and hedges to a fraction of a team's requests, so that they
// don't multiply the load when runners fail.
#ifndef JUJUBE_ROUTING_RETRY_BUDGET_H_
#define JUJUBE_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace jujube::routing {

struct RetryBudgetOptions {
  // Tokens added for each request. A retry or hedge costs one token.
  double PerRequest = 0.1;
  // Capacity of the bucket, in tokens; the bucket starts full.
  double Burst = 10;
};

// A token bucket that is refilled by requests instead of by time. One per team,
// part of a Router.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options)
      : Options(options), Tokens(options.Burst) {}

  void earn() { Tokens = std::min(Options.Burst, Tokens + Options.PerRequest); }

  // Takes one token. Returns false if less than one is left.
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
