// Files that hold secrets: tokens and private keys.
#ifndef JUJUBE_BASE_SECRET_FILE_H_
#define JUJUBE_BASE_SECRET_FILE_H_

#include <cstddef>
#include <string>

#include "jujube/base/result.h"

namespace jujube {

// Minimum length of a secret in characters.
inline constexpr std::size_t MinSecretChars = 16;

// Returns Ok if `path` is a regular file that this process can read and that
// grants no permissions to group and others.
Status checkSecretFile(const std::string &path);

// Reads a secret from the first line of a file, without surrounding whitespace.
// Returns an error if the file fails checkSecretFile() or the secret is shorter
// than MinSecretChars.
Result<std::string> readSecretFile(const std::string &path);

} // namespace jujube

#endif // JUJUBE_BASE_SECRET_FILE_H_
