// One pass over the steps that are ready: who starts where, what is asked, and
// why the rest waits. Not for use outside this folder.
#ifndef JUJUBE_DISPATCH_PASS_H_
#define JUJUBE_DISPATCH_PASS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "jujube/dispatch/dispatcher.h"
#include "jujube/dispatch/fleet.h"

namespace jujube::dispatch::internal {

// A step with tasks to start.
struct ReadyStep {
  jobs::StepKey Key;
  const jobs::Job *Job = nullptr;
  const jobs::StepSpec *Spec = nullptr;
  const jobs::StepState *State = nullptr;
  const jobs::Queue *Queue = nullptr;
  // Latest wall time at which it should be done to meet its job's objective.
  Instant DueBy;
  // What is known of approvals; null if nothing was asked.
  const Approvals::Step *Approval = nullptr;

  // Tasks that are neither done nor running.
  int64_t waitingTasks() const;
};

// What steps with the same chances to find room have in common.
struct DemandKey {
  absl::string_view Pool;
  absl::string_view Label;
  Resources Demand;
  // What a task that fills asks for; -1 for others.
  int64_t FillerMilliCpu = -1;

  bool operator==(const DemandKey &) const = default;

  template <typename H> friend H AbslHashValue(H state, const DemandKey &key) {
    return H::combine(std::move(state), key.Pool, key.Label,
                      key.Demand.MilliCpu, key.Demand.MemoryMb,
                      key.Demand.Accelerators, key.FillerMilliCpu);
  }
};

class Pass {
public:
  Pass(const DispatchInput &input, const DispatchHooks &hooks);

  DispatchPlan run();

private:
  // Tasks for one worker.
  struct Pick {
    NodeIndex Node = 0;
    int64_t Tasks = 0;
  };
  // A worker that may be named in a query.
  struct Candidate {
    int64_t Fit = 0;
    std::size_t Spread = 0;
    NodeIndex Node = 0;
  };
  // What is known of a demand. Room only shrinks in the course of a pass.
  struct DemandState {
    bool IsWithoutRoom = false;
    // Some worker could hold a task if it were empty.
    std::optional<bool> IsServable;
  };
  struct TeamState {
    const jobs::Team *Team = nullptr;
    Resources Used;
  };
  using NodeSpan = std::span<const NodeIndex>;

  // Room that is kept for a gang.
  struct Hold {
    jobs::StepKey Gang;
    std::vector<NodeIndex> Nodes;
  };

  // ---- Steps and their places (pass.cc) ----
  // Handles the steps behind `after` and before `until` while the work of the
  // pass is below `budget`. A part without `until` handles one step at least,
  // and the next plan goes on behind it.
  void runPart(const std::optional<StepPosition> &after,
               const std::optional<StepPosition> &until, std::size_t budget);
  std::size_t work() const;
  ReadyStep readyStep(const jobs::WaitingStep &waiting) const;
  void handle(const ReadyStep &step);
  TeamState &teamOf(const ReadyStep &step);
  // Most further tasks that the team may have running.
  int64_t teamRoom(const ReadyStep &step);
  // Places up to `wanted` tasks, a gang's all or none; returns how many.
  int64_t place(const ReadyStep &step, int64_t wanted);
  void commit(const ReadyStep &step, const std::vector<Pick> &picks);
  void start(const ReadyStep &step, uint32_t index, uint32_t attempt,
             NodeIndex node);

  // ---- Workers for tasks (pass_picks.cc) ----
  // Workers that may have room for the step, those with less free first.
  std::vector<NodeIndex> sourceOf(const ReadyStep &step);
  std::vector<NodeIndex> approvedNodes(const ReadyStep &step);
  std::vector<Pick> pickOnOneRack(const ReadyStep &step, NodeSpan source,
                                  int64_t wanted);
  std::vector<Pick> pick(const ReadyStep &step, NodeSpan source,
                         int64_t wanted);
  std::vector<Pick> pickForFiller(const ReadyStep &step, NodeSpan source,
                                  int64_t wanted);
  // Lower goes first: sound workers, those on which the step has not failed,
  // those near the data.
  int tierOf(const ReadyStep &step, const Fleet::Node &node,
             const std::vector<const WorkerId *> &failedOn) const;
  // The workers on which tasks of the step that wait have failed.
  static std::vector<const WorkerId *> failedOn(const ReadyStep &step);

