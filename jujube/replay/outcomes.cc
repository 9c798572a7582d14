// Checks the expected outcomes of a trace.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jujube/replay/replayer.h"

namespace jujube::replay {
namespace {

using placement::PolicyName;

bool isBaseline(PolicyName policy) {
  return policy == PolicyName::FifoFirstFit || policy == PolicyName::BestFit;
}

bool appliesTo(const ExpectRecord &expected, PolicyName policy) {
  if (expected.Policy.empty())
    return !isBaseline(policy);
  return expected.Policy == nameIn(placement::PolicyNameNames, policy);
}

OutcomeCheck compare(const ExpectRecord &expected, double value) {
  return {expected, absl::StrCat(value),
          value >= static_cast<double>(expected.Min) &&
              value <= static_cast<double>(expected.Max)};
}

OutcomeCheck checkFate(const ExpectRecord &expected,
                       const ReplayResult &result) {
  const auto it = result.Fates.find(RequestId(expected.Subject));
  const std::string seen =
      it == result.Fates.end()
          ? "unknown request"
          : std::string(nameIn(fate::FateStateNames, it->second));
  return {expected, seen, seen == expected.Is};
}

OutcomeCheck checkQuarantine(const ExpectRecord &expected,
                             const ReplayResult &result) {
  const bool was =
      std::ranges::count(result.Quarantined, WorkerId(expected.Subject)) > 0;
  return {expected, was ? "quarantined" : "never quarantined",
          was == (expected.Kind == OutcomeKind::Quarantined)};
}

OutcomeCheck checkWait(const ExpectRecord &expected,
                       const ReplayResult &result) {
  const auto &waits = result.Measured.WaitByClass;
  const auto it = waits.find(expected.Subject);
  if (it == waits.end())
    return {expected, "no waits recorded for this class", false};
  return compare(expected, it->second.quantile(0.99));
}

OutcomeCheck checkService(const ExpectRecord &expected,
                          const ReplayResult &result) {
  const auto it = result.Services.find(RequestId(expected.Subject));
  if (it == result.Services.end())
    return {expected, "unknown service", false};
  const ServiceRecord &service = it->second;
  return compare(expected,
                 expected.Kind == OutcomeKind::ServiceRunning
                     ? service.FewestRunning
                     : static_cast<double>(service.LongestOutage.millis()));
}

OutcomeCheck check(const ExpectRecord &expected, const ReplayResult &result) {
  switch (expected.Kind) {
  case OutcomeKind::Fate:
    return checkFate(expected, result);
  case OutcomeKind::WaitP99:
    return checkWait(expected, result);
  case OutcomeKind::Quarantined:
  case OutcomeKind::NeverQuarantined:
    return checkQuarantine(expected, result);
  case OutcomeKind::ServiceRunning:
  case OutcomeKind::ServiceOutage:
    return checkService(expected, result);
  case OutcomeKind::Unsettled:
    return compare(expected, static_cast<double>(result.Measured.Unsettled));
  case OutcomeKind::ShareGap:
    return compare(expected, result.Measured.ShareGap.mean());
  case OutcomeKind::Packing:
    return compare(expected, 100 * result.Measured.PackingFraction.mean());
  }
  return {expected, "unknown outcome kind", false};
}

} // namespace

std::vector<OutcomeCheck> checkOutcomes(const std::vector<Record> &records,
                                        PolicyName policy,
                                        const ReplayResult &result) {
  std::vector<OutcomeCheck> checks;
  for (const Record &record : records) {
    const auto *expected = std::get_if<ExpectRecord>(&record.What);
    if (expected && appliesTo(*expected, policy))
      checks.push_back(check(*expected, result));
  }
  return checks;
}

} // namespace jujube::replay
