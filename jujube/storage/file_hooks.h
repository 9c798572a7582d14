// File operations as hooks, so that tests can inject disk faults.
#ifndef JUJUBE_STORAGE_FILE_HOOKS_H_
#define JUJUBE_STORAGE_FILE_HOOKS_H_

#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::storage {

// Converts the errno `code` of `operation` on `path` to an error: StorageFull
// if the disk, the quota or the maximum file size is reached, otherwise
// StorageFailed.
Error fileError(absl::string_view operation, absl::string_view path, int code);

// The default hooks, implemented with POSIX calls.
Status writeFile(int fd, absl::string_view data);
Status syncFile(int fd);
Status renameFile(const std::string &from, const std::string &to);
Status removeFile(const std::string &path);
Status syncFolder(const std::string &path);

// The operations that modify files.
struct FileHooks {
  // Writes all of `data` at the end of the file.
  std::function<Status(int fd, absl::string_view data)> Write = writeFile;
  // Returns once the file's content is durable.
  std::function<Status(int fd)> Sync = syncFile;
  std::function<Status(const std::string &from, const std::string &to)> Rename =
      renameFile;
  std::function<Status(const std::string &path)> Remove = removeFile;
  // Returns once the folder's directory entries are durable.
  std::function<Status(const std::string &path)> SyncFolder = syncFolder;
};

// Returns the whole content of a file.
Result<std::string> readFile(const std::string &path);

// Replaces a file atomically: writes `data` to a temporary file, syncs and
// renames it, and syncs the folder. After a crash the file has either its old
// or its new content.
Status replaceFile(const FileHooks &hooks, const std::string &folder,
                   const std::string &name, absl::string_view data);

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_FILE_HOOKS_H_
