#include "jujube/entry/access.h"

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"

namespace jujube::entry {
namespace {

std::string describe(const Resources &amounts) {
  return absl::StrCat(amounts.MilliCpu, " thousandths of a processor, ",
                      amounts.MemoryMb, " MiB and ", amounts.Accelerators,
                      " accelerators");
}

Status checkCeiling(const catalogue::CatalogueFollower &copy,
                    const fate::Submission &work) {
  const catalogue::Team *team = copy.catalogue().findTeam(work.Team);
  const bool isGang = work.Entry.Class == catalogue::WorkClass::Gang;
  const Resources least = work.Entry.Ask * (isGang ? work.Tasks : 1);
  if (team && least.fitsIn(team->Ceiling))
    return Ok{};
  return Error{ErrorKind::ImpossibleRequest,
               absl::StrCat("it needs ", describe(least),
                            " at once and the ceiling of ", work.Team.str(),
                            " is ",
                            describe(team ? team->Ceiling : Resources{})),
               "ask for less, or have the ceiling raised"};
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
                            " belongs to another team than the key"),
               "use a key of the entry's owner"};
}

Result<catalogue::Entry> findEntry(const catalogue::CatalogueFollower &copy,
                                   const EntryId &id) {
  if (const catalogue::Entry *entry = copy.catalogue().findEntry(id))
    return *entry;
  return Error{ErrorKind::NotFound,
               absl::StrCat("no catalogue entry ", id.str()),
               "check the name; an operator creates entries with jujubectl"};
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
    return Error{ErrorKind::InvalidArgument, absl::StrCat(work.Tasks, " tasks"),
                 absl::StrCat("ask for 1 to ", MaxTasks, " tasks a request")};
  if (Status status = checkCeiling(copy, work); !isOk(status))
    return errorOf(status);
  return work;
}

Status checkToken(absl::string_view what, const std::string &presented,
                  const std::string &secret) {
  // Digests have one length, so that the comparison does not tell the secret's.
  if (!secret.empty() &&
      equalDigests(saltedDigest(what, presented), saltedDigest(what, secret)))
    return Ok{};
  return Error{
      ErrorKind::Unauthenticated, absl::StrCat("the ", what, " token is wrong"),
      absl::StrCat("send the ", what, " token as Authorization: Bearer TOKEN")};
}

} // namespace jujube::entry
