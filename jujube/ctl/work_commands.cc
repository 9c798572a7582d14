// Commands for requests.
#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "jujube/ctl/commands.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

// Maximum wait of one call; longer waits are split into several calls.
constexpr Duration MaxPoll = Duration::seconds(5);
// Allowance for a call's response beyond the requested wait.
constexpr Duration AnswerSlack = Duration::seconds(10);

// Returns the id of a new request: the id of the invocation, prefixed with the
// given or else the server's zone if the id contains no zone.
Result<RequestId> newRequestId(Session &session) {
  std::string text = session.Options.Id;
  if (text.find('.') == std::string::npos) {
    std::string zone = session.Options.Zone;
    if (zone.empty()) {
      const Result<api::FleetStatus> status = readStatus(session.Api);
      if (!isOk(status))
        return errorOf(status);
      zone = valueOf(status).Zone.str();
    }
    text = absl::StrCat(zone, ".", text);
  }
  return RequestId::parse(text);
}

// The id and the entry of a new request.
struct NewRequest {
  EntryId Entry;
  RequestId Id;
};

Result<NewRequest> nameRequest(Session &session, const std::string &entryText) {
  Result<EntryId> entry = EntryId::parse(entryText);
  if (!isOk(entry))
    return errorOf(entry);
  Result<RequestId> id = newRequestId(session);
  if (!isOk(id))
    return errorOf(id);
  return NewRequest{valueOf(std::move(entry)), valueOf(std::move(id))};
}

Result<fate::FateView> readFate(Session &session, const RequestId &id,
                                Duration wait) {
  return session.Api.callFor<fate::FateView>(
      {http::Method::Get,
       absl::StrCat("/v1/requests/", id.str(), "?wait_ms=", wait.millis()),
       session.Options.PresentedKey,
       {},
       wait + AnswerSlack});
}

std::string progressText(const fate::FateView &view) {
  const auto ended = std::ranges::count_if(view.Tasks, [](const auto &task) {
    return fate::isTerminal(task.State);
  });
  return absl::StrCat(view.Request.str(), " ",
                      nameIn(fate::FateStateNames, view.State), ", ", ended,
                      " of ", view.Tasks.size(), " tasks ended");
}

// Polls a request until it has ended or the session's wait has elapsed.
Result<fate::FateView> awaitEnd(Session &session, fate::FateView view) {
  const Instant deadline = session.Time.now() + session.Options.Wait;
  while (!fate::isTerminal(view.State) && session.Time.now() < deadline) {
    session.Progress(progressText(view));
    const Duration poll = std::min(MaxPoll, deadline - session.Time.now());
    Result<fate::FateView> next = readFate(session, view.Request, poll);
    if (!isOk(next))
      return next;
    view = valueOf(std::move(next));
  }
  return view;
}

std::string spanText(Instant from, Instant to) {
  if (from == Instant::never() || to == Instant::never())
    return "-";
  return absl::StrCat((to - from).millis(), " ms");
}

std::string fateText(const fate::FateView &view) {
  std::string text = absl::StrCat(
      view.Request.str(), " ", nameIn(fate::FateStateNames, view.State),
      "  team ", view.Team.str(), "  entry ", view.Entry.str(), "  waited ",
      spanText(view.AcceptedAt, view.StartedAt), "  ran ",
      spanText(view.StartedAt, view.EndedAt), "\n");
  for (const fate::TaskView &task : view.Tasks) {
    absl::StrAppend(&text, "  task ", task.Index, " ",
                    nameIn(fate::FateStateNames, task.State), "  attempts ",
                    task.Attempts);
    if (!task.Worker.empty())
      absl::StrAppend(&text, "  worker ", task.Worker.str());
    if (!task.Reason.empty())
      absl::StrAppend(&text, "  reason: ", task.Reason);
    if (!task.Answer.empty())
      absl::StrAppend(&text, "  answer: ", task.Answer);
    absl::StrAppend(&text, "\n");
  }
  return text;
}

// Prints a fate. A request that ended in a state other than finished counts as
// failed work.
Verdict printFate(Session &session, const fate::FateView &view) {
  session.Print(session.Options.IsJson ? http::toJson(view) + "\n"
                                       : fateText(view));
  return fate::isTerminal(view.State) && view.State != fate::FateState::Finished
             ? Verdict::WorkFailed
             : Verdict::Done;
}

// Describes the result of a cancel. Workers stop running tasks asynchronously,
// so a cancel may still be in progress.
absl::string_view cancelledText(fate::FateState state) {
  return fate::isTerminal(state) ? nameIn(fate::FateStateNames, state)
                                 : "being stopped";
}

// The results of all requests of one cancel command.
struct CancelTally {
  std::map<fate::FateState, std::size_t> ByState;
  std::size_t Refused = 0;

  std::size_t answered() const {
    std::size_t n = Refused;
    for (const auto &[state, count] : ByState)
      n += count;
    return n;
  }

