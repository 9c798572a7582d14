// An owned file descriptor.
#ifndef JUJUBE_RUNTIME_FILE_DESCRIPTOR_H_
#define JUJUBE_RUNTIME_FILE_DESCRIPTOR_H_

#include <utility>

namespace jujube::runtime {

// Closes its descriptor on destruction; -1 stands for none.
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
