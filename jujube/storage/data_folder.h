// The one folder that holds a host's durable state.
#ifndef JUJUBE_STORAGE_DATA_FOLDER_H_
#define JUJUBE_STORAGE_DATA_FOLDER_H_

#include <string>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/storage/file_hooks.h"
#include "jujube/storage/owned_fd.h"

namespace jujube::storage {

// An open data folder. Its lock is held until it is destroyed, so that no
// second process uses the folder.
class DataFolder {
public:
  // Creates the folder with mode 0700 if it does not exist. Refuses one that is
  // in use and, if `checksAccess`, one that another user owns or that others
  // may enter. `wallNow` numbers the incarnation of a new folder.
  static Result<DataFolder> open(const std::string &path,
                                 const FileHooks &hooks, Instant wallNow,
                                 bool checksAccess = true);

  const std::string &path() const { return Path; }
  // Kept over restarts; a folder that was cleared gets a higher one.
  Incarnation start() const { return Start; }

private:
  DataFolder(std::string path, OwnedFd lock, Incarnation start)
      : Path(std::move(path)), Lock(std::move(lock)), Start(start) {}

  std::string Path;
  OwnedFd Lock;
  Incarnation Start;
};

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_DATA_FOLDER_H_
