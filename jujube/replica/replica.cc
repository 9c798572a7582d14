#include "jujube/replica/replica.h"

#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/logging/line.h"

namespace jujube::replica {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// The log is compacted into a snapshot after this many applied entries, or
// after this many bytes of commands if the state is smaller than those
// commands.
constexpr uint64_t CompactAfterEntries = 20'000;
constexpr std::size_t CompactAfterBytes = 16 << 20;

} // namespace

Replica::Replica(runtime::PollLoop &loop, consensus::Node node,
                 ReplicaHooks hooks, std::optional<DiskHooks> disk)
    : Loop(loop), Node(std::move(node)), Hooks(std::move(hooks)),
      Disk(std::move(disk)) {}

Result<std::unique_ptr<Replica>>
Replica::create(runtime::PollLoop &loop, consensus::Options options,
                consensus::DurableState initial, uint64_t seed,
                ReplicaHooks hooks, std::optional<DiskHooks> disk) {
  options.IsDurable = disk.has_value();
  if (initial.LatestSnapshot)
    hooks.Restore(initial.LatestSnapshot->Data);
  const LogIndex base =
      initial.LatestSnapshot ? initial.LatestSnapshot->Last : LogIndex{};
  auto node = consensus::Node::create(std::move(options), std::move(initial),
                                      std::mt19937_64(seed), loop.now());
  if (!isOk(node))
    return errorOf(node);
  std::unique_ptr<Replica> replica(new Replica(
      loop, valueOf(std::move(node)), std::move(hooks), std::move(disk)));
  replica->LastApplied = base;
  replica->LastCompacted = base;
  loop.onTurnEnd([raw = replica.get()] { raw->endTurn(); });
  // Ends the first turn of the loop at once, so that endTurn() starts the
  // timers.
  loop.callAt(loop.now(), [] {});
  return replica;
}

void Replica::propose(std::string payload, ProposalHook done) {
  const uint64_t id = ++LastProposal;
  Proposals[id] = std::move(done);
  run(Node.propose(id, std::move(payload), Loop.now()));
}

void Replica::receive(const HostId &from, const consensus::Message &message) {
  run(Node.receive(from, message, Loop.now()));
}

void Replica::transferLeadership() { run(Node.transferLeadership(Loop.now())); }

std::vector<Address> Replica::memberAddresses() const {
  std::vector<Address> addresses;
  for (const consensus::Member &member : Node.membership().Members)
    addresses.push_back(member.At);
  return addresses;
}

void Replica::endTurn() {
  if (HasFailed)
    return;
  // Heartbeats are sent before the owner does its work of this turn.
  tickIfDue();
  if (BeforeFlush)
    BeforeFlush();
  do {
    tickIfDue();
  } while (flush());
  compactIfDue();
  if (WakeTimer)
    Loop.cancel(*WakeTimer);
  WakeTimer = Loop.callAt(Node.nextWake(), [this] { WakeTimer.reset(); });
}

void Replica::tickIfDue() {
  if (Node.nextWake() <= Loop.now())
    run(Node.tick(Loop.now()));
}

void Replica::run(consensus::Actions actions) {
  for (consensus::Action &action : actions)
    std::visit([this](auto &a) { handle(a); }, action);
}

bool Replica::flush() {
  if (Unwritten.empty() || HasFailed)
    return false;
  const std::vector<consensus::Persist> batch = std::exchange(Unwritten, {});
  if (Status status = Disk->Write(batch); !isOk(status)) {
    fail(errorOf(status));
    return false;
  }
  run(Node.persisted(batch.back().Serial, Loop.now()));
  return true;
}

void Replica::compactIfDue() {
  const uint64_t entries = LastApplied.Value - LastCompacted.Value;
  if (entries < CompactAfterEntries && BytesSinceCompaction < CompactAfterBytes)
    return;
  std::string data = Hooks.Capture();
  // A state larger than the commands since the last compaction is not worth a
  // snapshot yet.
  if (entries < CompactAfterEntries && BytesSinceCompaction < data.size())
    return;
  Node.compact(LastApplied, std::move(data));
  if (Disk) {
    if (Status status = Disk->SaveSnapshot(*Node.log().base()); !isOk(status)) {
      fail(errorOf(status));
      return;
    }
  }
  LastCompacted = LastApplied;
  BytesSinceCompaction = 0;
}

void Replica::handle(consensus::Send &action) { Hooks.Send(action); }

void Replica::handle(consensus::Persist &action) {
  Unwritten.push_back(std::move(action));
}

void Replica::handle(consensus::Apply &action) {
  LastApplied = action.Entry.Index;
  if (action.Entry.Kind == consensus::EntryKind::Command) {
    BytesSinceCompaction += action.Entry.Payload.size();
    Hooks.Apply(action.Entry.Payload);
  }
  if (action.ProposalId)
    finishProposal(*action.ProposalId, Ok{});
}

void Replica::handle(consensus::RestoreSnapshot &action) {
  flush();
  LastApplied = action.NewSnapshot.Last;
  LastCompacted = action.NewSnapshot.Last;
  BytesSinceCompaction = 0;
  Hooks.Restore(action.NewSnapshot.Data);
  if (!Disk)
    return;
  if (Status status = Disk->InstallSnapshot(action.NewSnapshot);
      !isOk(status)) {
    fail(errorOf(status));
    return;
  }
  run(Node.persisted(action.Serial, Loop.now()));
}

void Replica::handle(consensus::RoleChanged &action) {
  Line(Event::RoleChanged)
      .with("role", nameIn(consensus::RoleNames, action.Now))
      .with("term", action.At)
      .with("leader", action.Leader);
  Hooks.RoleChanged(action);
}

void Replica::handle(consensus::ProposalRefused &action) {
  finishProposal(action.ProposalId, action.Reason);
}

void Replica::handle(consensus::ProposalUnresolved &action) {
  finishProposal(action.ProposalId,
                 Error{ErrorKind::Unavailable,
                       "the leader changed before the change was committed",
                       "resend the request with the same id"});
}

void Replica::handle(consensus::Superseded &) {
  fail(Error{ErrorKind::StaleData,
             "the group of this member has permanently lost its quorum",
             "a diskless member restarts by itself; for a member with a disk, "
             "see OPERATIONS.md"});
}

void Replica::finishProposal(uint64_t proposalId, const Status &status) {
  const auto it = Proposals.find(proposalId);
  if (it == Proposals.end())
    return;
  const ProposalHook done = std::move(it->second);
  Proposals.erase(it);
  done(status);
}

void Replica::fail(const Error &error) {
  if (std::exchange(HasFailed, true))
    return;
  Line(Event::ReplicaFailed, Level::Error).with("error", error.text());
  Hooks.Fail(error);
}

} // namespace jujube::replica
