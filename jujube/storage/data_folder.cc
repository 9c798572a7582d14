#include "jujube/storage/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace jujube::storage {

namespace {

constexpr mode_t FolderMode = 0700;
constexpr mode_t OtherUsersMask = 0077;
constexpr char LockName[] = "LOCK";
constexpr char IdentityName[] = "identity";

Status checkFolder(const std::string &path, bool checksAccess) {
  struct stat info {};
  if (::mkdir(path.c_str(), FolderMode) != 0 && errno != EEXIST)
    return fileError("create", path, errno);
  if (::stat(path.c_str(), &info) != 0)
    return fileError("open", path, errno);
  if (!S_ISDIR(info.st_mode))
    return Error{ErrorKind::InvalidArgument, path + " is not a folder",
                 "set the data path to a folder"};
  if (!checksAccess)
    return Ok{};
  if (info.st_uid != ::geteuid())
    return Error{ErrorKind::PermissionDenied,
                 path + " is owned by another user",
                 "run as its owner, or change the owner"};
  if ((info.st_mode & OtherUsersMask) != 0)
    return Error{ErrorKind::PermissionDenied,
                 "other users have access to " + path,
                 "run: chmod 700 " + path};
  return Ok{};
}

Result<OwnedFd> lockFolder(const std::string &folder) {
  const std::string path = absl::StrCat(folder, "/", LockName);
  OwnedFd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (fd.get() < 0)
    return fileError("open", path, errno);
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0)
    return Error{ErrorKind::StorageFailed,
                 folder + " is in use by another process",
                 "stop that process, or name another data folder"};
  return fd;
}

Result<Incarnation> readIdentity(const std::string &folder,
                                 const FileHooks &hooks, Instant wallNow) {
  const std::string path = absl::StrCat(folder, "/", IdentityName);
  if (::access(path.c_str(), F_OK) != 0) {
    const std::string text = absl::StrCat(wallNow.millis(), "\n");
    if (Status status = replaceFile(hooks, folder, IdentityName, text);
        !isOk(status))
      return errorOf(status);
    return Incarnation{static_cast<uint64_t>(wallNow.millis())};
  }
  Result<std::string> text = readFile(path);
  if (!isOk(text))
    return errorOf(text);
  uint64_t number = 0;
  if (!absl::SimpleAtoi(valueOf(text), &number) || number == 0)
    return Error{ErrorKind::CorruptData,
                 path + " does not hold a valid incarnation number",
                 "clear the data folder and let the host join again"};
  return Incarnation{number};
}

} // namespace

Result<DataFolder> DataFolder::open(const std::string &path,
                                    const FileHooks &hooks, Instant wallNow,
                                    bool checksAccess) {
  if (Status status = checkFolder(path, checksAccess); !isOk(status))
    return errorOf(status);
  Result<OwnedFd> lock = lockFolder(path);
  if (!isOk(lock))
    return errorOf(lock);
  Result<Incarnation> start = readIdentity(path, hooks, wallNow);
  if (!isOk(start))
    return errorOf(start);
  return DataFolder(path, valueOf(std::move(lock)), valueOf(start));
}

} // namespace jujube::storage
