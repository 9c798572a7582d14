// RAII owner of a file descriptor.
#ifndef JUJUBE_STORAGE_OWNED_FD_H_
#define JUJUBE_STORAGE_OWNED_FD_H_

#include <unistd.h>

#include <utility>

namespace jujube::storage {

// Owns one file descriptor and closes it on destruction; -1 means no
// descriptor.
class OwnedFd {
public:
  OwnedFd() = default;
  explicit OwnedFd(int fd) : Fd(fd) {}
  ~OwnedFd() { reset(-1); }
  OwnedFd(OwnedFd &&rhs) noexcept : Fd(std::exchange(rhs.Fd, -1)) {}
  OwnedFd &operator=(OwnedFd &&rhs) noexcept {
    reset(std::exchange(rhs.Fd, -1));
    return *this;
  }

  int get() const { return Fd; }

private:
  void reset(int fd) {
    if (Fd >= 0)
      ::close(Fd);
    Fd = fd;
  }

  int Fd = -1;
};

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_OWNED_FD_H_
