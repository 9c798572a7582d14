#include "jujube/load/ledger.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jujube::load {

std::string expectedAnswer(const RequestId &id) {
  return absl::StrCat("answer-of-", id.str());
}

std::string payloadFor(const Step &step, const RequestId &id) {
  std::string payload =
      absl::StrCat("answer=", expectedAnswer(id), ";team=", step.Team.str());
  if (step.RunTime > Duration())
    absl::StrAppend(&payload, ";run_ms=", step.RunTime.millis());
  if (step.Fails)
    absl::StrAppend(&payload, ";fail=1");
  if (step.IsOnce)
    absl::StrAppend(&payload, ";once=1");
  return payload;
}

std::size_t Ledger::add(const Step &step, const RequestId &id) {
  ByName[step.Name] = Records.size();
  Records.push_back({step, id});
  return Records.size() - 1;
}

void Ledger::submitted(std::size_t i, const Result<fate::FateView> &answer,
                       bool isUnreachable) {
  RequestRecord &record = Records[i];
  if (isOk(answer)) {
    record.State = RequestState::Accepted;
    takeFate(record, valueOf(answer));
  } else {
    record.State =
        isUnreachable ? RequestState::Unknown : RequestState::Refused;
    record.Refusal = errorOf(answer);
  }
}

void Ledger::polled(std::size_t i, const Result<fate::FateView> &answer) {
  RequestRecord &record = Records[i];
  if (isOk(answer)) {
    if (record.State != RequestState::Ended)
      record.State = RequestState::Accepted;
    takeFate(record, valueOf(answer));
    return;
  }
  if (errorOf(answer).Kind != ErrorKind::NotFound)
    return;
  if (record.State == RequestState::Unknown)
    record.State = RequestState::Refused;
  else if (record.State != RequestState::Refused)
    addViolation(ViolationKind::Forgotten, record.Id.str());
}

void Ledger::called(std::size_t i, const Result<api::LiveAnswer> &answer,
                    Duration latency) {
  RequestRecord &record = Records[i];
  record.Latency = latency;
  if (!isOk(answer)) {
    const ErrorKind kind = errorOf(answer).Kind;
    const bool isUnknown = kind == ErrorKind::OutcomeUnknown ||
                           kind == ErrorKind::DeadlineExceeded;
    record.State = isUnknown ? RequestState::Unknown : RequestState::Refused;
    record.Refusal = errorOf(answer);
    return;
  }
  record.State = RequestState::Ended;
  if (valueOf(answer).Request != record.Id ||
      valueOf(answer).Body != expectedAnswer(record.Id))
    addViolation(
        ViolationKind::WrongAnswer,
        absl::StrCat(record.Id.str(), " got '", valueOf(answer).Body, "'"));
}

void Ledger::takeFate(RequestRecord &record, const fate::FateView &view) {
  if (record.Fate && fate::isTerminal(record.Fate->State)) {
    if (view.State != record.Fate->State || view.Tasks != record.Fate->Tasks)
      addViolation(
          ViolationKind::FateChanged,
          absl::StrCat(record.Id.str(), " was ",
                       nameIn(fate::FateStateNames, record.Fate->State),
                       ", is ", nameIn(fate::FateStateNames, view.State)));
    return;
  }
  record.Fate = view;
  if (!fate::isTerminal(view.State))
    return;
  record.State = RequestState::Ended;
  checkAnswers(record, view);
}

void Ledger::checkAnswers(const RequestRecord &record,
                          const fate::FateView &view) {
  const auto isWrong = [&record](const fate::TaskView &task) {
    return task.State == fate::FateState::Finished &&
           task.Answer != expectedAnswer(record.Id);
  };
  const auto it = std::ranges::find_if(view.Tasks, isWrong);
  const bool lacksTasks =
      view.State == fate::FateState::Finished && view.Tasks.empty();
  if (view.Request != record.Id || lacksTasks)
    addViolation(ViolationKind::WrongAnswer,
                 absl::StrCat(record.Id.str(), " got the fate of ",
                              view.Request.str(), " with ", view.Tasks.size(),
                              " tasks"));
  else if (it != view.Tasks.end())
    addViolation(ViolationKind::WrongAnswer,
                 absl::StrCat(record.Id.str(), " task ", it->Index, " got '",
                              it->Answer, "'"));
}

void Ledger::close() {
  for (const RequestRecord &record : Records)
    if (record.Planned.Kind == StepKind::Submit &&
        record.State == RequestState::Accepted)
      addViolation(ViolationKind::NoFinalFate,
                   absl::StrCat(record.Id.str(), " is ",
                                record.Fate ? nameIn(fate::FateStateNames,
                                                     record.Fate->State)
                                            : "not known"));
}

void Ledger::addViolation(ViolationKind kind, std::string what) {
  Violation violation{kind, std::move(what)};
  if (std::ranges::find(Violations, violation) == Violations.end())
    Violations.push_back(std::move(violation));
}

bool Ledger::isPending(std::size_t i) const {
  const RequestRecord &record = Records[i];
  return record.Planned.Kind == StepKind::Submit &&
         (record.State == RequestState::Accepted ||
          record.State == RequestState::Unknown);
}

std::size_t Ledger::pending() const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < Records.size(); ++i)
    n += isPending(i) ? 1 : 0;
  return n;
}

std::optional<std::size_t> Ledger::find(const std::string &name) const {
  const auto it = ByName.find(name);
  return it == ByName.end() ? std::nullopt
                            : std::optional<std::size_t>(it->second);
}

} // namespace jujube::load
