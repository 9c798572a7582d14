// Execution of commands on the leader.
#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "jujube/control/control_task.h"
#include "jujube/dispatch/servable.h"
#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using logging::Event;
using logging::Line;

// Most zones that are evacuated at a time: several times those of the largest
// cell.
constexpr std::size_t MaxEvacuatedZones = 256;
// Longest path in bytes that is stored with a job, for as long as it is
// remembered. A job with a longer path is found at the place of its queue.
constexpr std::size_t MaxStoredPath = 1024;
// When to cancel an unknown job again that can't be recorded.
constexpr Duration WithdrawalRetry = Duration::seconds(1);
// How long after its withdrawal a silent worker is removed if it is idle.
constexpr Duration LeavingSpan = Duration::millis(400);

// The client retries at the new leader, since the proposal may still be
// committed.
Error unresolved() {
  return Error{ErrorKind::Unavailable,
               "the leader changed before the change was stored",
               "resend it with the same id"};
}

Error noSuchJob() {
  return Error{ErrorKind::Gone, "no such job", "check the id"};
}

Error withdrawnJob() {
  return Error{ErrorKind::Gone, "the job was cancelled before it arrived",
               "submit it under another id"};
}

Error tooManyWithdrawals() {
  return Error{ErrorKind::Overloaded,
               "the team has cancelled too many unknown jobs",
               "cancel the job again later", WithdrawalRetry};
}

} // namespace

void ControlTask::execute(const jobs::Command &command, const Answer &done) {
  const CommandSummary summary = summaryOf(command);
  const Answer note = [this, summary, done](Result<jobs::Reply> reply) {
    if (!isOk(reply))
      noteRefusal(summary, errorOf(reply));
    done(std::move(reply));
  };
  std::visit([&](const auto &what) { run(what, note); }, command);
}

void ControlTask::storeAndReply(std::vector<jobs::Event> events,
                                const Answer &done,
                                std::function<Result<jobs::Reply>()> reply) {
  store(std::move(events), [done, reply = std::move(reply)](bool isStored) {
    if (isStored)
      done(reply());
    else
      done(unresolved());
  });
}

Result<ControlTask::Admitted>
ControlTask::admit(const jobs::Caller &caller) const {
  const jobs::Configuration &config = Book.configuration();
  if (config.Version == 0)
    return Error{ErrorKind::StaleData, "there is no configuration yet",
                 "retry after the operator has stored a configuration"};
  const jobs::Queue *queue =
      jobs::findQueue(config, caller.HostName, caller.Path);
  if (queue == nullptr)
    return Error{ErrorKind::NotFound, "no such queue",
                 "check the host name and the path"};
  const jobs::Team *team = jobs::teamOfKey(config, caller.Key);
  if (team == nullptr && !queue->IsOpen)
    return Error{ErrorKind::Unauthenticated, "unknown key",
                 "send a key of the team as a bearer token"};
  return Admitted{queue, team != nullptr ? team->Id : TeamId()};
}

Result<const jobs::Job *> ControlTask::findJob(const jobs::Caller &caller,
                                               const jobs::JobId &id) const {
  const Result<Admitted> admitted = admit(caller);
  if (!isOk(admitted))
    return errorOf(admitted);
  const jobs::Job *job = Book.find(id);
  const Admitted &by = valueOf(admitted);
  const bool isOwner =
      job != nullptr && jobs::isOwnedBy(*job, ownerOf(by, caller));
  if (!isOwner || !jobs::isReachedBy(*job, caller, jobs::placeOf(*by.Queue)))
    return noSuchJob();
  return job;
}

jobs::Owner ControlTask::ownerOf(const Admitted &by,
                                 const jobs::Caller &caller) {
  return {by.Team, by.Team == TeamId() ? std::string() : caller.Key};
}

