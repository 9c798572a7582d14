// Compares the store with an in-memory model, and covers torn writes and disk
// faults.
#include "jujube/storage/store.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <sys/stat.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <memory>

#include "absl/strings/str_cat.h"
#include "jujube/storage/record.h"

namespace jujube::storage {
namespace {

using consensus::DurableState;
using consensus::EntryKind;
using consensus::LogEntry;
using consensus::Persist;
using consensus::Snapshot;

constexpr Instant WallNow = Instant::fromMillis(1'700'000'000'000);

// A temporary folder that is removed on destruction.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "jujube-XXXXXX").string();
    Path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  std::string data() const { return Path + "/data"; }
  // Path of the journal segment `number`, counted from 1. Each open starts a
  // new segment.
  std::string segment(int number) const {
    std::string digits = absl::StrCat(number);
    return absl::StrCat(data(), "/journal-",
                        std::string(20 - digits.size(), '0'), digits);
  }

private:
  std::string Path;
};

StoreOptions optionsFor(const TemporaryFolder &folder,
                        std::size_t segmentBytes = 4096) {
  StoreOptions options;
  options.Folder = folder.data();
  options.SegmentBytes = segmentBytes;
  // The tests simulate no power failure, so that syncing is not needed.
  options.Hooks.Sync = [](int) { return Ok{}; };
  options.Hooks.SyncFolder = [](const std::string &) { return Ok{}; };
  return options;
}

Store openOrFail(StoreOptions options) {
  Result<Store> store = Store::open(std::move(options), WallNow);
  BOOST_REQUIRE_MESSAGE(isOk(store),
                        (isOk(store) ? std::string() : errorOf(store).text()));
  return valueOf(std::move(store));
}

LogEntry entryAt(uint64_t index, uint64_t term) {
  LogEntry entry{LogIndex{index},
                 Term{term},
                 EntryKind::Command,
                 absl::StrCat("payload ", index, " of ", term),
                 {}};
  if (index % 5 == 0) {
    entry.Kind = EntryKind::Membership;
    entry.Payload.clear();
    entry.Members.Members = {consensus::Member{HostId("host1"), Incarnation{7},
                                               Address{"127.0.0.1", 9}, true}};
  }
  return entry;
}

Persist append(uint64_t from, uint64_t count, uint64_t term = 1) {
  Persist change;
  change.State =
      consensus::HardState{consensus::GroupId{HostId("host1"), Incarnation{7}},
                           Term{term}, HostId("host2"), Incarnation{8}};
  for (uint64_t i = from; i < from + count; ++i)
    change.Entries.push_back(entryAt(i, term));
  return change;
}

void requireOk(const Status &status) {
  BOOST_REQUIRE_MESSAGE(
      isOk(status), (isOk(status) ? std::string() : errorOf(status).text()));
}

// The state that a store is expected to recover.
struct StoreModel {
  DurableState Expected;
  uint64_t NextTerm = 1;

