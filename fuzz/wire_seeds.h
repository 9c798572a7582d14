// Valid messages and records for the fuzzing of the wire decoders. They are
// encoded anew by each run, so that a change of the encoding can't leave seeds
// behind that no decoder gets past.
#ifndef FUZZ_WIRE_SEEDS_H_
#define FUZZ_WIRE_SEEDS_H_

#include <string>
#include <vector>

#include "jujube/wire/messages.h"

namespace jujube::fuzz {

// Encoded input of a decoder and what it holds, for example "fate_news".
struct Seed {
  std::string Name;
  std::string Bytes;
};

// One envelope for each kind of message, in the order of MessageKind.
std::vector<wire::Envelope> sampleEnvelopes();

// The envelopes, one for each body of a group message, and one of each stored
// record, encoded.
std::vector<Seed> wireSeeds();

} // namespace jujube::fuzz

#endif // FUZZ_WIRE_SEEDS_H_