void ControlTask::run(const jobs::SubmitJob &command, const Answer &done) {
  const Result<Admitted> admitted = admit(command.By);
  if (!isOk(admitted)) {
    done(errorOf(admitted));
    return;
  }
  if (Book.find(command.Job.Id) != nullptr) {
    done(jobs::Reply(jobs::Stored{}));
    return;
  }
  const jobs::Owner owner = ownerOf(valueOf(admitted), command.By);
  if (Book.withdrawals().contains(command.Job.Id, owner)) {
    done(withdrawnJob());
    return;
  }
  if (const Status status = dispatch::checkServable(command.Job);
      !isOk(status)) {
    done(errorOf(status));
    return;
  }
  const jobs::Queue &queue = *valueOf(admitted).Queue;
  const jobs::JobId id = command.Job.Id;
  const auto retry =
      Storing.contains(id)
          ? std::nullopt
          : retryAfterBacklog(command.Job, queue, valueOf(admitted).Team);
  if (retry) {
    done(Error{ErrorKind::Overloaded,
               "the team hands in more than its share can carry in time",
               "hand the job in again later", *retry});
    return;
  }
  jobs::JobSpec spec = command.Job;
  spec.Queue = queue.Id;
  spec.Team = valueOf(admitted).Team;
  Storing.insert(id);
  const Answer stored = [this, id, done](Result<jobs::Reply> reply) {
    Storing.erase(Storing.find(id));
    done(std::move(reply));
  };
  jobs::Caller by = command.By;
  by.Key = owner.Key;
  if (by.Path.size() > MaxStoredPath)
    by.Path.clear();
  std::optional<jobs::Queue> terms;
  if (ConfigurationsStoring > 0)
    terms = queue;
  storeAndReply({jobs::JobSubmitted{{std::move(spec), WallClock.now()},
                                    std::move(by),
                                    jobs::placeOf(queue),
                                    std::move(terms)}},
                stored, [this, id]() -> Result<jobs::Reply> {
                  if (Book.find(id) == nullptr)
                    return withdrawnJob();
                  return jobs::Reply(jobs::Stored{});
                });
}

void ControlTask::run(const jobs::CancelJob &command, const Answer &done) {
  const Result<const jobs::Job *> job = findJob(command.By, command.Job);
  if (!isOk(job)) {
    if (errorOf(job).Kind == ErrorKind::Gone &&
        Book.find(command.Job) == nullptr)
      withdraw(command, done);
    else
      done(errorOf(job));
    return;
  }
  if (isEnded(valueOf(job)->State)) {
    done(jobs::Reply(jobs::Stored{}));
    return;
  }
  Line(Event::JobCancelled)
      .with("job", command.Job)
      .with("state", nameIn(jobs::JobStateNames, valueOf(job)->State))
      .with("running", valueOf(job)->LiveTasks)
      .with("term", Group.log().term());
  storeAndReply({jobs::JobCancelled{command.Job}}, done,
                [] { return jobs::Stored{}; });
}

void ControlTask::withdraw(const jobs::CancelJob &command, const Answer &done) {
  const jobs::JobId id = command.Job;
  const jobs::Owner by = ownerOf(valueOf(admit(command.By)), command.By);
  if (Book.withdrawals().contains(id, by)) {
    done(noSuchJob());
    return;
  }
  if (!Book.withdrawals().hasRoomFor(by.Team)) {
    done(tooManyWithdrawals());
    return;
  }
  Line(Event::JobCancelled)
      .with("job", id)
      .with("state", "unknown")
      .with("withdrawals", Book.withdrawals().size())
      .with("term", Group.log().term());
  storeAndReply({jobs::JobWithdrawn{id, by}}, done,
                [this, id, by]() -> Result<jobs::Reply> {
                  if (const jobs::Job *job = Book.find(id);
                      job != nullptr && isEnded(job->State))
                    return jobs::Reply(jobs::Stored{});
                  if (Book.find(id) == nullptr &&
                      !Book.withdrawals().contains(id, by))
                    return tooManyWithdrawals();
                  return noSuchJob();
                });
}

