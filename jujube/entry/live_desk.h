// Live requests of an entry host: connects the router's decisions with the
// links to the runners, the zones' journals and the callers.
#ifndef JUJUBE_ENTRY_LIVE_DESK_H_
#define JUJUBE_ENTRY_LIVE_DESK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/types.h"
#include "jujube/entry/runner_link.h"
#include "jujube/entry/zone_directory.h"
#include "jujube/metrics/metrics.h"
#include "jujube/routing/router.h"
#include "jujube/runtime/poll_loop.h"

namespace jujube::entry {

// Told the answer of a live request, once.
using LiveHook = std::function<void(Result<api::LiveAnswer>)>;

// What callers are told of a request that left and has not been answered.
Error outcomeUnknown(const RequestId &id);

// Owned by the entry task.
class LiveDesk {
public:
  struct Options {
    HostId Self;
    Incarnation Start;
    ZoneId Zone;
  };
  struct Hooks {
    // Passes a request that has not left on to another entry host.
    std::function<void(const api::CallLive &, const LiveHook &)> HandOver;
  };

  static Result<std::unique_ptr<LiveDesk>>
  create(Options options, runtime::PollLoop &loop, ZoneDirectory &zones,
         RunnerLinkPool links, metrics::Metrics &metrics, Hooks hooks);

  // Serves a request whose key was checked for `team`.
  void serve(const api::CallLive &call, const TeamId &team,
             const catalogue::Entry &entry, LiveHook done);
  // The kept answer of a request whose caller may have gone; nothing if this
  // host has none for the team.
  std::optional<fate::FateView> find(const RequestId &id,
                                     const TeamId &team) const;

  void setShares(const std::vector<catalogue::Team> &teams) {
    Router.setShares(teams);
  }
  // Does what is due; to be called at the end of each turn of the loop.
  void endTurn();

  void beginDrain();
  // True once no caller waits and nothing is on its way.
  bool isIdle() const;
  std::vector<api::RunnerStatus> runners() const;

private:
  // What the home zone's journal holds of the offer by this entry host.
  enum class JournalState {
    None,
    // Asked for and not confirmed yet.
    Offering,
    // Without an end.
    Offered,
  };
  // A request whose final outcome is not known or not journaled yet.
  struct Call {
    api::CallLive Request;
    TeamId Team;
    catalogue::Entry Entry;
    std::shared_ptr<const std::string> Payload;
    // Empty once they were answered.
    std::vector<LiveHook> Waiters;
    Instant Since;
    JournalState Journal = JournalState::None;
    // Done once the offer is confirmed.
    std::function<void()> AfterOffer;
    // The callers know the final outcome.
    bool IsConcluded = false;
  };

  LiveDesk(Options options, runtime::PollLoop &loop, ZoneDirectory &zones,
           RunnerLinkPool links, metrics::Metrics &metrics, Hooks hooks,
           routing::Router router);

  void run(const routing::RouterActions &actions);
  void carryOut(const routing::Dispatch &action);
  void carryOut(const routing::JournalOffer &action);
  void carryOut(const routing::Shed &action);
  void carryOut(const routing::Deliver &action);
  void carryOut(const routing::Fail &action);
  void carryOut(const routing::MarkUnresolved &action);
  void carryOut(const routing::Inquire &action);
  void carryOut(const routing::HandOver &action);
  void carryOut(const routing::ReportNow &action);

  void takeLinkEvent(LinkEvent event);
  void handOver(const RequestId &id);

  // live_desk_journal.cc
  wire::LeaderClient *homeOf(const RequestId &id);
  void takeJournalReply(const RequestId &id,
                        const Result<wire::Message> &reply);
  // Journals how the offer ended, if there was one, and then calls `then`.
  void journalEnd(const RequestId &id, fate::FateState state,
                  const std::string &text, const std::function<void()> &then);
  // Answers with what the home zone's journal holds of an earlier offer.
  void answerFromJournal(const RequestId &id, const fate::FateView &view);

  void answer(const RequestId &id, const Result<api::LiveAnswer> &result);
  // Ends a request: keeps its fate, journals it and answers its callers.
  void conclude(const RequestId &id, fate::FateState state,
                const std::string &text, const Result<api::LiveAnswer> &result);
  void eraseIfDone(const RequestId &id);
  void keep(const Call &call, fate::FateState state, const std::string &text);
  void dropAbandoned();
  // The router reports to zones whose runners it knows; the others' leaders
  // tell of their runners in the answer.
  void reportToQuietZones();

  Options Settings;
  runtime::PollLoop &Loop;
  ZoneDirectory &Zones;
  RunnerLinkPool Links;
  metrics::Metrics &Metrics;
  Hooks Callbacks;
  routing::Router Router;
  std::map<RequestId, Call> Calls;
  std::map<std::pair<RequestId, uint32_t>, std::string> Bodies;
  std::map<RequestId, fate::FateView> Answers;
  std::deque<RequestId> AnswerOrder;
  std::optional<runtime::TimerId> Wake;
  Instant NextCleanup;
  Instant NextQuietReports;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_LIVE_DESK_H_
