#include "jujube/entry/access.h"

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"

namespace jujube::entry {
namespace {

std::string describe(const Resources &amounts) {
  return absl::StrCat(amounts.MilliCpu, " milli-CPU, ", amounts.MemoryMb,
                      " MiB and ", amounts.Accelerators, " accelerators");
}

Status checkCeiling(const catalogue::CatalogueFollower &copy,
                    const fate::Submission &work) {
  const catalogue::Team *team = copy.catalogue().findTeam(work.Team);
  const bool isGang = work.Entry.Class == catalogue::WorkClass::Gang;
  const Resources minimum = work.Entry.Demand * (isGang ? work.Tasks : 1);
  if (team && minimum.fitsIn(team->Ceiling))
    return Ok{};
  return Error{ErrorKind::ImpossibleRequest,
               absl::StrCat("the request needs ", describe(minimum),
                            " at once and the ceiling of ", work.Team.str(),
                            " is ",
                            describe(team ? team->Ceiling : Resources{})),
               "request fewer resources, or raise the ceiling of the team"};
}

std::string bodyDigest(const api::Submit &submit, uint32_t tasks) {
  return saltedDigest(submit.Entry.str(),
                      absl::StrCat(tasks, ":", submit.StartWithin.millis(), ":",
                                   submit.Payload));
}

} // namespace

Result<TeamId> actingTeam(const catalogue::CatalogueFollower &copy,
                          const catalogue::Entry &entry,
                          const std::string &presentedKey, Instant now) {
  if (presentedKey.empty() && entry.IsOpen)
    return entry.Owner;
  Result<TeamId> team = copy.authenticate(presentedKey, now);
  if (!isOk(team) || entry.IsOpen || valueOf(team) == entry.Owner)
    return team;
  return Error{ErrorKind::PermissionDenied,
               absl::StrCat("entry ", entry.Id.str(),
                            " belongs to a different team than the key"),
               "use a key of the team that owns the entry"};
}

Result<catalogue::Entry> findEntry(const catalogue::CatalogueFollower &copy,
                                   const EntryId &id) {
  if (const catalogue::Entry *entry = copy.catalogue().findEntry(id))
    return *entry;
  return Error{ErrorKind::NotFound,
               absl::StrCat("no catalogue entry ", id.str()),
               "check the name; operators create entries with jujubectl"};
}

Result<fate::Submission> admit(const catalogue::CatalogueFollower &copy,
                               const api::Submit &submit, Instant now) {
  auto entry = findEntry(copy, submit.Entry);
  if (!isOk(entry))
    return errorOf(entry);
  auto team = actingTeam(copy, valueOf(entry), submit.PresentedKey, now);
  if (!isOk(team))
    return errorOf(team);
  fate::Submission work;
  work.Request = submit.Request;
  work.Team = valueOf(team);
  work.Entry = valueOf(entry);
  work.Payload = submit.Payload;
  work.Tasks = submit.Tasks.value_or(work.Entry.Tasks);
  work.StartWithin = submit.StartWithin;
  work.BodyDigest = bodyDigest(submit, work.Tasks);
  if (work.Tasks == 0 || work.Tasks > MaxTasks)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat(work.Tasks, " tasks are out of range"),
                 absl::StrCat("set the number of tasks from 1 to ", MaxTasks,
                              " per request")};
  if (Status status = checkCeiling(copy, work); !isOk(status))
    return errorOf(status);
  return work;
}

Status checkToken(absl::string_view tokenName, const std::string &presented,
                  const std::string &secret) {
  // Digests have a fixed length, so that the comparison does not reveal the
  // length of the secret.
  if (!secret.empty() && equalDigests(saltedDigest(tokenName, presented),
                                      saltedDigest(tokenName, secret)))
    return Ok{};
  return Error{ErrorKind::Unauthenticated,
               absl::StrCat("the ", tokenName, " token is wrong"),
               absl::StrCat("send the ", tokenName,
                            " token as Authorization: Bearer TOKEN")};
}

} // namespace jujube::entry
