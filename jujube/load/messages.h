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
enum class CallKind { Submit, Call, Cancel, Poll };

inline constexpr NameTable<CallKind, 4> CallKindNames = {{
    {CallKind::Submit, "submit"},
    {CallKind::Call, "call"},
    {CallKind::Cancel, "cancel"},
    {CallKind::Poll, "poll"},
}};
static_assert(isComplete(CallKindNames));

// Sent by the driver to a sender.
struct OutgoingCall {
  CallKind Kind = CallKind::Submit;
  // Index of the record in the ledger.
  std::size_t Record = 0;
  http::HttpCall Call;
};

// Sent by a sender to the driver.
struct CallCompleted {
  OutgoingCall Call;
  std::size_t Sender = 0;
  Result<std::string> Answer;
  bool IsUnreachable = false;
  Duration Latency;
};

using DriverMessage = std::variant<CallCompleted, FleetSample>;
using DriverMailbox = runtime::MailboxPtr<DriverMessage>;
using SenderMailbox = runtime::MailboxPtr<OutgoingCall>;

} // namespace jujube::load

#endif // JUJUBE_LOAD_MESSAGES_H_
