#include "jujube/runtime/poll_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace jujube::runtime {
namespace {

// Longest time for which one turn blocks.
constexpr Duration MaxWait = Duration::minutes(1);

// Maximum number of descriptors that are handled per turn. Other ready
// descriptors are handled in later turns.
constexpr int MaxReady = 256;

// The events of poll(2) and epoll(7) have the same values on Linux.
static_assert(POLLIN == EPOLLIN && POLLOUT == EPOLLOUT && POLLERR == EPOLLERR &&
              POLLHUP == EPOLLHUP);

} // namespace

PollLoop::PollLoop(Clock clock)
    : LoopClock(std::move(clock)), Epoll(epoll_create1(EPOLL_CLOEXEC)) {
  PCHECK(Epoll.isOpen()) << "epoll_create1 failed; raise the limit of "
                            "open files";
}

bool PollLoop::updateEpoll(int operation, int fd, short events) const {
  epoll_event event{};
  event.events = static_cast<uint32_t>(events);
  event.data.fd = fd;
  return epoll_ctl(Epoll.get(), operation, fd, &event) == 0;
}

void PollLoop::watch(int fd, short events, EventHandler handler) {
  const auto [it, isNew] = Watches.try_emplace(fd);
  const bool isChanged = isNew || it->second.Events != events;
  it->second = {events,
                std::make_shared<const EventHandler>(std::move(handler)),
                ++LastSerial};
  if (!isChanged)
    return;
  const bool isInEpoll = !isNew && AlwaysReady.erase(fd) == 0;
  if (updateEpoll(isInEpoll ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, events))
    return;
  // epoll(7) rejects regular files with EPERM, and poll(2) always reports them
  // as ready. For a descriptor that is not open, poll(2) reports POLLNVAL.
  AlwaysReady[fd] = errno == EPERM ? events : static_cast<short>(POLLNVAL);
}

void PollLoop::unwatch(int fd) {
  if (Watches.erase(fd) == 0)
    return;
  if (AlwaysReady.erase(fd) == 0)
    (void)updateEpoll(EPOLL_CTL_DEL, fd, 0);
}

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
  // Collects due timers first, so that timers which handlers add wait for the
  // next turn.
  const Instant due = now();
  std::vector<Timer> fired;
  while (!Timers.empty() && Timers.begin()->first <= due) {
    fired.push_back(std::move(Timers.begin()->second));
    Timers.erase(Timers.begin());
  }
  for (const Timer &timer : fired)
    timer.Handler();
}

Result<std::vector<PollLoop::Ready>> PollLoop::waitForEvents() {
  std::array<epoll_event, MaxReady> events;
  const int timeout = AlwaysReady.empty() ? timeoutMillis() : 0;
  const int n = epoll_wait(Epoll.get(), events.data(), MaxReady, timeout);
  if (n < 0 && errno != EINTR)
    return Error{
        ErrorKind::Internal,
        absl::StrCat("epoll_wait failed: ",
                     std::strerror(errno)), // NOLINT(concurrency-mt-unsafe)
        "raise the limit of open files"};
  std::vector<Ready> ready;
  const auto add = [&](int fd, short occurred) {
    const auto it = Watches.find(fd);
    if (it != Watches.end())
      ready.push_back({fd, occurred, it->second.Serial});
  };
  for (int i = 0; i < n; ++i)
    add(events[static_cast<std::size_t>(i)].data.fd,
        static_cast<short>(events[static_cast<std::size_t>(i)].events));
  for (const auto &[fd, occurred] : AlwaysReady)
    add(fd, occurred);
  return ready;
}

Status PollLoop::runOnce() {
  const Result<std::vector<Ready>> ready = waitForEvents();
  if (!isOk(ready))
    return errorOf(ready);
  if (BeforeTurnHandler)
    BeforeTurnHandler();
  for (const Ready &r : valueOf(ready)) {
    const auto it = Watches.find(r.Fd);
    if (it == Watches.end() || it->second.Serial != r.Serial)
      continue;
    // The handler may remove its own watch.
    const std::shared_ptr<const EventHandler> handler = it->second.Handler;
    (*handler)(r.Events);
  }
  fireTimers();
  if (TurnEndHandler)
    TurnEndHandler();
  if (AfterTurnHandler)
    AfterTurnHandler();
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
