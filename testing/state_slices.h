// Simulates a keepers' ledger and zones over a faulty network, to check that no
// team ever runs more than its ceiling.
#ifndef TESTING_STATE_SLICES_H_
#define TESTING_STATE_SLICES_H_

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/limits/lease_table.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/limits/zone_slices.h"

namespace jujube::testing {

inline constexpr uint32_t SliceZones = 3;
inline constexpr uint32_t SliceTeams = 2;

// The state of the link between a zone and the keepers.
enum class LinkState { Clean, Lossy, Slow, Cut };

// Steps the state machines in ticks of real time. Every process has its own
// clock; origins differ, and rates differ within the drift bound.
class SliceDriver {
public:
  explicit SliceDriver(uint32_t seed);

  // Lets real time pass and checks the ceilings at every tick. Returns false
  // as soon as a team runs more than its ceiling.
  bool advance(Duration span);

  void setLink(uint32_t zone, LinkState state) { Zones[zone].Link = state; }
  // Sets the number of tasks that the team wants to run in the zone.
  void setDemand(uint32_t zone, uint32_t team, uint32_t tasks);
  // Sets whether the zone's leader reaches its workers. If not, tasks stop only
  // when their lease ends.
  void setWorkersReachable(uint32_t zone, bool isReachable);
  // Sets whether the zone's group is unable to commit.
  void setJournalStalled(uint32_t zone, bool isStalled);
  // Kills the zone's leader; another takes over after `span`.
  void killLeader(uint32_t zone, Duration span);
  // Replaces the keeper; another takes over after `span`.
  void changeKeeper(Duration span);
  // Sets the team's ceiling, in tasks.
  void setCeiling(uint32_t team, uint32_t tasks);

  uint32_t running(uint32_t zone, uint32_t team) const;
  bool isCeilingMet(uint32_t team) const;
  const limits::SliceLedger &ledger() const { return Ledger; }

private:
  struct Zone {
    ZoneId Id;
    // Offset and rate of the zone's clock.
    int64_t Origin = 0;
    int64_t RatePermille = 1000;
    LinkState Link = LinkState::Clean;
    bool AreWorkersReachable = true;
    bool IsJournalStalled = false;
    Term LeaderTerm;
    std::optional<limits::ZoneSlices> Leader;
    Instant LeaderFrom;
    limits::SliceHoldings Holdings;
    std::vector<limits::SliceUpdate> Proposed;
    // When the workers' leases were last renewed, on the zone's clock.
    Instant LastRenewal;
    std::array<uint32_t, SliceTeams> Demand{};
    std::array<uint32_t, SliceTeams> Running{};
  };
  struct Message {
    Instant DueAt;
    uint32_t Zone;
    std::variant<limits::SliceReport, limits::SliceReply> Body;
  };

  Instant localTime(const Zone &zone) const;
  Instant keeperTime() const;
  uint32_t random(uint32_t n);

  void tickZone(Zone &zone);
  void lead(Zone &zone, Instant now);
  void stopExcess(Zone &zone, Instant now);
  void startTasks(Zone &zone, Instant now);
  std::vector<limits::TeamDemand> demandsOf(const Zone &zone) const;
  void sendReport(Zone &zone, const std::vector<limits::TeamDemand> &demands,
                  Instant now);
  void takeOver(Zone &zone);
  void commit(Zone &zone);
  void tickKeeper();
  void deliverDue();
  void send(uint32_t zone, Message message);
  void handle(const limits::SliceReport &report, uint32_t zone);
  void handle(const limits::SliceReply &reply, uint32_t zone);
  bool checkCeilings();

  limits::SlicePolicy Policy;
  std::minstd_rand Generator;
  Instant Now;
  int64_t Ticks = 0;
  limits::SliceLedger Ledger;
  limits::LeaseTable<ZoneId> Leases;
  Instant KeeperFrom;
  std::array<Zone, SliceZones> Zones;
  // The largest ceiling that may still be in use.
  std::array<Resources, SliceTeams> Bounds;
  std::vector<Message> Messages;
};

} // namespace jujube::testing

#endif // TESTING_STATE_SLICES_H_
