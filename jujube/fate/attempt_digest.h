// Digests of sets of running attempts, by which a zone's leader and a worker
// compare what they know without listing it.
#ifndef JUJUBE_FATE_ATTEMPT_DIGEST_H_
#define JUJUBE_FATE_ATTEMPT_DIGEST_H_

#include <cstdint>

#include "jujube/base/ids.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// The first 13 hexadecimal digits of the SHA-256 of the text
// "REQUEST:INDEX/TERM/ATTEMPT", as a number.
uint64_t attemptChecksum(const TaskId &task, const AttemptToken &token);

// Adds an attempt to the set. The set's checksum is the sum of those of its
// attempts modulo 2^52.
void addAttempt(AttemptDigest &digest, const TaskId &task,
                const AttemptToken &token);
// Removes an attempt that is in the set.
void removeAttempt(AttemptDigest &digest, const TaskId &task,
                   const AttemptToken &token);

} // namespace jujube::fate

#endif // JUJUBE_FATE_ATTEMPT_DIGEST_H_
