// Digests of sets of running attempts. A zone's leader and a worker compare
// digests to check that both know the same attempts without listing them.
#ifndef JUJUBE_FATE_ATTEMPT_DIGEST_H_
#define JUJUBE_FATE_ATTEMPT_DIGEST_H_

#include <cstdint>

#include "jujube/base/ids.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// Returns the first 13 hexadecimal digits of the SHA-256 digest of the text
// "REQUEST:INDEX/TERM/ATTEMPT" as a number.
uint64_t attemptChecksum(const TaskId &task, const AttemptToken &token);

// Adds an attempt to the set. The checksum of a set is the sum of the checksums
// of its attempts modulo 2^52, so it doesn't depend on their order.
void addAttempt(AttemptDigest &digest, const TaskId &task,
                const AttemptToken &token);
// Removes an attempt from the set. Precondition: the set contains the attempt.
void removeAttempt(AttemptDigest &digest, const TaskId &task,
                   const AttemptToken &token);

} // namespace jujube::fate

#endif // JUJUBE_FATE_ATTEMPT_DIGEST_H_
