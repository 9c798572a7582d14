// Distinct types for the names and numbers that identify things.
#ifndef JUJUBE_BASE_IDS_H_
#define JUJUBE_BASE_IDS_H_

#include "absl/strings/string_view.h"
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "jujube/base/result.h"

namespace jujube {

// Longest text id in characters.
inline constexpr std::size_t MaxIdLength = 96;

// Ok if `text` has 1 to MaxIdLength characters out of [A-Za-z0-9._-]; `what`
// names the id in the error.
Status checkIdText(absl::string_view what, absl::string_view text);

// A name whose type tells what it names.
template <typename Tag> class TextId {
public:
  TextId() = default;
  // For text that is known to be valid; use parse() for outside input.
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

// A counter whose type tells what it counts.
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
// Chosen by the operator's client, so that a resent edit is recognised.
using EditId = TextId<EditTag>;
// Chosen by the caller, so that a resent request is recognised. It has the form
// ZONE.NAME: the availability zone that keeps the request's fate, and a name.
using RequestId = TextId<RequestTag>;
using WorkerId = TextId<WorkerTag>;
using RunnerId = TextId<RunnerTag>;
using RackId = TextId<RackTag>;
using ZoneId = TextId<ZoneTag>;
// A process of the system: a keeper, a zone scheduler or an entry host.
using HostId = TextId<HostTag>;

// Revision of the catalogue; the fleet log gives each accepted edit the next
// one.
using Revision = NumberId<struct RevisionTag>;
// Term of a consensus group.
using Term = NumberId<struct TermTag>;
// Position in a replicated log, from 1.
using LogIndex = NumberId<struct LogIndexTag>;
// Counts the starts of a worker, runner or control host, so that a restarted
// one is told from its predecessor.
using Incarnation = NumberId<struct IncarnationTag>;

// One task of a request: gang jobs and services have several.
struct TaskId {
  RequestId Request;
  uint32_t Index = 0;

  auto operator<=>(const TaskId &) const = default;

  template <typename H> friend H AbslHashValue(H state, const TaskId &id) {
    return H::combine(std::move(state), id.Request, id.Index);
  }
};

// Fencing token of one attempt to run a task. A worker refuses a token lower
// than the highest it has seen for the task.
struct AttemptToken {
  Term GroupTerm;
  uint64_t Attempt = 0;

  auto operator<=>(const AttemptToken &) const = default;
};

// Returns the availability zone that a request id names, or an error if the id
// does not have the form ZONE.NAME.
Result<ZoneId> homeZone(const RequestId &id);

} // namespace jujube

#endif // JUJUBE_BASE_IDS_H_
