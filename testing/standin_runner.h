// A stand-in runner: serves live requests in slots, and injects faults if so
// configured.
//
// The class makes the decisions and keeps the counters; the tasks that use it
// own the sockets. Not thread-safe.
#ifndef TESTING_STANDIN_RUNNER_H_
#define TESTING_STANDIN_RUNNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/entry/runner_protocol.h"
#include "jujube/routing/types.h"
#include "testing/standin_http.h"

namespace jujube::testing {

// The fault that a runner injects into the requests it serves.
enum class Misbehaviour {
  None,
  // Answers after ten times the service time.
  Late,
  // Does the work and closes the connection without an answer.
  Lost,
  // Closes the connection in the middle of the answer.
  Truncated,
  // Answers with the id of another request.
  Mismatched,
  // Runs and fails.
  Failing,
};

inline constexpr NameTable<Misbehaviour, 6> MisbehaviourNames = {{
    {Misbehaviour::None, "none"},
    {Misbehaviour::Late, "late"},
    {Misbehaviour::Lost, "lost"},
    {Misbehaviour::Truncated, "truncated"},
    {Misbehaviour::Mismatched, "mismatched"},
    {Misbehaviour::Failing, "failing"},
}};
static_assert(isComplete(MisbehaviourNames));

struct StandinRunnerOptions {
  routing::RunnerAnnouncement Announcement;
  // Mean of the exponential service time of payloads without run_ms.
  Duration MeanService = Duration::millis(50);
  Misbehaviour Habit = Misbehaviour::None;
  // Share of the requests that the fault applies to, in thousandths.
  uint32_t HabitPermille = 1000;
  uint64_t Seed = 1;
};

// Counters kept by the runner.
struct RunnerStats {
  uint64_t Started = 0;
  uint64_t Finished = 0;
  uint64_t Refused = 0;
  // Requests that arrived while all slots were in use. Must stay 0.
  uint64_t SlotViolations = 0;
  // Second starts of a request that is not idempotent. Must stay 0.
  uint64_t RepeatedOnce = 0;
  // Requests that arrived after the grace period for leaving. Must stay 0.
  uint64_t AfterLeaving = 0;
  uint32_t PeakInProgress = 0;
};

class StandinRunner {
public:
  explicit StandinRunner(StandinRunnerOptions options);

  // The reply to a call and the time to send it.
  struct Plan {
    Instant AnswerAt;
    StandinReply Reply;
    bool IsStarted = false;
  };
  Plan arrive(const entry::RunCall &call, Instant now);
  // Records that the work of a started plan has ended.
  void finish(const RequestId &id, uint32_t attempt);
  StandinReply inquire(const entry::InquiryCall &call);

  void leave(Instant now);
  const routing::RunnerAnnouncement &announcement() const {
    return Options.Announcement;
  }
  uint32_t inProgress() const { return InProgress; }
  const RunnerStats &stats() const { return Stats; }
  // How often each request that is not idempotent was started here.
  const std::map<RequestId, uint32_t> &onceStarts() const { return OnceStarts; }

private:
  using AttemptKey = std::pair<RequestId, uint32_t>;
  struct Record {
    entry::RunState State = entry::RunState::Running;
    // The state to take when the work ends.
    entry::RunState Final = entry::RunState::Answered;
    std::string Body;
  };

  Plan refuse(const entry::RunCall &call, const std::string &why, Instant now);
  Duration serviceTime();
  Misbehaviour habit();
  void remember(const AttemptKey &key, Record record);

  StandinRunnerOptions Options;
  std::mt19937_64 Random;
  RunnerStats Stats;
  uint32_t InProgress = 0;
  Instant LeftAt = Instant::never();
  std::map<AttemptKey, Record> Records;
  std::deque<AttemptKey> RecordOrder;
  std::map<RequestId, uint32_t> OnceStarts;
};

} // namespace jujube::testing

#endif // TESTING_STANDIN_RUNNER_H_
