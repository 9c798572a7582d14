// Results and typed errors. No exception crosses a module's edge.
#ifndef JUJUBE_BASE_RESULT_H_
#define JUJUBE_BASE_RESULT_H_

#include "absl/strings/string_view.h"
#include <string>
#include <utility>
#include <variant>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"

namespace jujube {

// What went wrong, as a caller needs to tell cases apart.
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
  // A live request that surely did not run: it was shed before it was placed.
  NotRun,
  // A live request that ran, and its runner reported a failure.
  RunFailed,
  // A live request that left, and whose outcome is not known yet.
  OutcomeUnknown,
  // What was asked for is not there any more, or never was.
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

// A typed error. `Message` says what was wrong, `Remedy` what to do about it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
  std::string Remedy;
  // When it is worth trying again; zero if nothing is known about that. Neither
  // journaled nor passed between hosts.
  Duration RetryAfter;

  bool operator==(const Error &) const = default;

  // "kind: message; remedy", for logs and terminals.
  std::string text() const;
};

// The value of a call that succeeds without a result.
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
