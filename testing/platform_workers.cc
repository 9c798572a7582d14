#include "testing/platform_workers.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "nlohmann/json.hpp"

namespace jujube::testing {
namespace {

using Json = nlohmann::json;

// Resources that one task of the tests' jobs needs.
constexpr Resources TaskAsk{1000, 100, 0};

constexpr uint16_t Port = 9000;

// The worker at an address: the last two numbers of the address are its number.
std::string idAt(const Address &at) {
  const std::vector<std::string> parts = absl::StrSplit(at.Ip, '.');
  return absl::StrCat("w",
                      std::stoi(parts.at(2)) * 256 + std::stoi(parts.at(3)));
}

http::OutboundResponse refused(const std::string &reason) {
  return {409, Json{{"reason", reason}}.dump()};
}

} // namespace

void PlatformWorkers::add(const std::string &id, Resources capacity) {
  Workers[id].Capacity = capacity;
  Workers[id].Name = id;
}

Address PlatformWorkers::addressOf(const std::string &id) const {
  const int number = std::atoi(id.c_str() + 1);
  return {absl::StrCat(Network, ".", number / 256, ".", number % 256), Port};
}

int64_t PlatformWorkers::clockOf(const Worker &worker) const {
  return worker.ClockBase +
         (Time.now() - worker.RateSince).millis() * worker.ClockRate / 1000;
}

int64_t PlatformWorkers::shownClockOf(const Worker &worker) const {
  return clockOf(worker) - worker.AnswerAge.millis();
}

jobs::Announcement PlatformWorkers::announcement(const std::string &id) {
  Worker &worker = Workers.at(id);
  jobs::Announcement what;
  what.AnnouncedWorker.Id = WorkerId(worker.Name);
  what.AnnouncedWorker.WorkerIncarnation = Incarnation{worker.Born};
  what.AnnouncedWorker.Pool = jobs::PoolId("desk");
  what.AnnouncedWorker.At = addressOf(id);
  what.AnnouncedWorker.Zone = worker.Zone;
  what.AnnouncedWorker.Capacity = worker.Capacity;
  what.AnnouncedWorker.IsDraining = worker.IsDraining;
  what.Sequence = ++worker.Sequence;
  what.WorkerClock = Instant::fromMillis(shownClockOf(worker));
  return what;
}

void PlatformWorkers::handle(const http::OutboundCall &call,
                             const Reply &reply) {
  Worker &worker = Workers.at(idAt(call.To));
  if (worker.IsGone)
    worker.Undelivered.push_back({Time.now() + call.Timeout, call, reply});
  else
    deliver(worker, call, reply);
}

void PlatformWorkers::deliver(Worker &worker, const http::OutboundCall &call,
                              const Reply &reply) {
  const bool isOrder = call.Target != "/hold";
  worker.StartOrders += call.Target == "/run-start" ? 1 : 0;
  if (worker.IsSilent || (isOrder && worker.Delay > Duration())) {
    if (!worker.IsSilent)
      worker.Orders.push_back({Time.now() + worker.Delay, call});
    lose(call, reply);
    return;
  }
  const http::OutboundResponse answer = execute(worker, call);
  const int64_t wait = isOrder ? 0 : Json::parse(call.Body).value("waitMs", 0);
  if (answer.Status == 200 && wait > 0 && worker.Ends.empty())
    worker.Holds.push_back({Time.now() + Duration::millis(wait), reply});
  else
    reply(answer);
}

void PlatformWorkers::lose(const http::OutboundCall &call, const Reply &reply) {
  Workers.at(idAt(call.To))
      .Holds.push_back(
          {Time.now() + call.Timeout, [reply](auto) {
             reply(Error{ErrorKind::OutcomeUnknown, "no answer", "none"});
           }});
}

http::OutboundResponse
PlatformWorkers::execute(Worker &worker, const http::OutboundCall &call) {
  const auto expected =
      std::ranges::find(call.Headers, "Jujubedyke-Expected-Instance",
                        &std::pair<std::string, std::string>::first);
  if (expected != call.Headers.end() && expected->second != worker.Name)
    return {421, Json{{"clockMs", shownClockOf(worker)}}.dump()};
  const Json body = Json::parse(call.Body);
  const uint64_t fence = body.value("fencingToken", uint64_t{0});
  if (fence < worker.Fence)
    return refused("fence");
  worker.Fence = fence;
  if (body.contains("expiresMs"))
    worker.Expires = std::max(
        worker.Expires,
        Instant::fromMillis(std::min(body["expiresMs"].get<int64_t>(),
                                     clockOf(worker) + MaxLease.millis())));
  if (call.Target == "/run-start")
    return start(worker, call.Body);
  if (call.Target == "/run-stop")
    return stop(worker, call.Body);
  if (call.Target == "/pace") {
    const auto it = worker.Tasks.find(body["task"]);
    if (it != worker.Tasks.end())
      it->second.Percent = body["percent"];
    return {200, Json{{"clockMs", shownClockOf(worker)}}.dump()};
  }
  acknowledge(worker, body.value("ackCursor", uint64_t{0}));
  return {200, lists(worker)};
}

http::OutboundResponse PlatformWorkers::start(Worker &worker,
                                              const std::string &text) {
  const Json body = Json::parse(text);
  const std::string task = body["task"];
  const uint32_t attempt = body["attempt"];
  const std::string spec = body["spec"];
  http::OutboundResponse done{200,
                              Json{{"clockMs", shownClockOf(worker)}}.dump()};
  if (body["expiresMs"].get<int64_t>() <= clockOf(worker))
    return refused("late");
  const auto running = worker.Tasks.find(task);
  if (running != worker.Tasks.end() && running->second.Attempt == attempt)
    return done;
  if (attempt <= worker.LastAttempts[task])
    return refused("old");
  worker.LastAttempts[task] = attempt;
  for (const auto &[id, other] : Workers)
    if (other.Tasks.contains(task))
      Violations.emplace_back(absl::StrCat("two runs of ", task));
  if (Done.contains(task))
    Violations.push_back(absl::StrCat("start after the end of ", task));
  ++Starts[task];
  const Instant now = Time.now();
  const Duration span = worker.IsFailing
                            ? Duration::millis(50)
                            : Duration::millis(std::atoi(spec.c_str()));
  worker.Tasks[task] = {attempt, now, now + span,
                        worker.IsFailing || spec == "fail", TaskAsk};
  const Resources used = TaskAsk * static_cast<int64_t>(worker.Tasks.size());
  if (!used.fitsIn(worker.Capacity))
    Violations.emplace_back("a worker is over its capacity");
  return done;
}

http::OutboundResponse PlatformWorkers::stop(Worker &worker,
                                             const std::string &text) {
  const Json body = Json::parse(text);
  const std::string task = body["task"];
  const uint32_t attempt = body["attempt"];
  worker.LastAttempts[task] = std::max(worker.LastAttempts[task], attempt);
  const auto it = worker.Tasks.find(task);
  if (it != worker.Tasks.end() && it->second.Attempt == attempt)
    end(worker, task, "stopped");
  return {200, Json{{"clockMs", shownClockOf(worker)}}.dump()};
}

int64_t PlatformWorkers::tailOn(const Worker &worker) const {
  int64_t tail = 0;
  for (const auto &[task, run] : worker.Tasks)
    tail += TailAtFullSpeed.millis() * run.Percent / 100;
  return tail;
}

std::string PlatformWorkers::lists(const Worker &worker) const {
  Json running = Json::array();
  for (const auto &[task, run] : worker.Tasks)
    running.push_back({task, run.Attempt, "", 50, tailOn(worker)});
  Json finished = Json::array();
  for (const Ended &it : worker.Ends)
    finished.push_back({it.Number, it.Task, it.Attempt, it.How, ""});
  return Json{{"clockMs", shownClockOf(worker)},
              {"born", worker.Born},
              {"running", running},
              {"finished", finished}}
      .dump();
}

void PlatformWorkers::end(Worker &worker, const std::string &task,
                          const std::string &how) {
  const auto it = worker.Tasks.find(task);
  worker.Ends.push_back({++worker.LastEnd, task, it->second.Attempt, how});
  worker.Tasks.erase(it);
}

void PlatformWorkers::acknowledge(Worker &worker, uint64_t upTo) {
  for (const Ended &it : worker.Ends)
    if (it.Number <= upTo && it.How == "done")
      Done.insert(it.Task);
  std::erase_if(worker.Ends,
                [upTo](const Ended &it) { return it.Number <= upTo; });
}

void PlatformWorkers::tick() {
  for (auto &[id, worker] : Workers) {
    const Instant now = Time.now();
    for (DelayedOrder &late : std::exchange(worker.Orders, {}))
      if (late.At <= now)
        (void)execute(worker, late.Call);
      else
        worker.Orders.push_back(std::move(late));
    for (UndeliveredCall &it : std::exchange(worker.Undelivered, {}))
      if (it.Until <= now)
        it.Answer(Error{ErrorKind::OutcomeUnknown, "no answer", "none"});
      else
        worker.Undelivered.push_back(std::move(it));
    std::map<std::string, RunningTask> tasks = worker.Tasks;
    for (const auto &[task, run] : tasks)
      if (worker.Expires.millis() <= clockOf(worker))
        end(worker, task, "lapsed");
      else if (run.Ends <= now)
        end(worker, task, run.Fails ? "failed" : "done");
    for (Waiting &hold : std::exchange(worker.Holds, {}))
      if (hold.Until <= now || (!worker.IsSilent && !worker.Ends.empty()))
        hold.Answer(http::OutboundResponse{200, lists(worker)});
      else
        worker.Holds.push_back(std::move(hold));
  }
}

void PlatformWorkers::setSilent(const std::string &id, bool isSilent) {
  Workers.at(id).IsSilent = isSilent;
}

void PlatformWorkers::delayOrders(const std::string &id, Duration span) {
  Workers.at(id).Delay = span;
}

void PlatformWorkers::crash(const std::string &id) {
  Worker &worker = Workers.at(id);
  worker.Tasks.clear();
  worker.IsGone = true;
}

void PlatformWorkers::restart(const std::string &id) {
  Worker &worker = Workers.at(id);
  worker.IsGone = false;
  worker.Tasks.clear();
  worker.Ends.clear();
  worker.LastAttempts.clear();
  worker.LastEnd = 0;
  worker.Fence = 0;
  worker.Sequence = 0;
  worker.IsDraining = false;
  worker.Expires = Instant();
  worker.ClockBase = ClockOffset;
  worker.RateSince = Time.now();
  ++worker.Born;
  for (const UndeliveredCall &it : std::exchange(worker.Undelivered, {}))
    deliver(worker, it.Call, it.Answer);
}

void PlatformWorkers::setClockRate(const std::string &id, int64_t perMille) {
  Worker &worker = Workers.at(id);
  worker.ClockBase = clockOf(worker);
  worker.RateSince = Time.now();
  worker.ClockRate = perMille;
}

void PlatformWorkers::replace(const std::string &id, const std::string &name) {
  restart(id);
  Workers.at(id).Name = name;
}

int PlatformWorkers::shareOf(const std::string &task) const {
  for (const auto &[id, worker] : Workers)
    if (const auto it = worker.Tasks.find(task); it != worker.Tasks.end())
      return it->second.Percent;
  return -1;
}

std::size_t PlatformWorkers::running() const {
  std::size_t n = 0;
  for (const auto &[id, worker] : Workers)
    n += worker.Tasks.size();
  return n;
}

} // namespace jujube::testing
