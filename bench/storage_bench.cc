// Measures the journal and the replicated log: appends a second by size of the
// group commit, recovery time by journal length, bytes and processor time for
// each entry.
#include <sys/resource.h>

#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/settings.h"
#include "jujube/consensus/node.h"
#include "jujube/storage/store.h"

namespace jujube {
namespace {

constexpr int64_t PayloadBytes = 200;

// Processor time of this process in microseconds.
int64_t processorMicros() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval &t) {
    return int64_t{t.tv_sec} * 1'000'000 + t.tv_usec;
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

consensus::Persist changeOf(uint64_t from, uint64_t count) {
  consensus::Persist change;
  for (uint64_t i = from; i < from + count; ++i)
    change.Entries.push_back(consensus::LogEntry{LogIndex{i},
                                                 Term{1},
                                                 consensus::EntryKind::Command,
                                                 std::string(PayloadBytes, 'x'),
                                                 {}});
  return change;
}

Result<storage::Store> openEmpty(const std::string &folder) {
  std::filesystem::remove_all(folder);
  return storage::Store::open({folder}, Clock::wall().now());
}

// Appends `batch` entries per sync for `span`.
Status measureAppends(const std::string &folder, uint64_t batch,
                      Duration span) {
  Result<storage::Store> store = openEmpty(folder);
  if (!isOk(store))
    return errorOf(store);
  const Clock clock = Clock::monotonic();
  const Instant begin = clock.now();
  const int64_t cpu = processorMicros();
  uint64_t written = 0;
  while (clock.now() < begin + span) {
    if (Status status = valueOf(store).write(changeOf(written + 1, batch));
        !isOk(status))
      return status;
    if (Status status = valueOf(store).sync(); !isOk(status))
      return status;
    written += batch;
  }
  const auto ms = static_cast<double>((clock.now() - begin).millis());
  const auto n = static_cast<double>(written);
  std::printf("appends: %4llu a sync: %9.0f entries/s, %7.0f syncs/s, "
              "%6.1f bytes and %5.2f us of processor an entry\n",
              static_cast<unsigned long long>(batch), n * 1000 / ms,
              n * 1000 / ms / static_cast<double>(batch),
              static_cast<double>(valueOf(store).journalBytes()) / n,
              static_cast<double>(processorMicros() - cpu) / n);
  return Ok{};
}

Status measureRecovery(const std::string &folder, uint64_t entries) {
  constexpr uint64_t Batch = 1000;
  {
    Result<storage::Store> store = openEmpty(folder);
    if (!isOk(store))
      return errorOf(store);
    for (uint64_t n = 0; n < entries; n += Batch) {
      if (Status status = valueOf(store).write(changeOf(n + 1, Batch));
          !isOk(status))
        return status;
      if (Status status = valueOf(store).sync(); !isOk(status))
        return status;
    }
  }
  const Clock clock = Clock::monotonic();
  const Instant begin = clock.now();
  Result<storage::Store> store =
      storage::Store::open({folder}, Clock::wall().now());
  if (!isOk(store))
    return errorOf(store);
  std::printf(
      "recovery: %7llu entries, %9llu bytes: %5lld ms\n",
      static_cast<unsigned long long>(entries),
      static_cast<unsigned long long>(valueOf(store).report().JournalBytes),
      static_cast<long long>((clock.now() - begin).millis()));
  return Ok{};
}

// A group of diskless nodes in one process, with messages handed over at once.
class Group {
public:
  Group(std::size_t hosts, std::size_t retainBytes) {
    std::vector<consensus::Peer> peers;
    for (std::size_t i = 0; i < hosts; ++i)
      peers.push_back({idOf(i), Address{"127.0.0.1", 1}});
    for (const consensus::Peer &peer : peers) {
      consensus::Options options;
      options.Self = peer;
      options.HostIncarnation = Incarnation{1};
      options.Configured = peers;
      options.Rule = consensus::Formation::WhenMajorityEmpty;
      options.IsDurable = false;
      options.RetainBytes = retainBytes;
      auto node = consensus::Node::create(options, {},
                                          std::mt19937_64(Nodes.size()), Now);
      Nodes.emplace(peer.Host, valueOf(std::move(node)));
    }
  }

  // Runs until a leader serves.
  void elect() {
    while (leader() == nullptr)
      advance(Duration::millis(10));
  }
  void advance(Duration span) {
    Now = Now + span;
    for (auto &[host, node] : Nodes)
      if (node.nextWake() <= Now)
        perform(host, node.tick(Now));
  }
  void propose(uint64_t count) {
    consensus::Node &node = *leader();
    for (uint64_t n = 0; n < count; ++n)
      perform(node.leader(),
              node.propose(++Proposals, std::string(PayloadBytes, 'x'), Now));
    perform(node.leader(), node.tick(Now));
  }
  void compactAll() {
    for (auto &[host, node] : Nodes)
      node.compact(node.commitIndex(), {});
  }
  uint64_t messages() const { return Messages; }
  uint64_t committed() const { return Committed; }

private:
  static HostId idOf(std::size_t i) {
    return HostId("host" + std::to_string(i));
  }
  consensus::Node *leader() {
    for (auto &[host, node] : Nodes)
      if (node.mayServe(Now))
        return &node;
    return nullptr;
  }
  void perform(const HostId &from, consensus::Actions actions) {
    for (consensus::Action &action : actions) {
      if (const auto *apply = std::get_if<consensus::Apply>(&action))
        Committed += apply->ProposalId ? 1 : 0;
      if (const auto *send = std::get_if<consensus::Send>(&action)) {
        ++Messages;
        consensus::Node &to = Nodes.at(send->To);
        perform(send->To, to.receive(from, send->What, Now));
      }
    }
  }

  std::map<HostId, consensus::Node> Nodes;
  Instant Now = Instant::fromMillis(1000);
  uint64_t Proposals = 0;
  uint64_t Messages = 0;
  uint64_t Committed = 0;
};

void measureConsensus(std::size_t hosts, uint64_t batch, uint64_t entries) {
  Group group(hosts, 1 << 20);
  group.elect();
  const uint64_t messages = group.messages();
  const int64_t cpu = processorMicros();
  constexpr uint64_t CompactEvery = 20'000;
  for (uint64_t n = 0; n < entries; n += batch) {
    group.propose(batch);
    if (n % CompactEvery < batch)
      group.compactAll();
    group.advance(Duration::millis(1));
  }
  const auto n = static_cast<double>(group.committed());
  std::printf("consensus: %zu members, %3llu proposals a batch: %6.2f us of "
              "processor in all members, %5.2f messages an entry\n",
              hosts, static_cast<unsigned long long>(batch),
              static_cast<double>(processorMicros() - cpu) / n,
              static_cast<double>(group.messages() - messages) / n);
}

void measureIdle(std::size_t hosts) {
  Group group(hosts, 1 << 20);
  group.elect();
  const uint64_t messages = group.messages();
  const int64_t cpu = processorMicros();
  constexpr int Seconds = 1000;
  for (int ms = 0; ms < Seconds * 1000; ms += 10)
    group.advance(Duration::millis(10));
  std::printf("idle: %zu members: %5.1f messages/s, %6.1f us of processor a "
              "second in all members\n",
              hosts, static_cast<double>(group.messages() - messages) / Seconds,
              static_cast<double>(processorMicros() - cpu) / Seconds);
}

int fail(const Error &error) {
  std::fprintf(stderr, "%s\n", error.text().c_str());
  return 1;
}

int run(const Settings &settings) {
  const std::string &folder = settings.text("folder");
  const Duration span = settings.duration("span");
  for (const uint64_t batch : {1, 16, 256})
    if (Status status = measureAppends(folder, batch, span); !isOk(status))
      return fail(errorOf(status));
  for (const uint64_t entries : {10'000, 50'000, 250'000})
    if (Status status = measureRecovery(folder, entries); !isOk(status))
      return fail(errorOf(status));
  std::filesystem::remove_all(folder);
  for (const std::size_t hosts : {3, 5})
    for (const uint64_t batch : {1, 64})
      measureConsensus(hosts, batch, 200'000);
  for (const std::size_t hosts : {3, 5})
    measureIdle(hosts);
  return 0;
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  const std::vector<jujube::SettingSpec> specs = {
      {"folder", jujube::SettingKind::Text, "/tmp/jujube-storage-bench",
       "where the journal is written; cleared first"},
      {"span", jujube::SettingKind::Millis, "3000",
       "how long each rate of appends is measured"},
  };
  const auto parsed =
      jujube::parseCommandLine("storage-bench", specs, argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  return jujube::run(std::get<jujube::Settings>(parsed));
}
