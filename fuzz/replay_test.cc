// Runs every fuzz target over its corpus without libFuzzer: each file
// unchanged, truncated at every length, and with each byte inverted in turn.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "fuzz/wire_seeds.h"
#include "jujube/http/descriptions.h"
#include "jujube/http/json.h"
#include "jujube/http/translate.h"

// Entry points of the fuzz targets. The build renames LLVMFuzzerTestOneInput in
// each file after that file.
extern "C" {
int httpFuzz(const uint8_t *data, size_t size);
int jsonFuzz(const uint8_t *data, size_t size);
int platformFuzz(const uint8_t *data, size_t size);
int traceFuzz(const uint8_t *data, size_t size);
int wireFuzz(const uint8_t *data, size_t size);
}

namespace jujube::fuzz {
namespace {

namespace fs = std::filesystem;

// Longer inputs, in bytes, are run only unchanged.
constexpr std::size_t MaxDamagedSize = 2048;

struct Target {
  std::string Name;
  int (*Run)(const uint8_t *data, size_t size);
};

const std::vector<Target> Targets = {{"http", httpFuzz},
                                     {"json", jsonFuzz},
                                     {"platform", platformFuzz},
                                     {"trace", traceFuzz},
                                     {"wire", wireFuzz}};

std::string readWhole(const fs::path &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<Seed> corpusOf(const std::string &target) {
  std::vector<Seed> seeds;
  for (const auto &item : fs::directory_iterator("fuzz/corpus/" + target))
    seeds.push_back({item.path().filename(), readWhole(item.path())});
  std::ranges::sort(seeds, {}, &Seed::Name);
  return seeds;
}

void run(const Target &target, const std::string &bytes) {
  // Copies the input to a buffer of the exact size, so that the address
  // sanitizer detects a read beyond its end.
  const std::vector<uint8_t> input(bytes.begin(), bytes.end());
  BOOST_TEST(target.Run(input.data(), input.size()) == 0);
}

void replay(const Target &target, const Seed &seed) {
  BOOST_TEST_CHECKPOINT(target.Name << " " << seed.Name);
  run(target, seed.Bytes);
  if (seed.Bytes.size() > MaxDamagedSize)
    return;
  for (std::size_t i = 0; i < seed.Bytes.size(); ++i) {
    BOOST_TEST_CHECKPOINT(target.Name << " " << seed.Name << " cut or damaged"
                                      << " at byte " << i);
    run(target, seed.Bytes.substr(0, i));
    std::string damaged = seed.Bytes;
    damaged[i] = static_cast<char>(~damaged[i]);
    run(target, damaged);
  }
}

bool hasSeed(const std::vector<Seed> &seeds, const std::string &name) {
  return std::ranges::find(seeds, name, &Seed::Name) != seeds.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplayTest)

BOOST_AUTO_TEST_CASE(EveryTargetIsReplayed) {
  std::set<std::string> expected;
  for (const Target &target : Targets)
    expected.insert(target.Name + "_fuzz.cc");
  std::set<std::string> found;
  for (const auto &item : fs::directory_iterator("fuzz"))
    if (absl::EndsWith(item.path().string(), "_fuzz.cc"))
      found.insert(item.path().filename());
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(TheCorpusBreaksNoTarget) {
  for (const Target &target : Targets) {
    const std::vector<Seed> seeds = corpusOf(target.Name);
    BOOST_TEST(!seeds.empty(), target.Name);
    for (const Seed &seed : seeds)
      replay(target, seed);
  }
}

BOOST_AUTO_TEST_CASE(NoMessageOfTheWireBreaksItsTarget) {
  for (const Seed &seed : wireSeeds())
    replay(Targets.back(), seed);
}

BOOST_AUTO_TEST_CASE(EveryKindOfWireMessageHasASeed) {
  const std::vector<wire::Envelope> samples = sampleEnvelopes();
  BOOST_REQUIRE(samples.size() == wire::MessageKindNames.size());
  for (std::size_t i = 0; i < samples.size(); ++i) {
    BOOST_TEST(samples[i].What.index() == i);
    const auto decoded = wire::decodeEnvelope(wire::encodeEnvelope(samples[i]));
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).What.index() == i);
  }
}

BOOST_AUTO_TEST_CASE(EveryRouteHasASeed) {
  for (const auto &row : http::RouteNames) {
    const std::string name(row.Name);
    const std::vector<std::string> words = absl::StrSplit(
        readWhole("fuzz/corpus/http/" + name), absl::MaxSplits(' ', 2));
    BOOST_REQUIRE(words.size() == 3U);
    const std::vector<std::string> target = absl::StrSplit(words[1], '?');
    const auto match = http::matchRoute(words[0], target[0]);
    BOOST_REQUIRE(isOk(match));
    BOOST_TEST((valueOf(match).Target == row.Value), name);
  }
}

BOOST_AUTO_TEST_CASE(EveryKindOfEditHasASeed) {
  const std::vector<Seed> seeds = corpusOf("json");
  for (const auto &row : http::internal::ChangeKindNames) {
    const std::string name = absl::StrCat("edit_", row.Name, ".json");
    BOOST_REQUIRE(hasSeed(seeds, name));
    const auto edit =
        http::fromJson<catalogue::Edit>(readWhole("fuzz/corpus/json/" + name));
    BOOST_REQUIRE(isOk(edit));
    BOOST_TEST(valueOf(edit).What.index() ==
               static_cast<std::size_t>(row.Value));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::fuzz
