#include "jujube/base/secret_file.h"

#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace jujube {

Status checkSecretFile(const std::string &path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0)
    return Error{
        ErrorKind::InvalidArgument,
        absl::StrCat("file '", path, "' does not exist"),
        "create it with access for its owner only; for a random token, run: "
        "(umask 077; openssl rand -hex 24 >FILE)"};
  if (!S_ISREG(info.st_mode))
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("'", path, "' is not a file"),
                 "name the file that holds the secret"};
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    return Error{ErrorKind::PermissionDenied,
                 absl::StrCat("secret file '", path,
                              "' is accessible to group or others"),
                 absl::StrCat("run: chmod 600 ", path)};
  if (access(path.c_str(), R_OK) != 0)
    return Error{
        ErrorKind::PermissionDenied,
        absl::StrCat("no permission to read '", path, "'"),
        "run the program as the owner of the file, or change the owner"};
  return Ok{};
}

Result<std::string> readSecretFile(const std::string &path) {
  if (Status status = checkSecretFile(path); !isOk(status))
    return errorOf(status);
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  absl::StripAsciiWhitespace(&line);
  if (line.size() < MinSecretChars)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("the secret in '", path, "' has ", line.size(),
                              " characters"),
                 absl::StrCat("use at least ", MinSecretChars, " characters")};
  return line;
}

} // namespace jujube
