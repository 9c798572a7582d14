#include "jujube/entry/live_request_handler.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace jujube::entry {
namespace {

// Delay after which a request that was not run can be sent again with its id.
constexpr Duration RepeatAfter = Duration::millis(500);
constexpr Duration ReportTimeout = Duration::millis(1000);
// Size of the cache of outcomes for callers that lost their connection.
constexpr std::size_t MaxCachedAnswers = 2000;
// A request without waiting callers is dropped this long after its arrival.
constexpr Duration AbandonAfter = Duration::minutes(2);
constexpr Duration CleanupPeriod = Duration::seconds(10);
// Period of reports to zones in which no runner is known yet.
constexpr Duration EmptyZoneReportPeriod = Duration::seconds(1);

metrics::Labels labelsOf(const TeamId &team) { return {team.str(), "live"}; }

} // namespace

LiveRequestHandler::LiveRequestHandler(Options options, runtime::PollLoop &loop,
                                       ZoneDirectory &zones,
                                       RunnerLinkPool links,
                                       metrics::Metrics &metrics, Hooks hooks,
                                       routing::Router router)
    : Settings(std::move(options)), Loop(loop), Zones(zones),
      Links(std::move(links)), Metrics(metrics), Callbacks(std::move(hooks)),
      Router(std::move(router)) {
  Loop.watchMailbox<LinkEvent>(Links.events(), [this](LinkEvent event) {
    handleLinkEvent(std::move(event));
  });
}

Result<std::unique_ptr<LiveRequestHandler>>
LiveRequestHandler::create(Options options, runtime::PollLoop &loop,
                           ZoneDirectory &zones, RunnerLinkPool links,
                           metrics::Metrics &metrics, Hooks hooks) {
  routing::RouterOptions routing;
  routing.Self = {options.Self, options.Start};
  routing.Zone = options.Zone;
  routing.MaxInFlight = links.size();
  auto router = routing::Router::create(std::move(routing), loop.now());
  if (!isOk(router))
    return errorOf(router);
  return std::unique_ptr<LiveRequestHandler>(new LiveRequestHandler(
      std::move(options), loop, zones, std::move(links), metrics,
      std::move(hooks), valueOf(std::move(router))));
}

void LiveRequestHandler::serve(const api::CallLive &request, const TeamId &team,
                               const catalogue::Entry &entry,
                               LiveAnswerHook done) {
  const auto it = Calls.find(request.Request);
  if (it != Calls.end()) {
    Call &call = it->second;
    if (call.Team != team || call.Request.Payload != request.Payload ||
        call.Entry.Id != entry.Id)
      done(Error{ErrorKind::DuplicateRequest,
                 absl::StrCat("request id ", request.Request.str(),
                              " was used for another request"),
                 "use a new id for each request"});
    else if (call.IsConcluded)
      done(Error{ErrorKind::NotRun, "the request was not run",
                 "send the request again", RepeatAfter});
    else if (call.Waiters.empty())
      done(outcomeUnknownError(request.Request));
    else
      call.Waiters.push_back(std::move(done));
    return;
  }
  Call &call = Calls[request.Request];
  call = {request, team,
          entry,   std::make_shared<const std::string>(request.Payload),
          {},      Loop.now()};
  call.Waiters.push_back(std::move(done));
  Metrics.add("live_accepted", labelsOf(team));
  run(Router.submit({request.Request, team, entry.Id, entry.IsIdempotent,
                     Loop.now() + request.Timeout},
                    Loop.now()));
}

std::optional<fate::FateView>
LiveRequestHandler::find(const RequestId &id, const TeamId &team) const {
  const auto it = AnswerCache.find(id);
  if (it == AnswerCache.end() || it->second.Team != team)
    return std::nullopt;
  return it->second;
}

void LiveRequestHandler::endTurn() {
  const Instant now = Loop.now();
  if (Router.nextWake(now) <= now)
    run(Router.tick(now));
  if (now >= NextCleanup)
    eraseAbandoned();
  if (now >= NextEmptyZoneReport)
    reportToZonesWithoutRunners();
  if (WakeTimer)
    Loop.cancel(*WakeTimer);
  WakeTimer = Loop.callAt(Router.nextWake(now), [this] { WakeTimer.reset(); });
}

void LiveRequestHandler::reportToZonesWithoutRunners() {
  NextEmptyZoneReport = Loop.now() + EmptyZoneReportPeriod;
  const std::vector<ZoneId> known = Router.zones();
  for (const ZoneId &zone : Zones.zones())
    if (std::ranges::find(known, zone) == known.end())
      execute(routing::SendReport{zone});
}

void LiveRequestHandler::eraseAbandoned() {
  const Instant now = Loop.now();
  NextCleanup = now + CleanupPeriod;
  std::erase_if(Calls, [now](const auto &item) {
    return item.second.Waiters.empty() &&
           item.second.Since + AbandonAfter <= now;
  });
  std::erase_if(Bodies, [this](const auto &item) {
    return !Calls.contains(item.first.first);
  });
}

void LiveRequestHandler::beginDrain() { run(Router.beginDrain(Loop.now())); }

bool LiveRequestHandler::isIdle() const {
  return Router.isIdle() && std::ranges::all_of(Calls, [](const auto &item) {
           return item.second.Waiters.empty();
         });
}

std::vector<api::RunnerStatus> LiveRequestHandler::runners() const {
  std::vector<api::RunnerStatus> all;
  std::ranges::transform(
      Router.runners().all(), std::back_inserter(all), [](const auto &item) {
        const routing::RunnerAnnouncement &runner = item.second.Announcement;
        return api::RunnerStatus{runner.Runner,        runner.Entry,
                                 runner.Zone,          runner.Slots,
                                 item.second.InFlight, runner.IsLeaving};
      });
  return all;
}

