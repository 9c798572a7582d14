#include "jujube/ctl/session.h"

#include "absl/strings/str_cat.h"

namespace jujube::ctl {
namespace {

// Longer than an edit may take to be in force everywhere.
constexpr Duration EditTimeout = Duration::seconds(20);

} // namespace

Result<api::EditReceipt> sendEdit(Session &session, catalogue::Change change,
                                  Revision base, std::size_t step) {
  const std::string text = absl::StrCat(session.Options.Id, "-", step);
  Result<EditId> id = EditId::parse(text);
  if (!isOk(id))
    return errorOf(id);
  const catalogue::Edit edit{valueOf(std::move(id)), base, std::move(change),
                             session.Options.Author};
  http::HttpCall call{http::Method::Post, "/v1/catalogue/edits",
                      session.Options.OperatorToken, http::toJson(edit),
                      EditTimeout};
  if (session.Options.IsDryRun)
    call.Target += "?dry_run=1";
  return session.Api.callFor<api::EditReceipt>(call);
}

Result<catalogue::Contents> readCatalogue(Session &session) {
  return session.Api.callFor<catalogue::Contents>(
      {http::Method::Get, "/v1/catalogue", session.Options.OperatorToken});
}

std::string receiptText(const api::EditReceipt &receipt) {
  return absl::StrCat("revision ", receipt.At.Value, ", ",
                      receipt.IsInForce
                          ? "in force"
                          : "accepted but not yet in force everywhere");
}

} // namespace jujube::ctl
