// An owning wrapper of a file descriptor.
#ifndef JUJUBE_RUNTIME_FILE_DESCRIPTOR_H_
#define JUJUBE_RUNTIME_FILE_DESCRIPTOR_H_

#include <utility>

namespace jujube::runtime {

// Owns a file descriptor and closes it on destruction. Holds -1 if it owns
// none.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : Fd(fd) {}
  ~FileDescriptor();
  FileDescriptor(FileDescriptor &&rhs) noexcept
      : Fd(std::exchange(rhs.Fd, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&rhs) noexcept;

  int get() const { return Fd; }
  bool isOpen() const { return Fd >= 0; }

private:
  int Fd = -1;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_FILE_DESCRIPTOR_H_
