// Valid messages and records that seed the fuzzing of the wire decoders. Each
// run encodes them anew, because stored seeds would be rejected by the decoders
// after a change of the encoding.
#ifndef FUZZ_WIRE_SEEDS_H_
#define FUZZ_WIRE_SEEDS_H_

#include <string>
#include <vector>

#include "jujube/wire/messages.h"

namespace jujube::fuzz {

// Encoded input of a decoder. `Name` is the seed's file name and states the
// kind of its content, for example "fate_news".
struct Seed {
  std::string Name;
  std::string Bytes;
};

// Returns one envelope of each message kind, in the order of MessageKind.
std::vector<wire::Envelope> sampleEnvelopes();

// Returns the encoded seeds: the sample envelopes, one envelope for each kind
// of consensus message, fleet command, control call and control reply, and the
// stored records.
std::vector<Seed> wireSeeds();

} // namespace jujube::fuzz

#endif // FUZZ_WIRE_SEEDS_H_
