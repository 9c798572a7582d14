// A deterministic driver that steps consensus nodes over a network that loses,
// delays, reorders and duplicates messages, on clocks that drift, with crashes
// that lose unsynced data.
#ifndef JUJUBE_TESTING_CONSENSUS_DRIVER_H_
#define JUJUBE_TESTING_CONSENSUS_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/consensus/node.h"
#include "testing/consensus_driver_oracle.h"

namespace jujube::testing {

struct DriverOptions {
  std::size_t Hosts = 3;
  // Additional hosts, which join the group but never found one.
  std::size_t Standbys = 0;
  bool IsDurable = true;
  uint64_t Seed = 1;
  // Shares of all messages, per mille.
  uint32_t LossPerMille = 0;
  uint32_t DuplicatePerMille = 0;
  uint32_t LongDelayPerMille = 0;
  Duration MaxDelay = Duration::millis(5);
  Duration MaxLongDelay = Duration::seconds(3);
  Duration MaxSyncDelay = Duration::millis(10);
  // The drift bound configured on the nodes; each clock's drift is drawn within
  // it.
  int64_t DriftPerMille = 10;
  // Changes the options of every node before it is created.
  std::function<void(consensus::Options &)> Adjust;
};

// Steps the nodes millisecond by millisecond of true time.
class ConsensusDriver {
public:
  explicit ConsensusDriver(DriverOptions options);

  void run(Duration span);
  // Runs until `done` holds; false if it does not within `limit`.
  bool runUntil(const std::function<bool()> &done, Duration limit);

  std::size_t size() const { return Hosts.size(); }
  bool isUp(std::size_t i) const { return Hosts[i].Node.has_value(); }
  const consensus::Node &node(std::size_t i) const { return *Hosts[i].Node; }
  HostId idOf(std::size_t i) const;
  // Ends the process. Unsynced writes are lost, except for a random prefix.
  void crash(std::size_t i);
  // Starts the process of a host that is down.
  void start(std::size_t i);
  // A paused process does nothing, but its clock advances.
  void setPaused(std::size_t i, bool isPaused) { Hosts[i].IsPaused = isPaused; }
  // Cuts or restores the link from `i` to `k`.
  void setCut(std::size_t i, std::size_t k, bool isCut);
  void isolate(std::size_t i);
  // Restores all links, resumes and starts all hosts.
  void heal();

  // Proposes a new payload at host `i`.
  void propose(std::size_t i);
  void transfer(std::size_t i);
  void compact(std::size_t i);
  Result<consensus::Actions> replace(std::size_t leader, std::size_t gone,
                                     std::size_t standby);

  // The host that may serve now; empty if there is none.
  std::optional<std::size_t> server() const;
  // True if a host serves and the committed membership has `Hosts` voters, all
  // of them running in the incarnation that it names.
  bool isRepaired() const;
  // True if the group is repaired and all members have applied all entries.
  bool isConverged() const;
  // One line per host, for the messages of failed tests.
  std::string describe() const;
  uint64_t acknowledgedCount() const { return Acknowledged; }
  uint64_t deliveredCount() const { return Delivered; }
  const ConsensusOracle &oracle() const { return Oracle; }
  const AppliedState &applied(std::size_t i) const { return Hosts[i].State; }
  Instant trueTime() const { return Now; }

private:
  struct PendingSync {
    uint64_t Serial = 0;
    Instant DoneAt;
    std::function<void(consensus::DurableState &)> Effect;
  };
  struct Host {
    std::optional<consensus::Node> Node;
    Incarnation HostIncarnation;
    // Rate error and initial offset of the host's clock.
    int64_t DriftPerMille = 0;
    int64_t OffsetMs = 0;
    bool IsPaused = false;
    consensus::DurableState Disk;
    std::deque<PendingSync> Syncs;
    AppliedState State;
  };
  struct Envelope {
    std::size_t From = 0;
    std::size_t To = 0;
    consensus::Message What;
  };

  std::size_t indexOf(const Host &host) const;
  Instant localTime(const Host &host) const;
  void step();
  void deliverDue();
  void finishSyncs(std::size_t i);
  void perform(std::size_t i, const consensus::Actions &actions);
  void performOne(std::size_t i, const consensus::Action &action);
  void post(std::size_t from, const consensus::Send &send);
  void scheduleSync(std::size_t i, uint64_t serial,
                    std::function<void(consensus::DurableState &)> effect);
  void check();
  consensus::Options optionsOf(std::size_t i) const;
  bool chance(uint32_t perMille);
  int64_t upTo(int64_t max);

  DriverOptions Settings;
  std::mt19937_64 Random;
  Instant Now = Instant::fromMillis(1000);
  std::vector<Host> Hosts;
  std::multimap<Instant, Envelope> Network;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  uint64_t LastProposal = 0;
  uint64_t Acknowledged = 0;
  uint64_t Delivered = 0;
  ConsensusOracle Oracle;
};

} // namespace jujube::testing

#endif // JUJUBE_TESTING_CONSENSUS_DRIVER_H_
