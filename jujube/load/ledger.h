// What a run sent and what came back, and the promises that it is held to.
// Pure: it is told of events and keeps them.
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

// How far a request of the run is, as its caller knows it.
enum class RequestState {
  Waiting,
  // Sent; its answer was lost, so it may have been accepted.
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

// A promise that did not hold.
enum class ViolationKind {
  // An accepted request is not known any more.
  Forgotten,
  // An accepted request had no final fate at the end of the run.
  NoFinalFate,
  // A final fate changed.
  FateChanged,
  // An answer was not the whole answer to its own request.
  WrongAnswer,
  // The stand-ins saw a task run twice at once, or work that is not idempotent
  // started twice.
  RanTwice,
  // The stand-ins held more than they have.
  Overfull,
  // A team had more running than its ceiling.
  OverCeiling,
  // A runner that was leaving got new work too late.
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
  std::string What;

  bool operator==(const Violation &) const = default;
};

// One request of the run.
struct RequestRecord {
  Step Planned;
  RequestId Id;
  RequestState State = RequestState::Waiting;
  // Why it was refused.
  std::optional<Error> Refusal;
  // The last fate that was seen; of submits only.
  std::optional<fate::FateView> Fate;
  // From sending a live request to its answer.
  Duration Latency;
};

// The answer that a request's tasks are told to give: it names the request, so
// that an answer to another one is recognised.
std::string expectedAnswer(const RequestId &id);
// The payload that tells a stand-in what to do.
std::string payloadFor(const Step &step, const RequestId &id);

class Ledger {
public:
  // Returns the position of the new record.
  std::size_t add(const Step &step, const RequestId &id);

  // The answer to a submit. `isUnreachable` if there may have been none.
  void submitted(std::size_t i, const Result<fate::FateView> &answer,
                 bool isUnreachable);
  // The answer to a poll for the fate, or to a cancel.
  void polled(std::size_t i, const Result<fate::FateView> &answer);
  void called(std::size_t i, const Result<api::LiveAnswer> &answer,
              Duration latency);
  // No more events: reports what is missing.
  void close();
  void addViolation(ViolationKind kind, std::string what);

  const std::vector<RequestRecord> &records() const { return Records; }
  const std::vector<Violation> &violations() const { return Violations; }
  // True if the fate of record i has to be asked for again.
  bool isPending(std::size_t i) const;
  std::size_t pending() const;
  // Position of the submit of that name.
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
