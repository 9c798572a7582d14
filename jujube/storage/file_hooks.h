// File operations behind hooks, so that tests can inject a failing disk.
#ifndef JUJUBE_STORAGE_FILE_HOOKS_H_
#define JUJUBE_STORAGE_FILE_HOOKS_H_

#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::storage {

// Translates an errno of an operation on `path`: StorageFull if the disk or the
// quota is full, otherwise StorageFailed.
Error fileError(absl::string_view operation, absl::string_view path, int code);

// The POSIX operations that the hooks default to.
Status writeFile(int fd, absl::string_view data);
Status syncFile(int fd);
Status renameFile(const std::string &from, const std::string &to);
Status removeFile(const std::string &path);
Status syncFolder(const std::string &path);

// Operations that change what is on the disk.
struct FileHooks {
  // Writes all of `data` at the end of the file.
  std::function<Status(int fd, absl::string_view data)> Write = writeFile;
  // Returns once the file's content is on the disk.
  std::function<Status(int fd)> Sync = syncFile;
  std::function<Status(const std::string &from, const std::string &to)> Rename =
      renameFile;
  std::function<Status(const std::string &path)> Remove = removeFile;
  // Returns once the folder's entries are on the disk.
  std::function<Status(const std::string &path)> SyncFolder = syncFolder;
};

// Reads a whole file.
Result<std::string> readFile(const std::string &path);

// Writes `data` under a temporary name, syncs, renames and syncs the folder:
// after a crash the file has either its old or its new content.
Status replaceFile(const FileHooks &hooks, const std::string &folder,
                   const std::string &name, absl::string_view data);

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_FILE_HOOKS_H_
