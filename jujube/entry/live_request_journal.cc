// The part of LiveRequestHandler that journals requests that are not idempotent
// in their home zones.
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "jujube/entry/live_request_handler.h"

namespace jujube::entry {
namespace {

// Timeouts for journaling an offer and its end in the home zone.
constexpr Duration OfferTimeout = Duration::seconds(3);
constexpr Duration EndTimeout = Duration::seconds(20);

// The error for a request that was already offered, with its recorded outcome.
Error alreadyOfferedError(const fate::FateView &view) {
  const bool hasNotRun = view.State == fate::FateState::NotRun ||
                         view.State == fate::FateState::Cancelled;
  const bool hasFailed = view.State == fate::FateState::Failed;
  return {hasNotRun   ? ErrorKind::NotRun
          : hasFailed ? ErrorKind::RunFailed
                      : ErrorKind::OutcomeUnknown,
          absl::StrCat("request ", view.Request.str(),
                       " was already sent; its state is ",
                       nameIn(fate::FateStateNames, view.State)),
          hasNotRun ? "send the request with a new id"
                    : "ask for its fate by id; it is not sent again"};
}

} // namespace

Error outcomeUnknownError(const RequestId &id) {
  return {
      ErrorKind::OutcomeUnknown,
      absl::StrCat("request ", id.str(),
                   " was sent and its outcome is unknown"),
      absl::StrCat("ask for the fate of ", id.str(), "; it is not sent again")};
}

wire::LeaderClient *LiveRequestHandler::homeZoneClient(const RequestId &id) {
  const auto home = homeZone(id);
  return isOk(home) ? Zones.find(valueOf(home)) : nullptr;
}

void LiveRequestHandler::execute(const routing::JournalOffer &offer) {
  const auto it = Calls.find(offer.Request);
  wire::LeaderClient *zone = homeZoneClient(offer.Request);
  if (it == Calls.end() || !zone) {
    handleJournalReply(offer.Request,
                       Error{ErrorKind::Unavailable,
                             "the home zone is not known",
                             "use an id of a zone that GET /v1/status lists"});
    return;
  }
  Call &call = it->second;
  call.Journal = JournalState::Offering;
  // The runner is left empty: the offer belongs to the entry host, whichever
  // runner receives the request.
  fate::LiveOffered record{
      offer.Request,
      call.Team,
      call.Entry.Id,
      saltedDigest(call.Entry.Id.str(), call.Request.Payload),
      Settings.Self,
      RunnerId(),
      call.Entry.IsIdempotent,
      Clock::wall().now()};
  zone->call(wire::JournalLive{std::move(record)}, OfferTimeout,
             [this, id = offer.Request](const Result<wire::Message> &reply) {
               handleJournalReply(id, reply);
             });
}

void LiveRequestHandler::handleJournalReply(
    const RequestId &id, const Result<wire::Message> &reply) {
  const auto *news =
      isOk(reply) ? std::get_if<wire::FateReply>(&valueOf(reply)) : nullptr;
  const auto it = Calls.find(id);
  if (it != Calls.end() && it->second.Journal == JournalState::Offering) {
    // A reply with a fate means that the journal already holds another offer.
    it->second.Journal = news ? JournalState::None : JournalState::Offered;
    if (news)
      answerFromJournal(id, news->View);
    const auto then = std::exchange(it->second.AfterOffer, {});
    if (then && !news)
      then();
    eraseIfDone(id);
  }
  Status status = Ok{};
  if (!isOk(reply))
    status = errorOf(reply);
  else if (news)
    status = Error{ErrorKind::DuplicateRequest,
                   "the request was offered before", "ask for its fate by id"};
  run(Router.handleOfferJournaled(id, status, Loop.now()));
}

void LiveRequestHandler::answerFromJournal(const RequestId &id,
                                           const fate::FateView &view) {
  Call &call = Calls.at(id);
  // The earlier offer determines the outcome; nothing is cached or journaled
  // here.
  call.IsConcluded = true;
  const bool isAnswered =
      view.State == fate::FateState::Finished && !view.Tasks.empty();
  if (view.Team != call.Team)
    answer(id, Error{ErrorKind::DuplicateRequest,
                     absl::StrCat("request id ", id.str(),
                                  " was used by another team"),
                     "use a new id for each request"});
  else if (isAnswered)
    answer(id, api::LiveAnswer{id, RunnerId(), view.Tasks.front().Answer});
  else
    answer(id, alreadyOfferedError(view));
}

void LiveRequestHandler::journalEnd(const RequestId &id, fate::FateState state,
                                    const std::string &text,
                                    const std::function<void()> &then) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  Call &call = it->second;
  // The end must not reach the journal before the offer.
  if (call.Journal == JournalState::Offering) {
    call.AfterOffer = [this, id, state, text, then] {
      journalEnd(id, state, text, then);
    };
    return;
  }
  wire::LeaderClient *zone = homeZoneClient(id);
  if (call.Journal == JournalState::None || !zone) {
    then();
    return;
  }
  if (state != fate::FateState::Unresolved)
    call.Journal = JournalState::None;
  zone->call(wire::JournalLiveEnd{{id, Settings.Self, RunnerId(), state, text,
                                   Clock::wall().now()}},
             EndTimeout, [then](const Result<wire::Message> &) { then(); });
}

} // namespace jujube::entry
