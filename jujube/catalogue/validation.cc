#include "jujube/catalogue/validation.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "jujube/base/digest.h"

namespace jujube::catalogue::internal {
namespace {

// Number of hexadecimal digits of a SHA-256 digest.
constexpr std::size_t DigestLength = 64;

Status require(bool isMet, absl::string_view message,
               absl::string_view remedy) {
  if (isMet)
    return Ok{};
  return Error{ErrorKind::InvalidArgument, std::string(message),
               std::string(remedy)};
}

Status firstError(std::initializer_list<Status> checks) {
  const auto it = std::ranges::find_if(
      checks, [](const Status &status) { return !isOk(status); });
  return it == checks.end() ? Status(Ok{}) : *it;
}

struct Checker {
  Status operator()(const PutTeam &put) const {
    const Team &team = put.Value;
    return firstError(
        {checkIdText("team", team.Id.str()),
         require(team.Share >= 1, "the team's share is 0",
                 "give a share of 1 or more"),
         require(!team.Ceiling.isNegative(), "the team's ceiling is negative",
                 "give amounts of 0 or more")});
  }
  Status operator()(const DeleteTeam &change) const {
    return checkIdText("team", change.Id.str());
  }
  Status operator()(const PutEntry &put) const {
    const Entry &entry = put.Value;
    return firstError(
        {checkIdText("catalogue entry", entry.Id.str()),
         checkIdText("team", entry.Owner.str()),
         require(entry.Tasks >= 1 && entry.Tasks <= MaxTasksPerRequest,
                 absl::StrCat("the entry has ", entry.Tasks, " tasks"),
                 absl::StrCat("give 1 to ", MaxTasksPerRequest)),
         require(!entry.Demand.isNegative(),
                 "the entry asks for less than nothing",
                 "give amounts of 0 or more"),
         require(entry.Demand != Resources{}, "the entry asks for nothing",
                 "give at least one of processors, memory or accelerators"),
         require(entry.RunTime >= Duration(), "the run time is negative",
                 "give 0 if it is not known"),
         require(entry.MaxAttempts >= 1, "the entry allows no attempt",
                 "give at least 1 attempt")});
  }
  Status operator()(const DeleteEntry &change) const {
    return checkIdText("catalogue entry", change.Id.str());
  }
  Status operator()(const IssueKey &issue) const {
    const Key &key = issue.Value;
    const bool isHex = std::ranges::all_of(key.Digest, [](char c) {
      return absl::ascii_isxdigit(static_cast<unsigned char>(c));
    });
    return firstError(
        {checkIdText("key", key.Id.str()), checkIdText("team", key.Team.str()),
         require(!key.Salt.empty() && key.Salt.size() <= MaxIdLength,
                 "the key's salt is empty or too long",
                 "let the client make a random salt"),
         require(isHex && key.Digest.size() == DigestLength,
                 "the key's digest is no SHA-256 digest",
                 "send the hex digest of salt and secret, never the secret")});
  }
  Status operator()(const WithdrawKey &change) const {
    return checkIdText("key", change.Id.str());
  }
};

std::string textOf(const Resources &r) {
  return absl::StrCat(r.MilliCpu, ",", r.MemoryMb, ",", r.Accelerators);
}

// The fields of a change as text, except the object's id. Ids and digests
// contain no spaces; a salt may, so it comes last to keep the text unambiguous.
struct FieldText {
  std::string operator()(const PutTeam &put) const {
    return absl::StrCat(put.Value.Share, " ", textOf(put.Value.Ceiling));
  }
  std::string operator()(const PutEntry &put) const {
    const Entry &e = put.Value;
    return absl::StrCat(e.Owner.str(), " ", nameIn(WorkClassNames, e.Class),
                        " ", nameIn(UrgencyNames, e.Priority), " ", e.Tasks,
                        " ", textOf(e.Demand), " ", e.RunTime.millis(), " ",
                        e.MaxRunning, " ", e.MaxAttempts, " ", e.IsIdempotent,
                        e.CanCheckpoint, e.CanThrottle, e.IsOpen);
  }
  std::string operator()(const IssueKey &issue) const {
    return absl::StrCat(issue.Value.Team.str(), " ", issue.Value.Digest, " ",
                        issue.Value.Salt);
  }
  std::string operator()(const DeleteTeam &) const { return ""; }
  std::string operator()(const DeleteEntry &) const { return ""; }
  std::string operator()(const WithdrawKey &) const { return ""; }
};

struct ObjectName {
  std::string operator()(const PutTeam &c) const {
    return absl::StrCat("team ", c.Value.Id.str());
  }
  std::string operator()(const DeleteTeam &c) const {
    return absl::StrCat("team ", c.Id.str());
  }
  std::string operator()(const PutEntry &c) const {
    return absl::StrCat("entry ", c.Value.Id.str());
  }
  std::string operator()(const DeleteEntry &c) const {
    return absl::StrCat("entry ", c.Id.str());
  }
  std::string operator()(const IssueKey &c) const {
    return absl::StrCat("key ", c.Value.Id.str());
  }
  std::string operator()(const WithdrawKey &c) const {
    return absl::StrCat("key ", c.Id.str());
  }
};

struct Verb {
  absl::string_view operator()(const PutTeam &) const { return "put"; }
  absl::string_view operator()(const PutEntry &) const { return "put"; }
  absl::string_view operator()(const DeleteTeam &) const { return "delete"; }
  absl::string_view operator()(const DeleteEntry &) const { return "delete"; }
  absl::string_view operator()(const IssueKey &) const { return "issue"; }
  absl::string_view operator()(const WithdrawKey &) const { return "withdraw"; }
};

} // namespace

Status checkChange(const Change &change) {
  return std::visit(Checker{}, change);
}

Status checkEdit(const Edit &edit) {
  return firstError(
      {checkIdText("edit", edit.Id.str()),
       require(edit.Author.size() <= MaxIdLength,
               "the author's name is too long",
               absl::StrCat("give at most ", MaxIdLength, " characters")),
       checkChange(edit.What)});
}

std::string objectOf(const Change &change) {
  return std::visit(ObjectName{}, change);
}

absl::string_view verbOf(const Change &change) {
  return std::visit(Verb{}, change);
}

std::string fingerprintOf(const Edit &edit) {
  return saltedDigest("edit",
                      absl::StrCat(edit.Base.Value, " ", verbOf(edit.What), " ",
                                   objectOf(edit.What), " ",
                                   std::visit(FieldText{}, edit.What), "\n",
                                   edit.Author));
}

} // namespace jujube::catalogue::internal
