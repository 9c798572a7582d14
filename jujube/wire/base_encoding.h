// cereal functions for the types of jujube/base. They are declared in the
// namespace of their argument types, so that argument-dependent lookup finds
// them.
#ifndef JUJUBE_WIRE_BASE_ENCODING_H_
#define JUJUBE_WIRE_BASE_ENCODING_H_

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <string>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/base/result.h"
#include "jujube/wire/archive.h"

namespace jujube {

template <typename Archive> void save(Archive &ar, const Duration &d) {
  ar(d.millis());
}
template <typename Archive> void load(Archive &ar, Duration &d) {
  int64_t n = 0;
  ar(n);
  d = Duration::millis(n);
}

template <typename Archive> void save(Archive &ar, const Instant &t) {
  ar(t.millis());
}
template <typename Archive> void load(Archive &ar, Instant &t) {
  int64_t n = 0;
  ar(n);
  t = Instant::fromMillis(n);
}

template <typename Archive, typename Tag>
void save(Archive &ar, const TextId<Tag> &id) {
  ar(id.str());
}
template <typename Archive, typename Tag>
void load(Archive &ar, TextId<Tag> &id) {
  std::string text;
  ar(text);
  id = TextId<Tag>(std::move(text));
}

template <typename Archive, typename Tag>
void serialize(Archive &ar, NumberId<Tag> &id) {
  ar(id.Value);
}

template <typename Archive> void serialize(Archive &ar, TaskId &v) {
  ar(v.Request, v.Index);
}
template <typename Archive> void serialize(Archive &ar, AttemptToken &v) {
  ar(v.GroupTerm, v.Attempt);
}
template <typename Archive> void serialize(Archive &ar, Resources &v) {
  ar(v.MilliCpu, v.MemoryMb, v.Accelerators);
}
template <typename Archive> void serialize(Archive &ar, Address &v) {
  ar(v.Ip, v.Port);
}
template <typename Archive> void serialize(Archive &ar, Error &v) {
  ar(v.Kind, v.Message, v.Remedy);
}
template <typename Archive> void serialize(Archive &, Ok &) {}

} // namespace jujube

#endif // JUJUBE_WIRE_BASE_ENCODING_H_
