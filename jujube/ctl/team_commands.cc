// Commands for teams and keys.
#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "jujube/ctl/commands.h"
#include "jujube/ctl/edits.h"
#include "jujube/ctl/table.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 32;

} // namespace

Result<Verdict> putTeam(Session &session, const Arguments &args) {
  const Result<TeamId> id = TeamId::parse(args[0]);
  if (!isOk(id))
    return errorOf(id);
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  catalogue::Team team{valueOf(id)};
  if (const auto *old = findObject(valueOf(contents).Teams, team.Id))
    team = old->Value;
  const SessionOptions &options = session.Options;
  if (options.Share >= 0)
    team.Share = static_cast<uint32_t>(options.Share);
  const auto replace = [](int64_t wanted, int64_t &amount) {
    if (wanted >= 0)
      amount = wanted;
  };
  replace(options.Ceiling.MilliCpu, team.Ceiling.MilliCpu);
  replace(options.Ceiling.MemoryMb, team.Ceiling.MemoryMb);
  replace(options.Ceiling.Accelerators, team.Ceiling.Accelerators);
  return editAndPrint(session, catalogue::PutTeam{team},
                      changedAt(valueOf(contents).Teams, team.Id),
                      absl::StrCat("team ", args[0], ": share ", team.Share,
                                   ", ceiling ", resourcesText(team.Ceiling)));
}

Result<Verdict> listTeams(Session &session, const Arguments & /*args*/) {
  return printCatalogue(session, [](const catalogue::Contents &contents) {
    Table table({"TEAM", "SHARE", "CEILING", "CHANGED"});
    for (const auto &[team, changed] : contents.Teams)
      table.add({team.Id.str(), absl::StrCat(team.Share),
                 resourcesText(team.Ceiling), absl::StrCat(changed.Value)});
    return table.text();
  });
}

Result<Verdict> deleteTeam(Session &session, const Arguments &args) {
  return removeObject<catalogue::DeleteTeam>(
      session, args[0], &catalogue::Contents::Teams, "deleted team");
}

Result<Verdict> issueKey(Session &session, const Arguments &args) {
  const Result<TeamId> team = TeamId::parse(args[0]);
  if (!isOk(team))
    return errorOf(team);
  const Result<KeyId> id = KeyId::parse(
      args.size() > 1 ? args[1]
                      : absl::StrCat(args[0], "-", session.Random(4)));
  if (!isOk(id))
    return errorOf(id);
  const std::string secret = session.Random(SecretBytes);
  const std::string salt = session.Random(SaltBytes);
  const catalogue::Key key{valueOf(id), valueOf(team), salt,
                           saltedDigest(salt, secret)};
  // A repeated invocation generates a different secret and hence a different
  // edit, which the catalogue refuses because the key already exists.
  const auto outcome = sendEdit(session, catalogue::IssueKey{key}, {});
  if (!isOk(outcome)) {
    Error error = errorOf(outcome);
    if (session.Api.isUnreachable())
      error.Remedy = absl::StrCat(
          "see 'jujubectl key list' and withdraw ", key.Id.str(),
          " if it is there: its secret was not shown; then issue another");
    return error;
  }
  if (session.Options.IsDryRun) {
    session.Print(absl::StrCat("would be done: issue key ", key.Id.str(),
                               " to team ", args[0], "\n"));
    return Verdict::Done;
  }
  const http::IssuedKey issued{key.Id, key.Team,
                               absl::StrCat(key.Id.str(), ".", secret),
                               valueOf(outcome).Receipt};
  session.Print(
      (session.Options.IsJson ? http::toJson(issued) : issued.Presented) +
      "\n");
  if (!issued.Receipt.IsInForce && !session.Options.IsJson)
    session.PrintError(absl::StrCat("key ", key.Id.str(), ": ",
                                    outcomeText(valueOf(outcome)), "\n"));
  return Verdict::Done;
}

Result<Verdict> withdrawKey(Session &session, const Arguments &args) {
  return removeObject<catalogue::WithdrawKey>(
      session, args[0], &catalogue::Contents::Keys, "withdrew key");
}

Result<Verdict> listKeys(Session &session, const Arguments &args) {
  return printCatalogue(session, [&args](const catalogue::Contents &contents) {
    Table table({"KEY", "TEAM", "ISSUED"});
    for (const auto &[key, changed] : contents.Keys)
      if (args.empty() || key.Team.str() == args[0])
        table.add({key.Id.str(), key.Team.str(), absl::StrCat(changed.Value)});
    return table.text();
  });
}

} // namespace jujube::ctl
