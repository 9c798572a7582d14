#include "jujube/zone/directives.h"

#include <utility>

namespace jujube::zone {
namespace {

// A directive that was not followed is sent again after this span.
constexpr Duration ResendAfter = Duration::millis(1500);

} // namespace

void Directives::requestStop(const TaskId &task, fate::DirectiveKind kind) {
  Wishes[task] = Wish{kind, Resources{}};
}

void Directives::requestThrottle(const TaskId &task, const Resources &grant) {
  Wishes[task] = Wish{fate::DirectiveKind::Throttle, grant};
}

void Directives::forget(const TaskId &task) {
  Wishes.erase(task);
  LastSent.erase(task);
}

bool Directives::isWanted(const fate::Attempt &attempt) const {
  return attempt.IsStopping || attempt.State == fate::FateState::Offered ||
         Wishes.contains(attempt.Task);
}

fate::Directive Directives::directiveFor(const fate::Attempt &attempt) const {
  fate::Directive directive{fate::DirectiveKind::Start,
                            attempt.Task,
                            attempt.Token,
                            attempt.Entry,
                            attempt.Reserved,
                            ""};
  const auto wish = Wishes.find(attempt.Task);
  if (attempt.IsStopping) {
    directive.Kind = fate::DirectiveKind::Stop;
  } else if (wish != Wishes.end()) {
    directive.Kind = wish->second.Kind;
    if (directive.Kind == fate::DirectiveKind::Throttle)
      directive.Grant = wish->second.Grant;
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

std::vector<fate::Directive> Directives::take(const WorkerId &worker,
                                              Incarnation start, Instant now) {
  std::vector<fate::Directive> out;
  if (Wishes.empty() && Book.onWorker(worker).Directed == 0)
    return out;
  for (const fate::Attempt &attempt : Book.attemptsOn(worker)) {
    if (attempt.Start != start || !isWanted(attempt))
      continue;
    fate::Directive directive = directiveFor(attempt);
    if (!isDue(directive, now))
      continue;
    LastSent[attempt.Task] = Sent{directive.Kind, directive.Token, now};
    // A throttled task goes on, so its wish is done once it was sent.
    if (directive.Kind == fate::DirectiveKind::Throttle)
      Wishes.erase(attempt.Task);
    out.push_back(std::move(directive));
  }
  return out;
}

} // namespace jujube::zone
