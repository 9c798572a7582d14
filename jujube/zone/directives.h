// Directives that are still to be sent to the workers of an availability zone.
#ifndef JUJUBE_ZONE_DIRECTIVES_H_
#define JUJUBE_ZONE_DIRECTIVES_H_

#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/fate/types.h"

namespace jujube::zone {

// Derives the directives for each worker from the fate state machine and from
// the requests of the planner. Owned by the scheduler of the zone's leader.
// Every directive except a throttle is resent until the state machine shows
// that the worker has carried it out.
class Directives {
public:
  explicit Directives(const fate::FateStateMachine &book) : Book(book) {}

  // Requests that the running attempt of `task` is stopped or checkpointed.
  void requestStop(const TaskId &task, fate::DirectiveKind kind);
  // Requests that the running attempt of `task` is limited to `grant`.
  void requestThrottle(const TaskId &task, const Resources &grant);
  // Drops all state of `task`; called when its attempt has ended.
  void forget(const TaskId &task);
  // Returns the directives that are due for `worker` and records them as sent.
  // Skips attempts that were offered to another incarnation than `start`.
  std::vector<fate::Directive> takeDue(const WorkerId &worker,
                                       Incarnation start, Instant now);

private:
  struct RequestedChange {
    fate::DirectiveKind Kind = fate::DirectiveKind::Stop;
    Resources Grant;
  };
  struct SentDirective {
    fate::DirectiveKind Kind = fate::DirectiveKind::Start;
    AttemptToken Token;
    Instant At;
  };

  fate::Directive directiveFor(const fate::Attempt &attempt) const;
  bool needsDirective(const fate::Attempt &attempt) const;
  bool isDue(const fate::Directive &directive, Instant now) const;

  const fate::FateStateMachine &Book;
  std::map<TaskId, RequestedChange> RequestedChanges;
  std::map<TaskId, SentDirective> LastSent;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_DIRECTIVES_H_
