// The folder that holds all durable state of a host.
#ifndef JUJUBE_STORAGE_DATA_FOLDER_H_
#define JUJUBE_STORAGE_DATA_FOLDER_H_

#include <string>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/storage/file_hooks.h"
#include "jujube/storage/owned_fd.h"

namespace jujube::storage {

// An open data folder, owned by a Store. Holds an exclusive file lock until it
// is destroyed, so that no second process can use the folder.
class DataFolder {
public:
  // Opens the folder, and creates it with mode 0700 if it does not exist. Fails
  // with StorageFailed if another process holds the lock. If `checksAccess`,
  // fails with PermissionDenied if another user owns the folder or if its mode
  // grants access to other users. `wallNow` becomes the incarnation number of a
  // new folder.
  static Result<DataFolder> open(const std::string &path,
                                 const FileHooks &hooks, Instant wallNow,
                                 bool checksAccess = true);

  const std::string &path() const { return Path; }
  // The incarnation of the folder. A restart keeps it; a cleared folder gets a
  // higher number.
  Incarnation incarnation() const { return Start; }

private:
  DataFolder(std::string path, OwnedFd lock, Incarnation start)
      : Path(std::move(path)), Lock(std::move(lock)), Start(start) {}

  std::string Path;
  OwnedFd Lock;
  Incarnation Start;
};

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_DATA_FOLDER_H_
