#include "jujube/runtime/poll_loop.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace jujube::runtime {
namespace {

// Longest wait of one poll(2) call.
constexpr Duration MaxWait = Duration::minutes(1);

struct Ready {
  int Fd;
  short Events;
  uint64_t Serial;
};

} // namespace

void PollLoop::watch(int fd, short events, EventHandler handler) {
  Watches[fd] = Watch{events, std::move(handler), ++LastSerial};
}

void PollLoop::unwatch(int fd) { Watches.erase(fd); }

TimerId PollLoop::callAt(Instant when, TimerHandler handler) {
  const TimerId id{when, ++LastTimer};
  Timers.emplace(when, Timer{id, std::move(handler)});
  return id;
}

void PollLoop::callEvery(Duration period, TimerHandler handler) {
  callAt(now() + period, [this, period, handler = std::move(handler)] {
    handler();
    callEvery(period, handler);
  });
}

void PollLoop::cancel(TimerId id) {
  const auto [first, last] = Timers.equal_range(id.When);
  const auto it = std::find_if(
      first, last, [id](const auto &timer) { return timer.second.Id == id; });
  if (it != last)
    Timers.erase(it);
}

int PollLoop::timeoutMillis() const {
  if (Timers.empty())
    return static_cast<int>(MaxWait.millis());
  const Duration left = Timers.begin()->first - now();
  return static_cast<int>(
      std::clamp<int64_t>(left.millis(), 0, MaxWait.millis()));
}

void PollLoop::fireTimers() {
  // Timers that handlers add while this runs wait for the next turn.
  const Instant due = now();
  std::vector<Timer> fired;
  while (!Timers.empty() && Timers.begin()->first <= due) {
    fired.push_back(std::move(Timers.begin()->second));
    Timers.erase(Timers.begin());
  }
  for (const Timer &timer : fired)
    timer.Handler();
}

Status PollLoop::runOnce() {
  std::vector<pollfd> fds;
  std::vector<Ready> ready;
  fds.reserve(Watches.size());
  for (const auto &[fd, watch] : Watches) {
    fds.push_back({fd, watch.Events, 0});
    ready.push_back({fd, 0, watch.Serial});
  }
  const int n = poll(fds.data(), fds.size(), timeoutMillis());
  if (n < 0 && errno != EINTR)
    return Error{
        ErrorKind::Internal,
        absl::StrCat("poll failed: ",
                     std::strerror(errno)), // NOLINT(concurrency-mt-unsafe)
        "raise the limit of open files"};
  if (TurnBegins)
    TurnBegins();
  if (n > 0) {
    for (std::size_t i = 0; i < fds.size(); ++i)
      ready[i].Events = fds[i].revents;
    for (const Ready &r : ready) {
      const auto it = Watches.find(r.Fd);
      if (r.Events == 0 || it == Watches.end() || it->second.Serial != r.Serial)
        continue;
      // The handler may remove its own watch, so a copy is called.
      const EventHandler handler = it->second.Handler;
      handler(r.Events);
    }
  }
  fireTimers();
  if (TurnEnd)
    TurnEnd();
  if (TurnEnded)
    TurnEnded();
  return Ok{};
}

Status PollLoop::run() {
  IsStopped = false;
  while (!IsStopped)
    if (Status status = runOnce(); !isOk(status))
      return status;
  return Ok{};
}

} // namespace jujube::runtime
