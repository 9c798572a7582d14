// Files that hold secrets: tokens and private keys.
#ifndef JUJUBE_BASE_SECRET_FILE_H_
#define JUJUBE_BASE_SECRET_FILE_H_

#include <cstddef>
#include <string>

#include "jujube/base/result.h"

namespace jujube {

inline constexpr std::size_t MinSecretChars = 16;

// Ok if the file can be read and nobody but its owner may.
Status checkSecretFile(const std::string &path);

// Reads a secret of at least MinSecretChars characters from the first line of a
// file that passes checkSecretFile().
Result<std::string> readSecretFile(const std::string &path);

} // namespace jujube

#endif // JUJUBE_BASE_SECRET_FILE_H_
