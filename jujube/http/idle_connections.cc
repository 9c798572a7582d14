#include "jujube/http/idle_connections.h"

#include <sys/socket.h>

#include <algorithm>

namespace jujube::http {

bool IdleConnections::enter(int fd) {
  absl::MutexLock lock(&Mutex);
  if (!IsStopping)
    Waiting.push_back(fd);
  return !IsStopping;
}

void IdleConnections::leave(int fd) {
  absl::MutexLock lock(&Mutex);
  Waiting.remove(fd);
}

bool IdleConnections::endLongest() {
  absl::MutexLock lock(&Mutex);
  if (Waiting.empty())
    return false;
  (void)shutdown(Waiting.front(), SHUT_RD);
  Waiting.pop_front();
  return true;
}

void IdleConnections::endAll() {
  absl::MutexLock lock(&Mutex);
  IsStopping = true;
  std::ranges::for_each(Waiting, [](int fd) { (void)shutdown(fd, SHUT_RD); });
  Waiting.clear();
}

} // namespace jujube::http
