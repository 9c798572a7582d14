#include "jujube/wire/connection.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "jujube/runtime/sockets.h"

namespace jujube::wire {
namespace {

constexpr std::size_t ReadBytes = 64 << 10;

bool wouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

Connection::Connection(runtime::PollLoop &loop, runtime::FileDescriptor fd,
                       Hooks hooks)
    : Loop(loop), Fd(std::move(fd)), Callbacks(std::move(hooks)) {
  updateWatch();
}

Connection::~Connection() { Loop.unwatch(Fd.get()); }

Status Connection::send(absl::string_view payload) {
  if (Output.size() - WrittenBytes + payload.size() > MaxBufferedBytes)
    return Error{ErrorKind::Overloaded,
                 "send buffer is full: the peer reads too slowly",
                 "retry later"};
  const bool wasIdle = Output.empty();
  Output += frame(payload);
  // A write error is also reported by the next poll, which closes the
  // connection.
  if (IsOpen && wasIdle)
    (void)writeBuffered();
  updateWatch();
  return Ok{};
}

void Connection::abandon() {
  IsClosed = true;
  Loop.unwatch(Fd.get());
}

void Connection::updateWatch() {
  if (IsClosed)
    return;
  const bool wantsWrite = !IsOpen || !Output.empty();
  Loop.watch(Fd.get(), static_cast<short>(POLLIN | (wantsWrite ? POLLOUT : 0)),
             [this](short events) { handleEvents(events); });
}

void Connection::handleEvents(short events) {
  if (!IsOpen) {
    if (runtime::pendingError(Fd.get()) != 0 ||
        (events & (POLLERR | POLLNVAL)) != 0) {
      close();
      return;
    }
    IsOpen = true;
    Callbacks.OnOpen();
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !readAvailable()) {
    close();
    return;
  }
  if (!writeBuffered()) {
    close();
    return;
  }
  updateWatch();
}

bool Connection::readAvailable() {
  std::array<char, ReadBytes> buf;
  const ssize_t n = recv(Fd.get(), buf.data(), buf.size(), 0);
  if (n == 0)
    return false;
  if (n < 0)
    return wouldBlock();
  Reader.append(absl::string_view(buf.data(), static_cast<std::size_t>(n)));
  while (true) {
    auto payload = Reader.next();
    if (!isOk(payload))
      return false;
    if (!valueOf(payload))
      return true;
    Callbacks.OnFrame(std::move(*valueOf(payload)));
    if (IsClosed)
      return true;
  }
}

bool Connection::writeBuffered() {
  while (WrittenBytes < Output.size()) {
    const ssize_t n = ::send(Fd.get(), Output.data() + WrittenBytes,
                             Output.size() - WrittenBytes, MSG_NOSIGNAL);
    if (n < 0)
      return wouldBlock();
    WrittenBytes += static_cast<std::size_t>(n);
  }
  Output.clear();
  WrittenBytes = 0;
  return true;
}

void Connection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  Loop.unwatch(Fd.get());
  Callbacks.OnClose();
}

} // namespace jujube::wire
