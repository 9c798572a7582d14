#include "jujube/fate/attempt_digest.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"

namespace jujube::fate {
namespace {

constexpr std::size_t ChecksumDigits = 13;
constexpr uint64_t ChecksumMask = (uint64_t{1} << 52) - 1;
constexpr int HexBase = 16;

} // namespace

uint64_t attemptChecksum(const TaskId &task, const AttemptToken &token) {
  const std::string digest = saltedDigest(
      task.Request.str(),
      absl::StrCat(task.Index, "/", token.GroupTerm.Value, "/", token.Attempt));
  return std::stoull(digest.substr(0, ChecksumDigits), nullptr, HexBase);
}

void addAttempt(AttemptDigest &digest, const TaskId &task,
                const AttemptToken &token) {
  ++digest.Count;
  digest.Checksum =
      (digest.Checksum + attemptChecksum(task, token)) & ChecksumMask;
}

void removeAttempt(AttemptDigest &digest, const TaskId &task,
                   const AttemptToken &token) {
  --digest.Count;
  digest.Checksum =
      (digest.Checksum - attemptChecksum(task, token)) & ChecksumMask;
}

} // namespace jujube::fate
