// Tests disk failures of keepers, over real processes on loopback.
#include <signal.h>
#include <sys/resource.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"
#include "testing/cell.h"

namespace jujube::testing {
namespace {

namespace fs = std::filesystem;

constexpr char Victim[] = "keeper-2";
constexpr int MaxEdits = 200;

std::string readAll(const fs::path &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// A cell without workers, and the teams whose edits it has acknowledged.
struct DiskCell {
  std::unique_ptr<Cell> Running;
  std::set<std::string> Acknowledged;
  int Tries = 0;

  DiskCell() {
    CellOptions options;
    options.WorkersPerZone = 0;
    auto cell = Cell::start(options);
    const std::string why = isOk(cell) ? "" : errorOf(cell).text();
    BOOST_REQUIRE_MESSAGE(why.empty(), why);
    Running = valueOf(std::move(cell));
  }

  // Creates one more team; true if the edit was acknowledged.
  bool addTeam() {
    const std::string name = absl::StrCat("team-", ++Tries);
    const auto receipt = Running->edit(
        {EditId("put-" + name), Revision{},
         catalogue::PutTeam{{TeamId(name), 1, Resources{1000, 1024, 0}}},
         "test"});
    if (isOk(receipt))
      Acknowledged.insert(name);
    return isOk(receipt);
  }

  void addTeams(int n) {
    for (int i = 0; i < n; ++i)
      BOOST_REQUIRE(eventually([this] { return addTeam(); }));
  }

  // Without `other`, the victim is needed for a majority, so an acknowledged
  // edit proves that it has caught up.
  void checkNothingIsLostWithout(const std::string &other) {
    Running->signal(other, SIGKILL);
    addTeams(1);
    const auto contents = Running->catalogue("");
    BOOST_REQUIRE(isOk(contents));
    std::set<std::string> present;
    for (const auto &team : valueOf(contents).Teams)
      present.insert(team.Value.Id.str());
    BOOST_TEST(std::ranges::includes(present, Acknowledged));
  }

  fs::path newestSegment() const {
    std::set<fs::path> segments;
    for (const auto &file : fs::directory_iterator(Running->dataFolder(Victim)))
      if (file.path().filename().string().starts_with("journal-"))
        segments.insert(file.path());
    BOOST_REQUIRE(!segments.empty());
    return *segments.rbegin();
  }

  // The journal stores team names as plain text.
  bool hasJournaled(const std::string &text) const {
    const fs::path folder = Running->dataFolder(Victim);
    return fs::exists(folder) &&
           std::ranges::any_of(
               fs::directory_iterator(folder), [&](const auto &file) {
                 return readAll(file.path()).find(text) != std::string::npos;
               });
  }

  bool hasLogged(const std::string &text) const {
    return Running->logOf(Victim).find(text) != std::string::npos;
  }
};

void flipByte(const fs::path &path, std::streamoff at) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(at);
  const int byte = file.get();
  file.seekp(at);
  file.put(static_cast<char>(byte ^ 0xff));
}

BOOST_FIXTURE_TEST_SUITE(CellDiskSuite, DiskCell)

BOOST_AUTO_TEST_CASE(KeeperWithAFullDiskStopsAndTheOthersGoOn) {
  addTeams(2);
  const rlim_t size = fs::file_size(newestSegment());
  const rlimit full{size, RLIM_INFINITY};
  BOOST_REQUIRE(prlimit(Running->pidOf(Victim), RLIMIT_FSIZE, &full, nullptr) ==
                0);
  for (int i = 0; i < MaxEdits && !hasLogged("event=gave_up"); ++i)
    addTeams(1);
  // The keeper exits with its own error, not by the signal of the size limit.
  BOOST_TEST((Running->awaitEnd(Victim) == std::optional<int>(1)));
  BOOST_TEST(hasLogged("storage_full"));
  BOOST_TEST(hasLogged("free space on the data folder's disk"));
  addTeams(2);
  Running->restart(Victim);
  checkNothingIsLostWithout("keeper-1");
}

BOOST_AUTO_TEST_CASE(KeeperWithATornJournalRestartsAndCatchesUp) {
  addTeams(3);
  Running->signal(Victim, SIGKILL);
  addTeams(1);
  const fs::path segment = newestSegment();
  fs::resize_file(segment, fs::file_size(segment) - 3);
  Running->restart(Victim);
  checkNothingIsLostWithout("keeper-3");
  BOOST_TEST(hasLogged("event=journal_opened"));
}

BOOST_AUTO_TEST_CASE(KeeperWithADamagedJournalIsRefusedAndTheOthersGoOn) {
  addTeams(3);
  Running->signal(Victim, SIGKILL);
  const fs::path segment = newestSegment();
  flipByte(segment, static_cast<std::streamoff>(fs::file_size(segment) / 2));
  Running->restart(Victim);
  BOOST_TEST((Running->awaitEnd(Victim) == std::optional<int>(1)));
  BOOST_TEST(hasLogged("corrupt_data"));
  BOOST_TEST(hasLogged("clear this data folder"));
  addTeams(2);
  const std::string latest = absl::StrCat("team-", Tries);
  // Once the data folder is cleared, as the error text says, the host rejoins
  // and catches up.
  fs::remove_all(Running->dataFolder(Victim));
  Running->restart(Victim);
  BOOST_TEST(eventually([&] { return hasJournaled(latest); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
