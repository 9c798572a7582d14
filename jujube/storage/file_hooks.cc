#include "jujube/storage/file_hooks.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "jujube/storage/owned_fd.h"

namespace jujube::storage {

Error fileError(absl::string_view operation, absl::string_view path, int code) {
  const bool isFull = code == ENOSPC || code == EDQUOT || code == EFBIG;
  const std::string message =
      absl::StrCat("can't ", operation, " ", path, ": ", strerror(code));
  if (isFull)
    return Error{ErrorKind::StorageFull, message,
                 "free space on the data folder's disk, then restart"};
  return Error{ErrorKind::StorageFailed, message,
               "check the disk and the data folder's permissions, then "
               "restart; replace the host if it happens again"};
}

Status writeFile(int fd, absl::string_view data) {
  while (!data.empty()) {
    const ssize_t n = ::write(fd, data.data(), data.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return fileError("write", "a file", errno);
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return Ok{};
}

Status syncFile(int fd) {
  if (::fdatasync(fd) != 0)
    return fileError("sync", "a file", errno);
  return Ok{};
}

Status renameFile(const std::string &from, const std::string &to) {
  if (::rename(from.c_str(), to.c_str()) != 0)
    return fileError("rename", from, errno);
  return Ok{};
}

Status removeFile(const std::string &path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT)
    return fileError("remove", path, errno);
  return Ok{};
}

Status syncFolder(const std::string &path) {
  const OwnedFd fd(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (fd.get() < 0 || ::fsync(fd.get()) != 0)
    return fileError("sync", path, errno);
  return Ok{};
}

Result<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return fileError("open", path, errno);
  std::string data((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  if (in.bad())
    return fileError("read", path, EIO);
  return data;
}

Status replaceFile(const FileHooks &hooks, const std::string &folder,
                   const std::string &name, absl::string_view data) {
  const std::string path = absl::StrCat(folder, "/", name);
  const std::string temporary = absl::StrCat(path, ".tmp");
  const OwnedFd fd(::open(temporary.c_str(),
                          O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (fd.get() < 0)
    return fileError("create", temporary, errno);
  if (Status status = hooks.Write(fd.get(), data); !isOk(status))
    return status;
  if (Status status = hooks.Sync(fd.get()); !isOk(status))
    return status;
  if (Status status = hooks.Rename(temporary, path); !isOk(status))
    return status;
  return hooks.SyncFolder(folder);
}

} // namespace jujube::storage
