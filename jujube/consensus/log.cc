#include "jujube/consensus/log.h"

#include <algorithm>
#include <utility>

namespace jujube::consensus {

namespace {
// Index, term, kind, and the overhead of the containers.
constexpr std::size_t EntryOverheadBytes = 64;
constexpr std::size_t MemberBytes = 96;
} // namespace

std::size_t sizeOf(const LogEntry &entry) {
  return EntryOverheadBytes + entry.Payload.size() +
         entry.Members.Members.size() * MemberBytes;
}

Log::Log(DurableState state) {
  if (state.LatestSnapshot)
    restore(std::move(*state.LatestSnapshot));
  for (LogEntry &entry : state.Entries)
    append(std::move(entry));
}

LogIndex Log::last() const {
  return LogIndex{PreviousIndex.Value + Entries.size()};
}

std::optional<Term> Log::termAt(LogIndex index) const {
  if (index == PreviousIndex)
    return PreviousTerm;
  if (index < PreviousIndex || index > last())
    return std::nullopt;
  return at(index).At;
}

const LogEntry &Log::at(LogIndex index) const {
  return Entries[index.Value - PreviousIndex.Value - 1];
}

std::vector<LogEntry> Log::slice(LogIndex from, std::size_t maxBytes) const {
  std::vector<LogEntry> part;
  std::size_t bytes = 0;
  for (LogIndex i = from; i <= last(); i = i.next()) {
    bytes += sizeOf(at(i));
    if (!part.empty() && bytes > maxBytes)
      break;
    part.push_back(at(i));
  }
  return part;
}

LogIndex Log::lastIndexBeforeTermOf(LogIndex index) const {
  const std::optional<Term> term = termAt(index);
  while (index > PreviousIndex && termAt(index) == term)
    index = LogIndex{index.Value - 1};
  return index;
}

void Log::append(LogEntry entry) {
  if (entry.Kind == EntryKind::Membership)
    Memberships.emplace_back(entry.Index, entry.Members);
  Entries.push_back(std::move(entry));
}

void Log::truncateFrom(LogIndex from) {
  while (last() >= from && !Entries.empty())
    Entries.pop_back();
  while (Memberships.size() > 1 && Memberships.back().first >= from)
    Memberships.pop_back();
}

const Membership &Log::membershipAt(LogIndex index) const {
  const auto it = std::find_if(
      Memberships.rbegin(), Memberships.rend(),
      [index](const auto &indexed) { return indexed.first <= index; });
  return it == Memberships.rend() ? Memberships.front().second : it->second;
}

void Log::compact(LogIndex upTo, std::string data, std::size_t retainBytes) {
  Snapshot snapshot{upTo, *termAt(upTo), membershipAt(upTo), std::move(data)};
  Base = std::make_shared<const Snapshot>(std::move(snapshot));
  std::size_t kept = 0;
  LogIndex keepFrom = upTo.next();
  while (keepFrom > first()) {
    kept += sizeOf(at(LogIndex{keepFrom.Value - 1}));
    if (kept > retainBytes)
      break;
    keepFrom = LogIndex{keepFrom.Value - 1};
  }
  while (first() < keepFrom) {
    PreviousIndex = first();
    PreviousTerm = Entries.front().At;
    Entries.pop_front();
  }
  while (Memberships.size() > 1 && Memberships[1].first <= Base->Last)
    Memberships.erase(Memberships.begin());
}

void Log::restore(Snapshot snapshot) {
  Entries.clear();
  PreviousIndex = snapshot.Last;
  PreviousTerm = snapshot.LastTerm;
  Memberships.assign(1, {snapshot.Last, snapshot.Members});
  Base = std::make_shared<const Snapshot>(std::move(snapshot));
}

} // namespace jujube::consensus