  LogIndex last() const {
    if (!Expected.Entries.empty())
      return Expected.Entries.back().Index;
    return Expected.LatestSnapshot ? Expected.LatestSnapshot->Last : LogIndex{};
  }
  void truncateFrom(LogIndex from) {
    std::erase_if(Expected.Entries, [from](const LogEntry &entry) {
      return entry.Index >= from;
    });
  }
  void appendEntries(Store &store);
  void compact(Store &store);
  void install(Store &store);
};

void StoreModel::appendEntries(Store &store) {
  const LogIndex base =
      Expected.LatestSnapshot ? Expected.LatestSnapshot->Last : LogIndex{};
  const auto drop = *rc::gen::inRange<uint64_t>(0, 4);
  const LogIndex from{
      std::max(base.Value, last().Value - std::min(last().Value, drop)) + 1};
  Persist change =
      append(from.Value, *rc::gen::inRange<uint64_t>(0, 30), NextTerm++);
  if (from <= last())
    change.TruncateFrom = from;
  truncateFrom(from);
  Expected.Hard = *change.State;
  Expected.Entries.insert(Expected.Entries.end(), change.Entries.begin(),
                          change.Entries.end());
  requireOk(store.write(change));
  requireOk(store.sync());
}

void StoreModel::compact(Store &store) {
  if (Expected.Entries.empty())
    return;
  const LogEntry upTo = *rc::gen::elementOf(Expected.Entries);
  Expected.LatestSnapshot = Snapshot{upTo.Index, upTo.At, {}, "state"};
  std::erase_if(Expected.Entries, [&](const LogEntry &entry) {
    return entry.Index <= upTo.Index;
  });
  requireOk(store.saveSnapshot(*Expected.LatestSnapshot));
}

void StoreModel::install(Store &store) {
  Expected.LatestSnapshot =
      Snapshot{LogIndex{last().Value + 3}, Term{NextTerm}, {}, "new"};
  Expected.Entries.clear();
  requireOk(store.installSnapshot(*Expected.LatestSnapshot));
}

BOOST_AUTO_TEST_SUITE(StoreTest)

BOOST_AUTO_TEST_CASE(RecoversWhatWasSynced) {
  BOOST_TEST(rc::check([] {
    const TemporaryFolder folder;
    StoreModel storeModel;
    const auto plan =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    auto store = std::make_unique<Store>(openOrFail(optionsFor(folder, 512)));
    for (const int operation : plan) {
      if (operation == 0)
        storeModel.compact(*store);
      else if (operation == 1)
        storeModel.install(*store);
      else if (operation > 3)
        storeModel.appendEntries(*store);
      if (operation != 2)
        continue;
      store.reset();
      store = std::make_unique<Store>(openOrFail(optionsFor(folder, 512)));
      RC_ASSERT(store->takeRecovered() == storeModel.Expected);
      RC_ASSERT(store->report().TornBytes == 0U);
    }
    store.reset();
    RC_ASSERT(openOrFail(optionsFor(folder)).takeRecovered() ==
              storeModel.Expected);
  }));
}

// A last write that a crash truncated at any byte is discarded, and the write
// before it is kept.
BOOST_AUTO_TEST_CASE(TornLastWriteIsCutOff) {
  const TemporaryFolder folder;
  std::size_t before = 0;
  {
    Store store = openOrFail(optionsFor(folder));
    requireOk(store.write(append(1, 3)));
    requireOk(store.sync());
    before = std::filesystem::file_size(folder.segment(1));
    requireOk(store.write(append(4, 2)));
    requireOk(store.sync());
  }
  const std::string whole = valueOf(readFile(folder.segment(1)));
  for (std::size_t size = before + 1; size < whole.size(); ++size) {
    std::filesystem::remove_all(folder.data());
    std::filesystem::create_directory(folder.data());
    ::chmod(folder.data().c_str(), 0700);
    std::ofstream(folder.segment(1), std::ios::binary)
        .write(whole.data(), static_cast<std::streamsize>(size));
    Store store = openOrFail(optionsFor(folder));
    BOOST_TEST(store.report().TornBytes == size - before);
    BOOST_TEST(store.takeRecovered().Entries.size() == 3U);
    requireOk(store.write(append(4, 1, 2)));
    requireOk(store.sync());
  }
  BOOST_TEST(openOrFail(optionsFor(folder)).takeRecovered().Entries.size() ==
             4U);
}

BOOST_AUTO_TEST_CASE(DamageInTheMiddleIsRefusedWithTheRemedy) {
  const TemporaryFolder folder;
  {
    Store store = openOrFail(optionsFor(folder));
    for (uint64_t i = 1; i <= 3; ++i) {
      requireOk(store.write(append(i, 1)));
      requireOk(store.sync());
    }
  }
  std::string bytes = valueOf(readFile(folder.segment(1)));
  for (std::size_t at = 0; at < bytes.size() * 2 / 3; at += 7) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x40);
    std::ofstream(folder.segment(1), std::ios::binary) << damaged;
    const Result<Store> store = Store::open(optionsFor(folder), WallNow);
    BOOST_REQUIRE(!isOk(store));
    BOOST_TEST((errorOf(store).Kind == ErrorKind::CorruptData));
    BOOST_TEST(errorOf(store).Remedy.find("join again") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(MissingSegmentIsRefused) {
  const TemporaryFolder folder;
  {
    Store store = openOrFail(optionsFor(folder, 64));
    for (uint64_t i = 1; i <= 6; ++i) {
      requireOk(store.write(append(i, 1)));
      requireOk(store.sync());
    }
  }
  std::filesystem::remove(folder.segment(3));
  const Result<Store> store = Store::open(optionsFor(folder, 64), WallNow);
  BOOST_REQUIRE(!isOk(store));
  BOOST_TEST((errorOf(store).Kind == ErrorKind::CorruptData));
}

// Number of writes, syncs and renames when a store opens a new folder.
constexpr int OpenOperationCount = 7;

// Hooks that succeed `n` times and then fail with the errno `code`. A failing
// write still writes the first half of its data.
FileHooks failingAfter(int n, int code) {
  auto left = std::make_shared<int>(n);
  const auto isFailing = [left] { return (*left)-- <= 0; };
  const Error error = fileError("write", "a file", code);
  FileHooks hooks;
  hooks.Write = [=](int fd, absl::string_view data) -> Status {
    if (!isFailing())
      return writeFile(fd, data);
    (void)writeFile(fd, data.substr(0, data.size() / 2));
    return error;
  };
  hooks.Sync = [=](int) -> Status {
    return isFailing() ? Status(error) : Ok{};
  };
  hooks.SyncFolder = [=](const std::string &) -> Status {
    return isFailing() ? Status(error) : Ok{};
  };
  hooks.Rename = [=](const std::string &from, const std::string &to) {
    return isFailing() ? error : renameFile(from, to);
  };
  hooks.Remove = [=](const std::string &path) {
    return isFailing() ? error : removeFile(path);
  };
  return hooks;
}

// Whichever disk operation fails first, the store acknowledges no further
// change, and recovery finds all acknowledged changes.
BOOST_AUTO_TEST_CASE(FailingDiskStopsAcknowledging) {
  for (const int code : {ENOSPC, EIO}) {
    for (int n = OpenOperationCount; n < 60; ++n) {
      const TemporaryFolder folder;
      StoreOptions options = optionsFor(folder, 256);
      options.Hooks = failingAfter(n, code);
      Result<Store> opened = Store::open(options, WallNow);
      BOOST_REQUIRE(isOk(opened));
      uint64_t synced = 0;
      Status status = Ok{};
      for (uint64_t i = 1; isOk(status); ++i) {
        requireOk(valueOf(opened).write(append(i, 1)));
        status = valueOf(opened).sync();
        synced += isOk(status) ? 1 : 0;
        if (i % 7 == 0 && isOk(status))
          status = valueOf(opened).saveSnapshot(
              Snapshot{LogIndex{i - 1}, Term{1}, {}, "s"});
      }
      BOOST_TEST((errorOf(status).Kind == (code == ENOSPC
                                               ? ErrorKind::StorageFull
                                               : ErrorKind::StorageFailed)));
      BOOST_TEST(!isOk(valueOf(opened).write(append(99, 1))));
      BOOST_TEST(!isOk(valueOf(opened).sync()));
      opened = Error{};
      const DurableState state =
          openOrFail(optionsFor(folder, 256)).takeRecovered();
      const uint64_t base =
          state.LatestSnapshot ? state.LatestSnapshot->Last.Value : 0;
      BOOST_TEST(base + state.Entries.size() >= synced);
      BOOST_TEST(base + state.Entries.size() <= synced + 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(FolderIsGuarded) {
  const TemporaryFolder folder;
  {
    const Store store = openOrFail(optionsFor(folder));
    BOOST_TEST(store.incarnation().Value ==
               static_cast<uint64_t>(WallNow.millis()));
    BOOST_TEST(!isOk(Store::open(optionsFor(folder), WallNow)));
  }
  const Result<Store> later =
      Store::open(optionsFor(folder), WallNow + Duration::minutes(1));
  BOOST_TEST(valueOf(later).incarnation().Value ==
             static_cast<uint64_t>(WallNow.millis()));
  ::chmod(folder.data().c_str(), 0755);
  const Result<Store> open = Store::open(optionsFor(folder), WallNow);
  BOOST_REQUIRE(!isOk(open));
  BOOST_TEST((errorOf(open).Kind == ErrorKind::PermissionDenied));
}

BOOST_AUTO_TEST_CASE(DecodersRefuseArbitraryBytes) {
  BOOST_TEST(rc::check([](const std::string &bytes) {
    (void)decodeChanges(bytes);
    (void)decodeSnapshot(bytes);
    const Snapshot snapshot{LogIndex{3}, Term{2}, {}, bytes};
    const std::string whole = encodeSnapshot(snapshot);
    RC_ASSERT(valueOf(decodeSnapshot(whole)) == snapshot);
    const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!isOk(decodeSnapshot(whole.substr(0, size))));
  }));
}

// A process that ends between its last write and the sync leaves unsynced bytes
// that recovery reads. Recovery must sync them, or a later power failure could
// lose state that the store already relies on.
BOOST_AUTO_TEST_CASE(RecoverySyncsWhatItReliesOn) {
  const TemporaryFolder folder;
  {
    Store store = openOrFail(optionsFor(folder));
    requireOk(store.write(append(1, 3)));
    requireOk(store.sync());
  }
  std::vector<std::string> synced;
  StoreOptions options = optionsFor(folder);
  options.Hooks.Sync = [&synced](int fd) {
    synced.push_back(
        std::filesystem::read_symlink(absl::StrCat("/proc/self/fd/", fd)));
    return Ok{};
  };
  (void)openOrFail(options);
  BOOST_TEST(std::ranges::count(synced, folder.segment(1)) == 1);
}

// A power failure can undo the removal of segments that a snapshot covers.
BOOST_AUTO_TEST_CASE(RemovedSegmentsThatComeBackDoNoHarm) {
  const TemporaryFolder folder;
  const std::string kept = folder.segment(1) + ".kept";
  {
    Store store = openOrFail(optionsFor(folder, 64));
    for (uint64_t i = 1; i <= 6; ++i) {
      requireOk(store.write(append(i, 1)));
      requireOk(store.sync());
    }
    std::filesystem::copy_file(folder.segment(1), kept);
    Snapshot snapshot{LogIndex{5}, Term{1}, {}, "state"};
    requireOk(store.saveSnapshot(snapshot));
    BOOST_REQUIRE(!std::filesystem::exists(folder.segment(1)));
    BOOST_REQUIRE(!std::filesystem::exists(folder.segment(2)));
  }
  std::filesystem::rename(kept, folder.segment(1));
  Store store = openOrFail(optionsFor(folder));
  const DurableState state = store.takeRecovered();
  BOOST_REQUIRE(state.LatestSnapshot.has_value());
  BOOST_TEST(state.LatestSnapshot->Last.Value == 5U);
  BOOST_REQUIRE(state.Entries.size() == 1U);
  BOOST_TEST(state.Entries[0].Index.Value == 6U);
  BOOST_TEST(!std::filesystem::exists(folder.segment(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::storage