void ControlTask::run(const jobs::ReadJob &command, const Answer &done) {
  const Result<const jobs::Job *> job = findJob(command.By, command.Job);
  if (isOk(job))
    done(jobs::Reply(jobs::JobStatusReply{valueOf(job)->State}));
  else
    done(errorOf(job));
}

void ControlTask::run(const jobs::CountPending &command, const Answer &done) {
  const Result<Admitted> admitted = admit(command.By);
  if (isOk(admitted))
    done(jobs::Reply(
        jobs::PendingCount{Book.pending(valueOf(admitted).Queue->Id)}));
  else
    done(errorOf(admitted));
}

void ControlTask::run(const jobs::PutConfiguration &command,
                      const Answer &done) {
  if (const Status status = jobs::validate(command.Value); !isOk(status)) {
    done(errorOf(status));
    return;
  }
  if (command.Value.Version <= Book.configuration().Version) {
    done(jobs::Reply(jobs::Stored{}));
    return;
  }
  Line(Event::ConfigurationStored)
      .with("version", command.Value.Version)
      .with("held", Book.configuration().Version)
      .with("queues", command.Value.Queues.size())
      .with("teams", command.Value.Teams.size())
      .with("term", Group.log().term());
  ++ConfigurationsStoring;
  const Answer stored = [this, done](Result<jobs::Reply> reply) {
    --ConfigurationsStoring;
    done(std::move(reply));
  };
  storeAndReply({jobs::ConfigurationPut{command.Value}}, stored,
                [] { return jobs::Stored{}; });
}

void ControlTask::run(const jobs::ReadConfiguration &, const Answer &done) {
  if (Book.configuration().Version == 0)
    done(Error{ErrorKind::StaleData, "there is no configuration yet",
               "store a configuration first"});
  else
    done(jobs::Reply(jobs::ConfigurationReply{Book.configuration().Document}));
}

void ControlTask::run(const jobs::AnnounceWorker &command, const Answer &done) {
  const jobs::Announcement &what = command.What;
  const auto reply = [this]() -> jobs::Reply {
    return jobs::WorkerRegistered{Settings.Control};
  };
  const jobs::Worker *held = Book.findWorker(what.AnnouncedWorker.Id);
  // If another worker had taken over its address, this worker would have been
  // removed from the job state.
  if (held != nullptr && *held == what.AnnouncedWorker) {
    Sessions->noteAnnouncement(what);
    done(reply());
    return;
  }
  if (const auto cause = reasonToIgnore(what, held)) {
    Line(Event::AnnouncementIgnored)
        .with("worker", what.AnnouncedWorker.Id)
        .with("life", what.AnnouncedWorker.WorkerIncarnation)
        .with("pool", what.AnnouncedWorker.Pool)
        .with("at", what.AnnouncedWorker.At)
        .with("cause", nameIn(IgnoredAnnouncementNames, *cause));
    done(reply());
    return;
  }
  Line(Event::WorkerChanged)
      .with("worker", what.AnnouncedWorker.Id)
      .with("life", what.AnnouncedWorker.WorkerIncarnation)
      .with("pool", what.AnnouncedWorker.Pool)
      .with("draining", what.AnnouncedWorker.IsDraining)
      .with("known", held != nullptr);
  storeAndReply({jobs::WorkerChanged{what.AnnouncedWorker}}, done,
                [this, what, reply] {
                  if (Sessions != nullptr) {
                    Sessions->noteAnnouncement(what);
                    verifyWorkersAt(what.AnnouncedWorker.At);
                  }
                  return reply();
                });
}

