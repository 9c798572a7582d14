#include "jujube/storage/encoding.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <exception>
#include <sstream>
#include <utility>

namespace jujube::storage {

namespace {

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

// Thrown by get() for a value that no encoder writes; decode() turns it into an
// error.
struct InvalidValue : std::exception {};

void put(Writer &out, const HostId &id) { out(id.str()); }
void get(Reader &in, HostId &id) {
  std::string text;
  in(text);
  id = HostId(std::move(text));
}

template <typename Tag> void put(Writer &out, NumberId<Tag> n) { out(n.Value); }
template <typename Tag> void get(Reader &in, NumberId<Tag> &n) { in(n.Value); }

void put(Writer &out, const consensus::Member &member) {
  put(out, member.Host);
  put(out, member.HostIncarnation);
  out(member.At.Ip, member.At.Port, member.IsVoter);
}
void get(Reader &in, consensus::Member &member) {
  get(in, member.Host);
  get(in, member.HostIncarnation);
  in(member.At.Ip, member.At.Port, member.IsVoter);
}

void put(Writer &out, const consensus::LogEntry &entry);
void get(Reader &in, consensus::LogEntry &entry);
void put(Writer &out, const Change &change);
void get(Reader &in, Change &change);

template <typename T> void putAll(Writer &out, const std::vector<T> &items) {
  out(static_cast<uint32_t>(items.size()));
  for (const T &item : items)
    put(out, item);
}
template <typename T> void getAll(Reader &in, std::vector<T> &items) {
  uint32_t n = 0;
  in(n);
  for (uint32_t i = 0; i < n; ++i)
    get(in, items.emplace_back());
}

void put(Writer &out, const consensus::LogEntry &entry) {
  put(out, entry.Index);
  put(out, entry.At);
  out(static_cast<uint8_t>(entry.Kind), entry.Payload);
  if (entry.Kind == consensus::EntryKind::Membership)
    putAll(out, entry.Members.Members);
}
void get(Reader &in, consensus::LogEntry &entry) {
  uint8_t kind = 0;
  get(in, entry.Index);
  get(in, entry.At);
  in(kind, entry.Payload);
  if (kind >= consensus::EntryKindNames.size())
    throw InvalidValue();
  entry.Kind = static_cast<consensus::EntryKind>(kind);
  if (entry.Kind == consensus::EntryKind::Membership)
    getAll(in, entry.Members.Members);
}

void put(Writer &out, const consensus::HardState &state) {
  put(out, state.Group.Founder);
  put(out, state.Group.FounderIncarnation);
  put(out, state.Current);
  put(out, state.VotedFor);
  put(out, state.VotedForIncarnation);
}
void get(Reader &in, consensus::HardState &state) {
  get(in, state.Group.Founder);
  get(in, state.Group.FounderIncarnation);
  get(in, state.Current);
  get(in, state.VotedFor);
  get(in, state.VotedForIncarnation);
}

void put(Writer &out, const Change &change) {
  out(change.State.has_value());
  if (change.State)
    put(out, *change.State);
  put(out, change.TruncateFrom);
  putAll(out, change.Entries);
}
void get(Reader &in, Change &change) {
  bool hasState = false;
  in(hasState);
  if (hasState)
    get(in, change.State.emplace());
  get(in, change.TruncateFrom);
  getAll(in, change.Entries);
}

void put(Writer &out, const consensus::Snapshot &snapshot) {
  put(out, snapshot.Last);
  put(out, snapshot.LastTerm);
  putAll(out, snapshot.Members.Members);
  out(snapshot.Data);
}
void get(Reader &in, consensus::Snapshot &snapshot) {
  get(in, snapshot.Last);
  get(in, snapshot.LastTerm);
  getAll(in, snapshot.Members.Members);
  in(snapshot.Data);
}

template <typename Fill> std::string encode(const Fill &fill) {
  std::ostringstream out;
  Writer archive(out);
  fill(archive);
  return std::move(out).str();
}

template <typename T, typename Fill>
Result<T> decode(absl::string_view bytes, const Fill &fill) {
  try {
    std::istringstream in{std::string(bytes)};
    Reader archive(in);
    T value;
    fill(archive, value);
    return value;
  } catch (const std::exception &) {
    return Error{ErrorKind::CorruptData, "a storage record can't be decoded",
                 "clear the data folder and let the host join again"};
  }
}

} // namespace

std::string encodeChanges(const std::vector<Change> &changes) {
  return encode([&](Writer &out) { putAll(out, changes); });
}

Result<std::vector<Change>> decodeChanges(absl::string_view bytes) {
  return decode<std::vector<Change>>(
      bytes, [](Reader &in, auto &changes) { getAll(in, changes); });
}

std::string encodeSnapshot(const consensus::Snapshot &snapshot) {
  return encode([&](Writer &out) { put(out, snapshot); });
}

Result<consensus::Snapshot> decodeSnapshot(absl::string_view bytes) {
  return decode<consensus::Snapshot>(
      bytes, [](Reader &in, auto &snapshot) { get(in, snapshot); });
}

} // namespace jujube::storage
