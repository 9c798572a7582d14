// The directives that each worker still has to get.
#ifndef JUJUBE_ZONE_DIRECTIVES_H_
#define JUJUBE_ZONE_DIRECTIVES_H_

#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/fate/fate_book.h"
#include "jujube/fate/types.h"

namespace jujube::zone {

// Derives directives from the book and from what the planner asks for. Belongs
// to the zone's leader; directives are repeated until the book shows that the
// worker followed them.
class Directives {
public:
  explicit Directives(const fate::FateBook &book) : Book(book) {}

  // The planner wants a running attempt stopped or checkpointed.
  void requestStop(const TaskId &task, fate::DirectiveKind kind);
  // The planner changed what a running attempt may use.
  void requestThrottle(const TaskId &task, const Resources &grant);
  // The attempt has ended.
  void forget(const TaskId &task);
  // What the worker has to be told now; marks it as sent. Attempts that were
  // offered to another start of the worker are left out.
  std::vector<fate::Directive> take(const WorkerId &worker, Incarnation start,
                                    Instant now);

private:
  struct Wish {
    fate::DirectiveKind Kind = fate::DirectiveKind::Stop;
    Resources Grant;
  };
  struct Sent {
    fate::DirectiveKind Kind = fate::DirectiveKind::Start;
    AttemptToken Token;
    Instant At;
  };

  fate::Directive directiveFor(const fate::Attempt &attempt) const;
  bool isWanted(const fate::Attempt &attempt) const;
  bool isDue(const fate::Directive &directive, Instant now) const;

  const fate::FateBook &Book;
  std::map<TaskId, Wish> Wishes;
  std::map<TaskId, Sent> LastSent;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_DIRECTIVES_H_
