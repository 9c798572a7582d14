// jujube-replay: replays traces through the placement planner, checks the
// expected outcomes, and prints the measurements of each policy.
#include <ctime>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/base/settings.h"
#include "jujube/replay/generator.h"
#include "jujube/replay/measures.h"
#include "jujube/replay/replayer.h"
#include "jujube/replay/trace.h"

namespace jujube::replay {
namespace {

constexpr absl::string_view Usage = "jujube-replay [flags] TRACE...";

// Maximum number of violations printed per replay.
constexpr std::size_t MaxFindings = 5;

std::vector<SettingSpec> specs() {
  return {
      {"policies", SettingKind::Text, "all",
       "policies to replay, separated by commas, or 'all'"},
      {"seed", SettingKind::Integer, "1",
       "seed of the planner's search, or of --generate", false, 0},
      {"interleave", SettingKind::Switch, "false",
       "alternate between the requests of an entry instead of serving them in "
       "order"},
      {"generate", SettingKind::Text, "",
       "write the trace of a deployment (breezeguard or mkwawa) to standard "
       "output and exit"},
      {"json", SettingKind::Switch, "false",
       "print one JSON object for each trace and policy"},
  };
}

int64_t threadNanos() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return int64_t{now.tv_sec} * 1'000'000'000 + now.tv_nsec;
}

Result<std::vector<placement::PolicyName>>
parsePolicies(const std::string &text) {
  std::vector<placement::PolicyName> policies;
  if (text == "all") {
    for (const auto &row : placement::PolicyNameNames)
      policies.push_back(row.Value);
    return policies;
  }
  for (absl::string_view name : absl::StrSplit(text, ',')) {
    const auto policy = valueIn(placement::PolicyNameNames, name);
    if (!policy)
      return Error{
          ErrorKind::InvalidArgument,
          absl::StrCat("--policies names '", name, "'"),
          absl::StrCat("use 'all' or ", namesIn(placement::PolicyNameNames))};
    policies.push_back(*policy);
  }
  return policies;
}

Result<std::vector<Record>> readTrace(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return Error{
        ErrorKind::NotFound, absl::StrCat("cannot read '", path, "'"),
        "pass the path of a trace file, or generate one with --generate"};
  std::stringstream text;
  text << file.rdbuf();
  return parseTrace(text.str());
}

// Order key that ranks requests by the number of their placed tasks, then by
// acceptance time, so that the requests of an entry take turns.
int64_t interleaveKey(const placement::QueuedView &work) {
  constexpr int64_t TurnMillis = int64_t{1} << 40;
  return work.Placed * TurnMillis + work.AcceptedAt.millis();
}

ReplayOptions optionsFor(const Settings &settings,
                         placement::PolicyName policy) {
  ReplayOptions options;
  options.Planner.Policy = policy;
  options.Planner.Seed = static_cast<uint64_t>(settings.integer("seed"));
  options.Hooks = placement::hooksFor(policy);
  if (settings.isOn("interleave"))
    options.Hooks.OrderKey = interleaveKey;
  options.ProcessorTime = threadNanos;
  return options;
}

// Prints violations and unmet outcomes to standard error; returns their number.
std::size_t printProblems(const std::string &policy,
                          const std::vector<OutcomeCheck> &checks,
                          const ReplayResult &result) {
  std::size_t bad = result.Findings.size();
  for (std::size_t i = 0; i < std::min(bad, MaxFindings); ++i)
    std::cerr << policy << ": rule violated: "
              << nameIn(ViolationNames, result.Findings[i].What) << " "
              << result.Findings[i].Detail << "\n";
  for (const OutcomeCheck &check : checks) {
    if (check.IsMet)
      continue;
    ++bad;
    std::cerr << policy << ": expected outcome not met: "
              << formatRecord({Instant(), check.Expected})
              << "; observed: " << check.Seen << "\n";
  }
  return bad;
}

// Replays one trace under all policies. Returns true if all
// expected outcomes are met and no scheduling rule is violated.
Result<bool> replayTrace(const Settings &settings, const std::string &path,
                         const std::vector<placement::PolicyName> &policies) {
  Result<std::vector<Record>> records = readTrace(path);
  if (!isOk(records))
    return errorOf(records);
  std::vector<std::string> names;
  std::vector<Measures> measures;
  std::size_t expected = 0;
  std::size_t bad = 0;
  for (placement::PolicyName policy : policies) {
    Result<ReplayResult> result =
        replay(valueOf(records), optionsFor(settings, policy));
    if (!isOk(result))
      return errorOf(result);
    const auto checks =
        checkOutcomes(valueOf(records), policy, valueOf(result));
    names.emplace_back(nameIn(placement::PolicyNameNames, policy));
    expected += checks.size();
    bad += printProblems(names.back(), checks, valueOf(result));
    measures.push_back(std::move(valueOf(result).Measured));
  }
  if (settings.isOn("json"))
    std::cout << renderJson(names, measures);
  else
    std::cout << "trace " << path << "\n" << renderTable(names, measures);
  std::cerr << path << ": " << expected << " outcomes expected, " << bad
            << " unmet outcomes or rule violations\n";
  return bad == 0;
}

int generate(const Settings &settings) {
  const auto deployment = valueIn(DeploymentNames, settings.text("generate"));
  if (!deployment) {
    std::cerr << "--generate has the value '" << settings.text("generate")
              << "'; use one of " << namesIn(DeploymentNames) << "\n";
    return UsageExitCode;
  }
  std::cout << formatTrace(generateTrace(
      *deployment, static_cast<uint64_t>(settings.integer("seed"))));
  return 0;
}

int run(const Settings &settings) {
  if (!settings.text("generate").empty())
    return generate(settings);
  const auto policies = parsePolicies(settings.text("policies"));
  if (!isOk(policies) || settings.positional().empty()) {
    std::cerr << (isOk(policies) ? "no trace given; name at least one file"
                                 : errorOf(policies).text())
              << "\n";
    return UsageExitCode;
  }
  bool isMet = true;
  for (const std::string &path : settings.positional()) {
    const Result<bool> result = replayTrace(settings, path, valueOf(policies));
    if (!isOk(result)) {
      std::cerr << path << ": " << errorOf(result).text() << "\n";
      return UsageExitCode;
    }
    isMet = isMet && valueOf(result);
  }
  return isMet ? 0 : 1;
}

} // namespace
} // namespace jujube::replay

int main(int argc, char **argv) {
  const auto settings = jujube::parseCommandLine(
      jujube::replay::Usage, jujube::replay::specs(), argc, argv);
  if (const int *code = std::get_if<int>(&settings))
    return *code;
  return jujube::replay::run(std::get<jujube::Settings>(settings));
}
