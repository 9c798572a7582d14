#include "jujube/ctl/edits.h"

#include <algorithm>

#include "jujube/base/digest.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

// Exceeds the time that an edit may take to be in force everywhere.
constexpr Duration EditTimeout = Duration::seconds(20);
constexpr std::size_t DigestPartLength = 16;

Result<EditId> editIdOf(const Session &session,
                        const catalogue::Change &change) {
  catalogue::Edit edit;
  edit.What = change;
  return EditId::parse(absl::StrCat(
      session.Options.Id, "-",
      saltedDigest("edit", http::toJson(edit)).substr(0, DigestPartLength)));
}

// Returns the revision of an accepted edit, or nothing if the history no longer
// contains it.
std::optional<Revision> revisionOf(Session &session, const EditId &id) {
  const auto lines = readHistory(session, MaxHistoryLines);
  if (!isOk(lines))
    return std::nullopt;
  const auto it =
      std::ranges::find(valueOf(lines), id, &catalogue::HistoryLine::Edit);
  return it == valueOf(lines).end() ? std::nullopt
                                    : std::optional<Revision>(it->At);
}

} // namespace

Result<EditOutcome> sendEdit(Session &session, catalogue::Change change,
                             Revision base) {
  Result<EditId> id = editIdOf(session, change);
  if (!isOk(id))
    return errorOf(id);
  const catalogue::Edit edit{valueOf(id), base, std::move(change),
                             session.Options.Author};
  http::HttpCall call{http::Method::Post, "/v1/catalogue/edits",
                      session.Options.OperatorToken, http::toJson(edit),
                      EditTimeout};
  if (session.Options.IsDryRun)
    call.Target += "?dry_run=1";
  const auto receipt = session.Api.callFor<api::EditReceipt>(call);
  if (isOk(receipt))
    return EditOutcome{valueOf(receipt)};
  if (errorOf(receipt).Kind != ErrorKind::DuplicateRequest)
    return errorOf(receipt);
  // An earlier run sent the same change with a different base revision.
  if (const std::optional<Revision> made = revisionOf(session, edit.Id))
    return EditOutcome{{*made, false}, true};
  return Error{ErrorKind::DuplicateRequest,
               absl::StrCat("an earlier run with --id ", session.Options.Id,
                            " sent this change and was refused"),
               "run the command again with another --id, or without one"};
}

Result<catalogue::Contents> readCatalogue(Session &session) {
  return session.Api.callFor<catalogue::Contents>(
      {http::Method::Get, "/v1/catalogue", session.Options.OperatorToken});
}

Result<std::vector<catalogue::HistoryLine>> readHistory(Session &session,
                                                        uint32_t lines) {
  return session.Api.callFor<std::vector<catalogue::HistoryLine>>(
      {http::Method::Get,
       absl::StrCat("/v1/catalogue/history?max_lines=", lines),
       session.Options.OperatorToken});
}

Result<Verdict> printCatalogue(
    Session &session,
    const std::function<std::string(const catalogue::Contents &)> &render) {
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  session.Print(session.Options.IsJson ? http::toJson(valueOf(contents)) + "\n"
                                       : render(valueOf(contents)));
  return Verdict::Done;
}

std::string outcomeText(const EditOutcome &outcome) {
  const absl::string_view state =
      outcome.WasMadeBefore       ? "made by an earlier run"
      : outcome.Receipt.IsInForce ? "in force"
                                  : "accepted but not yet in force everywhere";
  return absl::StrCat("revision ", outcome.Receipt.At.Value, ", ", state);
}

Result<Verdict> editAndPrint(Session &session, catalogue::Change change,
                             Revision base, const std::string &done) {
  const auto outcome = sendEdit(session, std::move(change), base);
  if (!isOk(outcome))
    return errorOf(outcome);
  if (session.Options.IsJson)
    session.Print(http::toJson(valueOf(outcome).Receipt) + "\n");
  else if (session.Options.IsDryRun)
    session.Print(absl::StrCat("would be done: ", done, "\n"));
  else
    session.Print(
        absl::StrCat(done, " (", outcomeText(valueOf(outcome)), ")\n"));
  return Verdict::Done;
}

} // namespace jujube::ctl
