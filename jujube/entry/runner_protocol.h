// The JSON bodies between an entry host and a runner.
//
// POST /v1/run takes a RunCall and answers with a RunAnswer: status 200 if it
// ran, 500 if it ran and failed, 503 if the runner refused it before starting.
// POST /v1/inquire takes an InquiryCall and answers with an InquiryAnswer. A
// runner that is asked about an attempt it has not seen refuses it from then
// on.
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
  // The start of the runner that it is meant for; another one refuses it.
  Incarnation Start;
  RequestId Request;
  uint32_t Attempt = 1;
  EntryId Entry;
  TeamId Team;
  std::string Payload;
  // The runner gives up after this span.
  Duration Timeout;

  bool operator==(const RunCall &) const = default;
};

struct RunAnswer {
  RequestId Request;
  uint32_t Attempt = 1;
  // The answer, or why it failed or was refused.
  std::string Body;

  bool operator==(const RunAnswer &) const = default;
};

struct InquiryCall {
  RunnerId Runner;
  // The start of the runner that the attempt was sent to.
  Incarnation Start;
  RequestId Request;
  uint32_t Attempt = 1;

  bool operator==(const InquiryCall &) const = default;
};

// What a runner knows of an attempt.
enum class RunState {
  Running,
  Answered,
  Failed,
  Refused,
  // The runner was started anew since and has forgotten.
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

// Decodes a body of one of the types above; MalformedBody names the field.
template <typename T> Result<T> decodeRunnerBody(absl::string_view body);
// Encodes a value of one of the types above.
template <typename T> std::string encodeRunnerBody(const T &value);

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_RUNNER_PROTOCOL_H_
