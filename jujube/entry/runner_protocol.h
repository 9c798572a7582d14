// JSON messages between an entry host and a runner.
//
// POST /v1/run takes a RunCall and returns a RunAnswer: status 200 if the
// request ran, 500 if it ran and failed, 503 if the runner refused it before
// running it. POST /v1/inquire takes an InquiryCall and returns an
// InquiryAnswer. After an inquiry about an unknown attempt, the runner must
// refuse that attempt.
#ifndef JUJUBE_ENTRY_RUNNER_PROTOCOL_H_
#define JUJUBE_ENTRY_RUNNER_PROTOCOL_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"

namespace jujube::entry {

inline constexpr absl::string_view RunPath = "/v1/run";
inline constexpr absl::string_view InquirePath = "/v1/inquire";
inline constexpr int RanStatus = 200;
inline constexpr int FailedStatus = 500;
inline constexpr int RefusedStatus = 503;

struct RunCall {
  RunnerId Runner;
  // The incarnation of the runner that is addressed; any other incarnation
  // refuses the request.
  Incarnation Start;
  RequestId Request;
  uint32_t Attempt = 1;
  EntryId Entry;
  TeamId Team;
  std::string Payload;
  // The runner gives up the request after this time.
  Duration Timeout;

  bool operator==(const RunCall &) const = default;
};

struct RunAnswer {
  RequestId Request;
  uint32_t Attempt = 1;
  // The answer, or the reason for a failure or refusal.
  std::string Body;

  bool operator==(const RunAnswer &) const = default;
};

struct InquiryCall {
  RunnerId Runner;
  // The incarnation of the runner to which the attempt was sent.
  Incarnation Start;
  RequestId Request;
  uint32_t Attempt = 1;

  bool operator==(const InquiryCall &) const = default;
};

// State of an attempt as reported by a runner.
enum class RunState {
  Running,
  Answered,
  Failed,
  Refused,
  // The runner has restarted since and lost its record of the attempt.
  Forgotten,
};

inline constexpr NameTable<RunState, 5> RunStateNames = {{
    {RunState::Running, "running"},
    {RunState::Answered, "answered"},
    {RunState::Failed, "failed"},
    {RunState::Refused, "refused"},
    {RunState::Forgotten, "forgotten"},
}};
static_assert(isComplete(RunStateNames));

struct InquiryAnswer {
  RequestId Request;
  uint32_t Attempt = 1;
  RunState State = RunState::Running;
  std::string Body;

  bool operator==(const InquiryAnswer &) const = default;
};

// Decodes a body of one of the types above. Fails with MalformedBody; the error
// names the field.
template <typename T> Result<T> decodeRunnerBody(absl::string_view body);
// Encodes a message of one of the types above as JSON.
template <typename T> std::string encodeRunnerBody(const T &value);

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_RUNNER_PROTOCOL_H_
