// Results and typed errors. Functions report errors through Result; exceptions
// do not cross module boundaries.
#ifndef JUJUBE_BASE_RESULT_H_
#define JUJUBE_BASE_RESULT_H_

#include "absl/strings/string_view.h"
#include <string>
#include <utility>
#include <variant>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"

namespace jujube {

// Categories of errors that callers distinguish.
enum class ErrorKind {
  InvalidArgument,
  MalformedBody,
  BodyTooLarge,
  Unauthenticated,
  PermissionDenied,
  NotFound,
  ImpossibleRequest,
  DuplicateRequest,
  RevisionConflict,
  LimitExceeded,
  Overloaded,
  DeadlineExceeded,
  Unavailable,
  NotLeader,
  StaleData,
  StorageFull,
  StorageFailed,
  CorruptData,
  Cancelled,
  Internal,
  // A live request that was shed before placement and certainly did not run.
  NotRun,
  // A live request that ran and whose runner reported a failure.
  RunFailed,
  // A live request that was sent to a runner and whose outcome is not known
  // yet.
  OutcomeUnknown,
  // The requested item no longer exists or never existed.
  Gone,
};

inline constexpr NameTable<ErrorKind, 24> ErrorKindNames = {{
    {ErrorKind::InvalidArgument, "invalid_argument"},
    {ErrorKind::MalformedBody, "malformed_body"},
    {ErrorKind::BodyTooLarge, "body_too_large"},
    {ErrorKind::Unauthenticated, "unauthenticated"},
    {ErrorKind::PermissionDenied, "permission_denied"},
    {ErrorKind::NotFound, "not_found"},
    {ErrorKind::ImpossibleRequest, "impossible_request"},
    {ErrorKind::DuplicateRequest, "duplicate_request"},
    {ErrorKind::RevisionConflict, "revision_conflict"},
    {ErrorKind::LimitExceeded, "limit_exceeded"},
    {ErrorKind::Overloaded, "overloaded"},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::NotLeader, "not_leader"},
    {ErrorKind::StaleData, "stale_data"},
    {ErrorKind::StorageFull, "storage_full"},
    {ErrorKind::StorageFailed, "storage_failed"},
    {ErrorKind::CorruptData, "corrupt_data"},
    {ErrorKind::Cancelled, "cancelled"},
    {ErrorKind::Internal, "internal"},
    {ErrorKind::NotRun, "not_run"},
    {ErrorKind::RunFailed, "run_failed"},
    {ErrorKind::OutcomeUnknown, "outcome_unknown"},
    {ErrorKind::Gone, "gone"},
}};
static_assert(isComplete(ErrorKindNames));

// A typed error. `Message` describes the fault, and `Remedy` tells the user how
// to correct it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  std::string Remedy;
  // Recommended delay before a retry; zero if unknown. It is neither journaled
  // nor sent between hosts.
  Duration RetryAfter;

  bool operator==(const Error &) const = default;

  // "kind: message; remedy", for logs and terminals.
  std::string text() const;
};

// The value of a Result whose call returns nothing on success.
struct Ok {
  bool operator==(const Ok &) const = default;
};

template <typename T> using Result = std::variant<T, Error>;
using Status = Result<Ok>;

template <typename T> bool isOk(const Result<T> &result) {
  return result.index() == 0;
}

// Precondition for both: isOk(result).
template <typename T> T &valueOf(Result<T> &result) {
  return std::get<0>(result);
}
template <typename T> const T &valueOf(const Result<T> &result) {
  return std::get<0>(result);
}
template <typename T> T valueOf(Result<T> &&result) {
  return std::get<0>(std::move(result));
}

// Precondition: !isOk(result).
template <typename T> const Error &errorOf(const Result<T> &result) {
  return std::get<1>(result);
}

} // namespace jujube

#endif // JUJUBE_BASE_RESULT_H_