  // ---- Room (pass_room.cc) ----
  // Keeps less urgent steps off as many workers as the gang needs, so that room
  // comes together there.
  void holdRoomFor(const ReadyStep &step);
  std::vector<NodeIndex> holdable(const ReadyStep &step);
  // Keeps the room that the last plan kept for gangs which this one has not
  // come to.
  void restoreHeld(const std::vector<HeldRoom> &held);
  std::vector<HeldRoom> heldRoom() const;
  void noteWait(const ReadyStep &step, int64_t tasks, WaitCause why);
  // Why so many more tasks of the step find no place; a gang needs all at once.
  WaitCause placeCause(const ReadyStep &step, int64_t tasks);
  DemandState &demandState(const ReadyStep &step);
  // True if some worker has room for a task, approval and the bound per worker
  // aside.
  bool hasAnyRoom(const ReadyStep &step);
  bool isServable(const ReadyStep &step);
  // Workers among which all are that have room for a task.
  NodeSpan roomSource(const ReadyStep &step) const;
  // Most further tasks of the step that the worker holds, approval aside.
  int64_t roomOn(const ReadyStep &step, NodeIndex index) const;
  bool hasRoom(const ReadyStep &step, const Fleet::Node &node) const;
  // Counts the step's tasks by worker if they are bounded.
  void countTasks(const ReadyStep &step);
  int64_t tasksOn(NodeIndex index) const;
  // True if the worker could run a task of the step if it were empty.
  static bool isEligible(const ReadyStep &step, const jobs::Worker &worker);
  static bool isFar(const ReadyStep &step, const jobs::Worker &worker);
  // How many tasks of the step fit into `free` on one worker.
  static int64_t fitCount(const ReadyStep &step, const Resources &free);

  // ---- Approvals (pass_approvals.cc) ----
  // Asks for approval of workers for `tasks` more tasks. Short queries name
  // workers that have room; they are answered before it is gone. Others are
  // made ahead, so that room that comes up later finds a valid ticket.
  void askFor(const ReadyStep &step, int64_t tasks);
  // Names workers that are expected to be enough for `tasks`; none if a gang
  // would hardly find a place on them.
  jobs::ApprovalQuery queryFor(const ReadyStep &step, int64_t tasks);
  // Renews what expires before a later query could be answered, and names all
  // workers that are not known unless enough are approved.
  jobs::ApprovalQuery longQuery(const ReadyStep &step);
  // True if the worker may be named in a query of the step.
  bool isAskable(const ReadyStep &step, NodeIndex index) const;
  // Workers that may be asked about and are in this state, those with the most
  // room first.
  std::vector<Candidate> candidates(const ReadyStep &step, ApprovalState state);
  // Of the workers that are not known, as many as any query names if so many
  // have room for all that one may hold of the step; else fewer.
  std::vector<Candidate> roomyCandidates(const ReadyStep &step);
  // Workers among which all are that may be named.
  NodeSpan askableSource(const ReadyStep &step) const;
  bool isCandidate(const ReadyStep &step, NodeIndex index, ApprovalState state);
  // The nodes of the workers that an answer has named.
  std::vector<NodeIndex> knownNodes(const ReadyStep &step);
  void addAsked(const ReadyStep &step, ApprovalState state, double rate,
                double &needed, jobs::ApprovalQuery &query);
  // Lets different steps ask for different workers among equal ones.
  static std::size_t spread(const jobs::StepKey &step, const WorkerId &worker);

  const DispatchInput &In;
  const DispatchHooks &Hooks;
  Fleet Workers;
  absl::flat_hash_map<DemandKey, DemandState> Demands;
  absl::flat_hash_map<absl::string_view, TeamState> Teams;
  // Tasks of the step that is handled, if they are bounded for each worker.
  absl::flat_hash_map<NodeIndex, int64_t> TasksOn;
  std::vector<Hold> Holds;
  absl::flat_hash_set<jobs::StepKey> HandledGangs;
  std::size_t ShortQueries = 0;
  std::size_t LongQueries = 0;
  DispatchPlan Plan;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_PASS_H_
