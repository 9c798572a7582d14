#include "jujube/zone/directives.h"

#include <utility>

namespace jujube::zone {
namespace {

// Delay before a directive that has had no effect is resent.
constexpr Duration ResendAfter = Duration::millis(1500);

} // namespace

void Directives::requestStop(const TaskId &task, fate::DirectiveKind kind) {
  RequestedChanges[task] = RequestedChange{kind, Resources{}};
}

void Directives::requestThrottle(const TaskId &task, const Resources &grant) {
  RequestedChanges[task] =
      RequestedChange{fate::DirectiveKind::Throttle, grant};
}

void Directives::forget(const TaskId &task) {
  RequestedChanges.erase(task);
  LastSent.erase(task);
}

bool Directives::needsDirective(const fate::Attempt &attempt) const {
  return attempt.IsStopping || attempt.State == fate::FateState::Offered ||
         RequestedChanges.contains(attempt.Task);
}

fate::Directive Directives::directiveFor(const fate::Attempt &attempt) const {
  fate::Directive directive{fate::DirectiveKind::Start,
                            attempt.Task,
                            attempt.Token,
                            attempt.Entry,
                            attempt.Reserved,
                            ""};
  const auto requested = RequestedChanges.find(attempt.Task);
  if (attempt.IsStopping) {
    directive.Kind = fate::DirectiveKind::Stop;
  } else if (requested != RequestedChanges.end()) {
    directive.Kind = requested->second.Kind;
    if (directive.Kind == fate::DirectiveKind::Throttle)
      directive.Grant = requested->second.Grant;
  } else if (const auto *request = Book.findRequest(attempt.Task.Request)) {
    directive.Payload = request->Work.Payload;
  }
  return directive;
}

bool Directives::isDue(const fate::Directive &directive, Instant now) const {
  const auto it = LastSent.find(directive.Task);
  return it == LastSent.end() || it->second.Kind != directive.Kind ||
         it->second.Token != directive.Token ||
         it->second.At + ResendAfter <= now;
}

std::vector<fate::Directive>
Directives::takeDue(const WorkerId &worker, Incarnation start, Instant now) {
  std::vector<fate::Directive> out;
  if (RequestedChanges.empty() && Book.indexOn(worker).NeedingDirective == 0)
    return out;
  for (const fate::Attempt &attempt : Book.attemptsOn(worker)) {
    if (attempt.WorkerIncarnation != start || !needsDirective(attempt))
      continue;
    fate::Directive directive = directiveFor(attempt);
    if (!isDue(directive, now))
      continue;
    LastSent[attempt.Task] =
        SentDirective{directive.Kind, directive.Token, now};
    // A throttled attempt keeps running, so no later event would clear the
    // request.
    if (directive.Kind == fate::DirectiveKind::Throttle)
      RequestedChanges.erase(attempt.Task);
    out.push_back(std::move(directive));
  }
  return out;
}

} // namespace jujube::zone