void LiveRequestHandler::run(const routing::RouterActions &actions) {
  for (const routing::RouterAction &action : actions)
    std::visit([this](const auto &a) { execute(a); }, action);
}

void LiveRequestHandler::execute(const routing::Dispatch &action) {
  const auto it = Calls.find(action.Request);
  const Status sent = it == Calls.end()
                          ? Status(Error{ErrorKind::Internal,
                                         "the request is no longer known", ""})
                          : Links.send({action, it->second.Entry.Id,
                                        it->second.Team, it->second.Payload});
  if (!isOk(sent))
    run(Router.handleAttemptOutcome(action.Request, action.Attempt,
                                    routing::AttemptOutcome::NotSent,
                                    Loop.now()));
}

void LiveRequestHandler::execute(const routing::Inquire &action) {
  if (!isOk(Links.inquire({action})))
    run(Router.handleAttemptOutcome(action.Request, action.Attempt,
                                    routing::AttemptOutcome::Unknown,
                                    Loop.now()));
}

void LiveRequestHandler::handleLinkEvent(LinkEvent event) {
  auto outcome = Links.handle(std::move(event));
  if (!outcome)
    return;
  Bodies[{outcome->Request, outcome->Attempt}] = std::move(outcome->Body);
  run(Router.handleAttemptOutcome(outcome->Request, outcome->Attempt,
                                  outcome->Outcome, Loop.now()));
}

void LiveRequestHandler::cacheAnswer(const Call &call, fate::FateState state,
                                     const std::string &text) {
  fate::FateView view;
  view.Request = call.Request.Request;
  view.Team = call.Team;
  view.Entry = call.Entry.Id;
  view.State = state;
  const bool isFinished = state == fate::FateState::Finished;
  view.Tasks.push_back({0, state, 1, WorkerId(), isFinished ? text : "",
                        isFinished ? "" : text});
  if (AnswerCache.insert_or_assign(view.Request, view).second)
    CacheOrder.push_back(view.Request);
  if (CacheOrder.size() > MaxCachedAnswers) {
    AnswerCache.erase(CacheOrder.front());
    CacheOrder.pop_front();
  }
}

void LiveRequestHandler::answer(const RequestId &id,
                                const Result<api::LiveAnswer> &result) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  for (const LiveAnswerHook &waiter : std::exchange(it->second.Waiters, {}))
    waiter(result);
}

void LiveRequestHandler::conclude(const RequestId &id, fate::FateState state,
                                  const std::string &text,
                                  const Result<api::LiveAnswer> &result) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  Call &call = it->second;
  const metrics::Labels labels = labelsOf(call.Team);
  Metrics.add(absl::StrCat("live_", nameIn(fate::FateStateNames, state)),
              labels);
  Metrics.observe("live_total_ms", labels, (Loop.now() - call.Since).millis());
  cacheAnswer(call, state, text);
  answer(id, result);
  call.IsConcluded = state != fate::FateState::Unresolved;
  journalEnd(id, state, text, [] {});
  eraseIfDone(id);
}

void LiveRequestHandler::eraseIfDone(const RequestId &id) {
  const auto it = Calls.find(id);
  if (it != Calls.end() && it->second.IsConcluded &&
      it->second.Journal != JournalState::Offering)
    Calls.erase(it);
}

void LiveRequestHandler::execute(const routing::Shed &action) {
  Error why = action.Why;
  why.RetryAfter = action.RetryAfter;
  absl::StrAppend(&why.Remedy, why.Remedy.empty() ? "" : "; ", "retry after ",
                  action.RetryAfter.millis(), " ms");
  conclude(action.Request, fate::FateState::NotRun, why.Message, why);
}

void LiveRequestHandler::execute(const routing::Deliver &action) {
  const auto body = Bodies.extract({action.Request, action.Attempt});
  const std::string text = body.empty() ? "" : body.mapped();
  conclude(action.Request, fate::FateState::Finished, text,
           api::LiveAnswer{action.Request, action.Runner, text});
}

void LiveRequestHandler::execute(const routing::Fail &action) {
  conclude(action.Request, fate::FateState::Failed, action.Why.Message,
           action.Why);
}

void LiveRequestHandler::execute(const routing::MarkUnresolved &action) {
  conclude(action.Request, fate::FateState::Unresolved, action.Why.Message,
           outcomeUnknownError(action.Request));
}

// Another entry host may offer the request only once the journal records that
// this one won't.
void LiveRequestHandler::execute(const routing::HandOver &action) {
  journalEnd(action.Request, fate::FateState::Queued, "handed over",
             [this, id = action.Request] { handOver(id); });
}

void LiveRequestHandler::handOver(const RequestId &id) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  Callbacks.HandOver(it->second.Request,
                     [this, id](const Result<api::LiveAnswer> &result) {
                       answer(id, result);
                       Calls.erase(id);
                     });
}

void LiveRequestHandler::execute(const routing::SendReport &action) {
  wire::LeaderClient *zone = Zones.find(action.Zone);
  if (!zone)
    return;
  zone->callOnce(
      wire::ReportCredits{Router.report(action.Zone, Loop.now())},
      ReportTimeout,
      [this](const Result<wire::Message> &reply) {
        const auto *news = isOk(reply)
                               ? std::get_if<wire::CreditReply>(&valueOf(reply))
                               : nullptr;
        if (!news)
          return;
        for (const wire::AgedAnnouncement &runner : news->Runners)
          run(Router.handleAnnouncement(runner.Runner, runner.Age, Loop.now()));
        run(Router.handleGrant(news->Grant, Loop.now()));
      },
      wire::Channel::Datagram);
}

} // namespace jujube::entry
