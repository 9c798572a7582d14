// One pass over the steps that are ready: who starts where, what is asked, and
// why the rest waits. Not for use outside this folder.
#ifndef JUJUBE_DISPATCH_PASS_H_
#define JUJUBE_DISPATCH_PASS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jujube/dispatch/dispatcher.h"

namespace jujube::dispatch::internal {

class Pass {
public:
  Pass(const DispatchInput &input, const DispatchHooks &hooks);

  DispatchPlan run();

private:
  struct Choice {
    const jobs::Worker *Who = nullptr;
    std::string Ticket;
  };
  // A worker that may be named in a query.
  struct Candidate {
    int64_t Fit;
    std::size_t Spread;
    const WorkerView *View;
  };

  // ---- Steps and their places (pass.cc) ----
  std::vector<ReadyStep> readySteps() const;
  void addReadySteps(const jobs::Job &job, const jobs::Queue &queue,
                     uint32_t occurrence, std::vector<ReadyStep> &out) const;
  static std::set<WorkerId> failedOn(const jobs::StepState &state);
  // Most further tasks that the team may have running.
  int64_t teamRoom(const ReadyStep &step);
  void place(const ReadyStep &step);
  static std::vector<uint32_t> waitingTasks(const ReadyStep &step);
  void placeTasks(const ReadyStep &step);
  void placeGang(const ReadyStep &step);
  bool placeOnOneRack(const ReadyStep &step, uint32_t attempt);
  // Places all tasks or none.
  bool placeAll(const ReadyStep &step, uint32_t attempt,
                const std::string *rack);
  Choice choose(const ReadyStep &step, const std::string *rack) const;
  void commit(const ReadyStep &step, uint32_t index, uint32_t attempt,
              const Choice &choice);

  // ---- Room (pass_room.cc) ----
  // Keeps less urgent steps off as many workers as the gang needs, so that room
  // comes together there.
  void holdRoomFor(const ReadyStep &step);
  bool isKnownApproved(const ReadyStep &step, const WorkerId &worker) const;
  bool isApproved(const ReadyStep &step, const WorkerId &worker) const;
  uint32_t tasksOn(const ReadyStep &step, const WorkerId &worker) const;
  void noteWait(const ReadyStep &step, std::size_t tasks, bool isAtTeamMaximum);
  // Why `tasks` more tasks of the step find no place; a gang needs all at once.
  WaitCause placeCause(const ReadyStep &step, std::size_t tasks) const;
  // True if one more task of the step fits there, approval aside.
  bool hasRoom(const ReadyStep &step, const WorkerView &view) const;
  // Processors that the other tasks leave, less those of tasks that fill.
  int64_t leftOver(const jobs::Worker &worker) const;
  bool mayFill(const ReadyStep &step, const jobs::Worker &worker) const;
  // True if the worker could run a task of the step if it were empty.
  static bool isEligible(const ReadyStep &step, const jobs::Worker &worker);
  // Lower goes first: sound workers, those on which the step has not failed,
  // those near the data, the tightest fit; for tasks that fill, the worker that
  // has most left over.
  std::tuple<bool, bool, bool, int64_t> rankOf(const ReadyStep &step,
                                               const WorkerView &view) const;
  static bool isFar(const ReadyStep &step, const jobs::Worker &worker);
  // How many tasks of the step fit into `free` on one worker.
  static int64_t fitCount(const ReadyStep &step, Resources free);

  // ---- Approvals (pass_approvals.cc) ----
  // Asks for approval of workers for `tasks` more tasks. Short queries name
  // workers that have room; they are answered before it is gone. Others are
  // made ahead, so that room that comes up later finds a valid ticket.
  void askFor(const ReadyStep &step, std::size_t tasks);
  // Names workers that are expected to be enough for `tasks`; none if a gang
  // would hardly find a place on them.
  jobs::ApprovalQuery queryFor(const ReadyStep &step, std::size_t tasks) const;
  // Renews what expires before a later query could be answered, and names all
  // workers that are not known unless enough are approved.
  jobs::ApprovalQuery longQuery(const ReadyStep &step) const;
  // True if the worker may be named in a query of the step.
  bool isAskable(const ReadyStep &step, const WorkerView &view) const;
  // Workers that may be asked about and are in this state, those with the most
  // room first.
  std::vector<Candidate> candidates(const ReadyStep &step,
                                    ApprovalState state) const;
  void addAsked(const ReadyStep &step, ApprovalState state, double rate,
                double &needed, jobs::ApprovalQuery &query) const;
  // Lets different steps ask for different workers among equal ones.
  static std::size_t spread(const jobs::StepKey &step, const WorkerId &worker);

  const DispatchInput &In;
  const DispatchHooks &Hooks;
  std::map<WorkerId, Resources> Free;
  // Processors that tasks which fill ask for.
  std::map<WorkerId, int64_t> Filling;
  // Workers on which room is kept for a gang.
  std::set<WorkerId> Held;
  std::map<TeamId, Resources> Added;
  std::size_t ShortQueries = 0;
  std::size_t LongQueries = 0;
  mutable std::size_t Examined = 0;
  DispatchPlan Plan;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_PASS_H_
