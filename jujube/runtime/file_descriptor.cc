#include "jujube/runtime/file_descriptor.h"

#include <unistd.h>

namespace jujube::runtime {

FileDescriptor::~FileDescriptor() {
  if (Fd >= 0)
    close(Fd);
}

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&rhs) noexcept {
  std::swap(Fd, rhs.Fd);
  return *this;
}

} // namespace jujube::runtime
