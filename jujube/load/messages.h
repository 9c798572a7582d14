// Messages between the tasks of a run.
#ifndef JUJUBE_LOAD_MESSAGES_H_
#define JUJUBE_LOAD_MESSAGES_H_

#include <cstddef>
#include <string>
#include <variant>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"
#include "jujube/http/client.h"
#include "jujube/load/fleet_sample.h"
#include "jujube/runtime/mailbox.h"

namespace jujube::load {

// The purpose of an HTTP call.
enum class JobKind { Submit, Call, Cancel, Poll };

inline constexpr NameTable<JobKind, 4> JobKindNames = {{
    {JobKind::Submit, "submit"},
    {JobKind::Call, "call"},
    {JobKind::Cancel, "cancel"},
    {JobKind::Poll, "poll"},
}};
static_assert(isComplete(JobKindNames));

// Sent by the driver to a sender.
struct Job {
  JobKind Kind = JobKind::Submit;
  // Index of the record in the ledger.
  std::size_t Record = 0;
  http::HttpCall Call;
};

// Sent by a sender to the driver.
struct JobDone {
  Job Done;
  std::size_t Sender = 0;
  Result<std::string> Answer;
  bool IsUnreachable = false;
  Duration Took;
};

using DriverMessage = std::variant<JobDone, FleetSample>;
using DriverMailbox = runtime::MailboxPtr<DriverMessage>;
using SenderMailbox = runtime::MailboxPtr<Job>;

} // namespace jujube::load

#endif // JUJUBE_LOAD_MESSAGES_H_
