// Records the requests of a run and their responses, and checks the guarantees
// of the scheduler. Does no I/O.
#ifndef JUJUBE_LOAD_LEDGER_H_
#define JUJUBE_LOAD_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/load/trace.h"

namespace jujube::load {

// The state of a request as known to its caller.
enum class RequestState {
  Waiting,
  // Sent, but the response was lost; the request may have been accepted.
  Unknown,
  Refused,
  Accepted,
  Ended,
};

inline constexpr NameTable<RequestState, 5> RequestStateNames = {{
    {RequestState::Waiting, "waiting"},
    {RequestState::Unknown, "unknown"},
    {RequestState::Refused, "refused"},
    {RequestState::Accepted, "accepted"},
    {RequestState::Ended, "ended"},
}};
static_assert(isComplete(RequestStateNames));

// A guarantee that was violated.
enum class ViolationKind {
  // An accepted request is no longer known.
  Forgotten,
  // An accepted request had no final fate at the end of the run.
  NoFinalFate,
  // A final fate changed.
  FateChanged,
  // An answer was incomplete or belonged to another request.
  WrongAnswer,
  // The stand-ins saw a task run twice concurrently, or a request that is not
  // idempotent start twice.
  RanTwice,
  // The stand-ins were given more work than their capacity.
  Overfull,
  // A team used more resources than its ceiling.
  OverCeiling,
  // A runner that was leaving received new work too late.
  WorkAfterLeaving,
};

inline constexpr NameTable<ViolationKind, 8> ViolationKindNames = {{
    {ViolationKind::Forgotten, "forgotten"},
    {ViolationKind::NoFinalFate, "no_final_fate"},
    {ViolationKind::FateChanged, "fate_changed"},
    {ViolationKind::WrongAnswer, "wrong_answer"},
    {ViolationKind::RanTwice, "ran_twice"},
    {ViolationKind::Overfull, "overfull"},
    {ViolationKind::OverCeiling, "over_ceiling"},
    {ViolationKind::WorkAfterLeaving, "work_after_leaving"},
}};
static_assert(isComplete(ViolationKindNames));

struct Violation {
  ViolationKind Kind = ViolationKind::Forgotten;
  std::string Detail;

  bool operator==(const Violation &) const = default;
};

// A request of the run and the responses received for it.
struct RequestRecord {
  Step Planned;
  RequestId Id;
  RequestState State = RequestState::Waiting;
  // The error with which the request was refused.
  std::optional<Error> Refusal;
  // The last fate received; only set for submits.
  std::optional<fate::FateView> Fate;
  // Time from sending a live request to its response.
  Duration Latency;
};

// The answer that the tasks of a request are told to return. It contains the
// request id, so that an answer to another request is detected.
std::string expectedAnswer(const RequestId &id);
// The payload that instructs a stand-in how to run the tasks of the step.
std::string payloadFor(const Step &step, const RequestId &id);

class Ledger {
public:
  // Adds a request and returns the index of its record.
  std::size_t add(const Step &step, const RequestId &id);

  // Records the response to a submit. `isUnreachable` is true if no response
  // was received, so that the request may still have been accepted.
  void submitted(std::size_t i, const Result<fate::FateView> &answer,
                 bool isUnreachable);
  // Records the response to a poll for the fate or to a cancel.
  void polled(std::size_t i, const Result<fate::FateView> &answer);
  void called(std::size_t i, const Result<api::LiveAnswer> &answer,
              Duration latency);
  // Ends the run: reports accepted requests without a final fate.
  void close();
  void addViolation(ViolationKind kind, std::string what);

  const std::vector<RequestRecord> &records() const { return Records; }
  const std::vector<Violation> &violations() const { return Violations; }
  // Returns true if the fate of record `i` must be polled again.
  bool isPending(std::size_t i) const;
  std::size_t pending() const;
  // Returns the index of the request with this name, or nothing if there is
  // none.
  std::optional<std::size_t> find(const std::string &name) const;

private:
  void takeFate(RequestRecord &record, const fate::FateView &view);
  void checkAnswers(const RequestRecord &record, const fate::FateView &view);

  std::vector<RequestRecord> Records;
  std::vector<Violation> Violations;
  std::map<std::string, std::size_t> ByName;
};

} // namespace jujube::load

#endif // JUJUBE_LOAD_LEDGER_H_