  std::string text() const {
    std::string text = absl::StrCat(answered(), " requests:");
    for (const auto &[state, count] : ByState)
      absl::StrAppend(&text, " ", count, " ", cancelledText(state), ",");
    return absl::StrCat(text, " ", Refused, " refused\n");
  }

  Error unreachable(std::size_t total, Error error) const {
    error.Message = absl::StrCat(error.Message, " (", answered(), " of ", total,
                                 " requests were answered)");
    error.Remedy =
        absl::StrCat(error.Remedy, "; then repeat the command, since "
                                   "cancelling twice changes nothing");
    return error;
  }
};

Result<fate::FateView> cancelOne(Session &session, const std::string &text) {
  const Result<RequestId> id = RequestId::parse(text);
  if (!isOk(id))
    return errorOf(id);
  auto view = session.Api.callFor<fate::FateView>(
      {http::Method::Post, absl::StrCat("/v1/requests/", text, "/cancel"),
       session.Options.PresentedKey});
  return isOk(view) ? awaitEnd(session, valueOf(std::move(view))) : view;
}

void printCancelled(Session &session, const fate::FateView &view) {
  if (session.Options.IsJson)
    session.Print(http::toJson(view) + "\n");
  else
    session.Print(
        absl::StrCat(view.Request.str(), " ", cancelledText(view.State), "\n"));
}

} // namespace

Result<Verdict> submit(Session &session, const Arguments &args) {
  const Result<NewRequest> named = nameRequest(session, args[0]);
  if (!isOk(named))
    return errorOf(named);
  const auto &[entry, id] = valueOf(named);
  http::SubmitBody body{id, entry, session.Options.Payload};
  if (session.Options.Tasks > 0)
    body.Tasks = session.Options.Tasks;
  body.StartWithin = session.Options.StartWithin;
  auto view = session.Api.callFor<fate::FateView>(
      {http::Method::Post, "/v1/requests", session.Options.PresentedKey,
       http::toJson(body)});
  if (isOk(view))
    view = awaitEnd(session, valueOf(std::move(view)));
  if (isOk(view))
    return printFate(session, valueOf(view));
  Error error = errorOf(view);
  if (session.Api.isUnreachable() || http::isRetryable(error.Kind))
    error.Remedy = absl::StrCat("it may have been accepted; resend it with "
                                "--id ",
                                id.str());
  return error;
}

Result<Verdict> callLive(Session &session, const Arguments &args) {
  const Result<NewRequest> named = nameRequest(session, args[0]);
  if (!isOk(named))
    return errorOf(named);
  const auto &[entry, id] = valueOf(named);
  const http::CallBody body{id, session.Options.Payload,
                            session.Options.Timeout};
  // Only the system knows whether the work may run twice, so a call whose
  // response was lost is not resent.
  http::HttpCall call{http::Method::Post,
                      absl::StrCat("/v1/entries/", entry.str(), "/call"),
                      session.Options.PresentedKey, http::toJson(body),
                      session.Options.Timeout + AnswerSlack};
  call.MayResend = false;
  const auto answer = session.Api.callFor<api::LiveAnswer>(call);
  if (!isOk(answer))
    return errorOf(answer);
  session.Print(session.Options.IsJson ? http::toJson(valueOf(answer)) + "\n"
                                       : valueOf(answer).Body + "\n");
  return Verdict::Done;
}

// Cancels in reverse order: requests submitted first run first, and queued work
// behind them must not start while they are being stopped.
Result<Verdict> cancel(Session &session, const Arguments &args) {
  CancelTally tally;
  for (const std::string &id : Arguments(args.rbegin(), args.rend())) {
    const auto view = cancelOne(session, id);
    if (isOk(view)) {
      ++tally.ByState[valueOf(view).State];
      printCancelled(session, valueOf(view));
    } else if (session.Api.isUnreachable()) {
      return tally.unreachable(args.size(), errorOf(view));
    } else {
      ++tally.Refused;
      session.PrintError(absl::StrCat(id, ": ", errorOf(view).text(), "\n"));
    }
    session.Progress(
        absl::StrCat("cancelled ", tally.answered(), " of ", args.size()));
  }
  if (args.size() > 1 && !session.Options.IsJson)
    session.Print(tally.text());
  return tally.Refused == 0 ? Verdict::Done : Verdict::WorkFailed;
}

Result<Verdict> showFate(Session &session, const Arguments &args) {
  const Result<RequestId> id = RequestId::parse(args[0]);
  if (!isOk(id))
    return errorOf(id);
  Result<fate::FateView> view = readFate(session, valueOf(id), Duration());
  if (isOk(view))
    view = awaitEnd(session, valueOf(std::move(view)));
  if (!isOk(view))
    return errorOf(view);
  return printFate(session, valueOf(view));
}

} // namespace jujube::ctl
