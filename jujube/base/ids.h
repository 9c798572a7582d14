// Strongly typed identifiers: text ids and counters of different entities
// cannot be mixed up.
#ifndef JUJUBE_BASE_IDS_H_
#define JUJUBE_BASE_IDS_H_

#include "absl/strings/string_view.h"
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "jujube/base/result.h"

namespace jujube {

// Maximum length of a text id in characters.
inline constexpr std::size_t MaxIdLength = 96;

// Returns Ok if `text` has 1 to MaxIdLength characters from [A-Za-z0-9._-].
// `idType` is the kind of id to name in the error message.
Status checkIdText(absl::string_view idType, absl::string_view text);

// A text id of the entity that `Tag` denotes. Tag::Name appears in error
// messages.
template <typename Tag> class TextId {
public:
  TextId() = default;
  // Does not validate `text`; use parse() for external input.
  explicit TextId(std::string text) : Text(std::move(text)) {}

  static Result<TextId> parse(absl::string_view text) {
    if (Status status = checkIdText(Tag::Name, text); !isOk(status))
      return errorOf(status);
    return TextId(std::string(text));
  }

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const TextId &) const = default;

  template <typename H> friend H AbslHashValue(H state, const TextId &id) {
    return H::combine(std::move(state), id.Text);
  }

private:
  std::string Text;
};

// A counter of the entity that `Tag` denotes.
template <typename Tag> struct NumberId {
  uint64_t Value = 0;

  NumberId next() const { return NumberId{Value + 1}; }
  auto operator<=>(const NumberId &) const = default;

  template <typename H> friend H AbslHashValue(H state, const NumberId &id) {
    return H::combine(std::move(state), id.Value);
  }
};

struct TeamTag {
  static constexpr absl::string_view Name = "team";
};
struct EntryTag {
  static constexpr absl::string_view Name = "catalogue entry";
};
struct KeyTag {
  static constexpr absl::string_view Name = "key";
};
struct EditTag {
  static constexpr absl::string_view Name = "edit";
};
struct RequestTag {
  static constexpr absl::string_view Name = "request";
};
struct WorkerTag {
  static constexpr absl::string_view Name = "worker";
};
struct RunnerTag {
  static constexpr absl::string_view Name = "runner";
};
struct RackTag {
  static constexpr absl::string_view Name = "rack";
};
struct ZoneTag {
  static constexpr absl::string_view Name = "availability zone";
};
struct HostTag {
  static constexpr absl::string_view Name = "control host";
};

using TeamId = TextId<TeamTag>;
using EntryId = TextId<EntryTag>;
using KeyId = TextId<KeyTag>;
// Chosen by the operator's client, so that resending an edit is idempotent.
using EditId = TextId<EditTag>;
// Chosen by the caller, so that resending a request is idempotent. It has the
// form ZONE.NAME, where ZONE is the availability zone that stores the request's
// fate.
using RequestId = TextId<RequestTag>;
using WorkerId = TextId<WorkerTag>;
using RunnerId = TextId<RunnerTag>;
using RackId = TextId<RackTag>;
using ZoneId = TextId<ZoneTag>;
// A process of the control plane: a keeper, a zone scheduler or an entry host.
using HostId = TextId<HostTag>;

// Revision of the catalogue. The fleet log assigns the next revision to each
// accepted edit.
using Revision = NumberId<struct RevisionTag>;
// Term of a consensus group.
using Term = NumberId<struct TermTag>;
// Position in a replicated log; the first entry has index 1.
using LogIndex = NumberId<struct LogIndexTag>;
// Number of starts of a worker, runner or control host. It distinguishes a
// restarted process from the previous one under the same id.
using Incarnation = NumberId<struct IncarnationTag>;

// Identifies one task of a request. Gang jobs and services have several tasks.
struct TaskId {
  RequestId Request;
  uint32_t Index = 0;

  auto operator<=>(const TaskId &) const = default;

  template <typename H> friend H AbslHashValue(H state, const TaskId &id) {
    return H::combine(std::move(state), id.Request, id.Index);
  }
};

// Fencing token of one attempt to run a task. A worker rejects a token that is
// lower than the highest token it has seen for the task.
struct AttemptToken {
  Term GroupTerm;
  uint64_t Attempt = 0;

  auto operator<=>(const AttemptToken &) const = default;
};

// Returns the availability zone in a request id, or InvalidArgument if the id
// does not have the form ZONE.NAME.
Result<ZoneId> homeZone(const RequestId &id);

} // namespace jujube

#endif // JUJUBE_BASE_IDS_H_
