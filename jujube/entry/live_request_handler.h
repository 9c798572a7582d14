// Handles the live requests of an entry host: carries out the router's
// decisions by way of the runner links, the zones' journals and the callers.
#ifndef JUJUBE_ENTRY_LIVE_REQUEST_HANDLER_H_
#define JUJUBE_ENTRY_LIVE_REQUEST_HANDLER_H_

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

// Receives the answer to a live request; called once.
using LiveAnswerHook = std::function<void(Result<api::LiveAnswer>)>;

// The error for a request that was sent and has not been answered.
Error outcomeUnknownError(const RequestId &id);

// State of all live requests of one entry host. Owned by the entry task. The
// outcome of a request that is not idempotent is journaled in its home zone.
class LiveRequestHandler {
public:
  struct Options {
    HostId Self;
    Incarnation Start;
    ZoneId Zone;
  };
  struct Hooks {
    // Hands a request that was not sent yet over to another entry host.
    std::function<void(const api::CallLive &, const LiveAnswerHook &)> HandOver;
  };

  static Result<std::unique_ptr<LiveRequestHandler>>
  create(Options options, runtime::PollLoop &loop, ZoneDirectory &zones,
         RunnerLinkPool links, metrics::Metrics &metrics, Hooks hooks);

  // Serves a request that was authorized for `team`.
  void serve(const api::CallLive &call, const TeamId &team,
             const catalogue::Entry &entry, LiveAnswerHook done);
  // Returns the cached outcome of a request, for callers that lost their
  // connection; empty if this host has none for the team.
  std::optional<fate::FateView> find(const RequestId &id,
                                     const TeamId &team) const;

  void setShares(const std::vector<catalogue::Team> &teams) {
    Router.setShares(teams);
  }
  // Runs due timers; must be called at the end of each turn of the loop.
  void endTurn();

  void beginDrain();
  // True if no caller waits and no request is in flight.
  bool isIdle() const;
  std::vector<api::RunnerStatus> runners() const;

private:
  // State of this host's offer in the journal of the home zone.
  enum class JournalState {
    // No offer, or one whose end was sent.
    None,
    // Sent to the journal and not confirmed yet.
    Offering,
    // Confirmed, or possibly journaled; no final end was sent yet.
    Offered,
  };
  // A request whose final outcome is unknown or not journaled yet.
  struct Call {
    api::CallLive Request;
    TeamId Team;
    catalogue::Entry Entry;
    std::shared_ptr<const std::string> Payload;
    // Hooks of the callers; empty once they were answered.
    std::vector<LiveAnswerHook> Waiters;
    Instant Since;
    JournalState Journal = JournalState::None;
    // Runs after the journal's reply to the offer, unless the journal holds an
    // earlier offer; may be empty.
    std::function<void()> AfterOffer;
    // True once the callers have the final outcome.
    bool IsConcluded = false;
  };

  LiveRequestHandler(Options options, runtime::PollLoop &loop,
                     ZoneDirectory &zones, RunnerLinkPool links,
                     metrics::Metrics &metrics, Hooks hooks,
                     routing::Router router);

  void run(const routing::RouterActions &actions);
  void execute(const routing::Dispatch &action);
  void execute(const routing::JournalOffer &action);
  void execute(const routing::Shed &action);
  void execute(const routing::Deliver &action);
  void execute(const routing::Fail &action);
  void execute(const routing::MarkUnresolved &action);
  void execute(const routing::Inquire &action);
  void execute(const routing::HandOver &action);
  void execute(const routing::SendReport &action);

  void handleLinkEvent(LinkEvent event);
  void handOver(const RequestId &id);

  // live_request_journal.cc
  wire::LeaderClient *homeZoneClient(const RequestId &id);
  void handleJournalReply(const RequestId &id,
                          const Result<wire::Message> &reply);
  // Journals the end of the offer, if there is an offer, and then calls `then`.
  void journalEnd(const RequestId &id, fate::FateState state,
                  const std::string &text, const std::function<void()> &then);
  // Answers the callers from an earlier offer in the home zone's journal.
  void answerFromJournal(const RequestId &id, const fate::FateView &view);

  void answer(const RequestId &id, const Result<api::LiveAnswer> &result);
  // Ends a request: caches and journals its outcome and answers its callers.
  void conclude(const RequestId &id, fate::FateState state,
                const std::string &text, const Result<api::LiveAnswer> &result);
  void eraseIfDone(const RequestId &id);
  void cacheAnswer(const Call &call, fate::FateState state,
                   const std::string &text);
  void eraseAbandoned();
  // Sends a report to the zones in which the router knows no runner, since the
  // reply lists the runners of the zone. The router itself reports to the other
  // zones.
  void reportToZonesWithoutRunners();

  Options Settings;
  runtime::PollLoop &Loop;
  ZoneDirectory &Zones;
  RunnerLinkPool Links;
  metrics::Metrics &Metrics;
  Hooks Callbacks;
  routing::Router Router;
  std::map<RequestId, Call> Calls;
  std::map<std::pair<RequestId, uint32_t>, std::string> Bodies;
  std::map<RequestId, fate::FateView> AnswerCache;
  std::deque<RequestId> CacheOrder;
  std::optional<runtime::TimerId> WakeTimer;
  Instant NextCleanup;
  Instant NextEmptyZoneReport;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_LIVE_REQUEST_HANDLER_H_