std::optional<IgnoredAnnouncement>
ControlTask::reasonToIgnore(const jobs::Announcement &what,
                            const jobs::Worker *held) const {
  const jobs::Worker &worker = what.AnnouncedWorker;
  if (Book.hasDeparted(worker.Id, worker.WorkerIncarnation))
    return IgnoredAnnouncement::Departed;
  if (held != nullptr && (worker.WorkerIncarnation < held->WorkerIncarnation ||
                          Sessions->isStale(what)))
    return IgnoredAnnouncement::Stale;
  const bool isSameLife =
      held != nullptr && worker.WorkerIncarnation == held->WorkerIncarnation;
  if (isSameLife && (worker.At != held->At || worker.Pool != held->Pool))
    return IgnoredAnnouncement::OtherIdentity;
  // A pool may leave the configuration while its workers still drain.
  if (!isSameLife &&
      jobs::findPool(Book.configuration(), worker.Pool) == nullptr)
    return IgnoredAnnouncement::UnknownPool;
  // A late announcement of a worker whose address a newer one has.
  if (held == nullptr &&
      std::ranges::any_of(Book.workers(), [&](const auto &it) {
        return it.second.At == worker.At &&
               it.second.WorkerIncarnation > worker.WorkerIncarnation;
      }))
    return IgnoredAnnouncement::AddressTaken;
  return std::nullopt;
}

// An announcement does not tell which of several workers has the address. They
// get no tasks until they answer.
void ControlTask::verifyWorkersAt(const Address &at) {
  std::vector<WorkerId> claimants;
  for (const auto &[id, worker] : Book.workers())
    if (worker.At == at)
      claimants.push_back(id);
  if (claimants.size() > 1)
    for (const WorkerId &id : claimants)
      Sessions->verify(id);
}

// The call does not name an incarnation and may have been delayed, so it says
// nothing about the attempts on the worker.
void ControlTask::run(const jobs::WithdrawWorker &command, const Answer &done) {
  done(jobs::Reply(jobs::Stored{}));
  const jobs::Worker *held = Book.findWorker(command.Worker);
  if (held == nullptr)
    return;
  Sessions->verify(command.Worker);
  const Incarnation life = held->WorkerIncarnation;
  const Instant saidAt = Loop.now();
  Loop.callAt(saidAt + LeavingSpan, [this, id = command.Worker, life, saidAt] {
    if (isServing() && Sessions->lastHeard(id) <= saidAt)
      removeIdleWorker(id, life);
  });
}

// The reply follows the event in the log, so that no start can be stored for
// the zone once it has been sent. Starts that are under way are not resent. The
// event is stored even if the zone is evacuated already, because a withdrawal
// may be on its way to the log.
void ControlTask::run(const jobs::EvacuateZone &command, const Answer &done) {
  const std::set<ZoneId> &zones = Book.evacuatedZones();
  const bool isNew = !zones.contains(command.Zone);
  if (isNew && zones.size() >= MaxEvacuatedZones) {
    done(Error{ErrorKind::LimitExceeded, "too many zones are evacuated",
               "restore zones that are not needed"});
    return;
  }
  Line(Event::ZoneEvacuated)
      .with("zone", command.Zone)
      .with("is_new", isNew)
      .with("term", Group.log().term());
  storeAndReply({jobs::ZoneEvacuated{command.Zone}}, done,
                [] { return jobs::Stored{}; });
}

void ControlTask::run(const jobs::RestoreZone &command, const Answer &done) {
  Line(Event::ZoneRestored)
      .with("zone", command.Zone)
      .with("was_evacuated", Book.evacuatedZones().contains(command.Zone))
      .with("term", Group.log().term());
  storeAndReply({jobs::ZoneRestored{command.Zone}}, done,
                [] { return jobs::Stored{}; });
}

void ControlTask::run(const jobs::ReadEvacuations &, const Answer &done) {
  const std::set<ZoneId> &zones = Book.evacuatedZones();
  done(jobs::Reply(jobs::EvacuatedZones{{zones.begin(), zones.end()}}));
}

void ControlTask::run(const jobs::RegisterHelper &command, const Answer &done) {
  Helpers.recordReport(command.Host, command.At, Loop.now());
  jobs::Members members;
  members.Addresses = Group.log().memberAddresses();
  done(jobs::Reply(std::move(members)));
}

} // namespace jujube::control
