// The tasks of a process that emulates runners: one owns the state of all
// emulated runners, one serves HTTP, one announces them.
#ifndef TESTING_STANDIN_RUNNER_TASKS_H_
#define TESTING_STANDIN_RUNNER_TASKS_H_

#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/reply_slot.h"
#include "jujube/runtime/supervisor.h"
#include "testing/standin_runner.h"

namespace jujube::testing {

struct RunnerFleetOptions {
  // Their Announcement.Http is set to the bound address.
  std::vector<StandinRunnerOptions> Runners;
  std::vector<Address> Entries;
  std::string FleetToken;
  // PEM file of the entry hosts' authority; empty for plain HTTP.
  std::string TlsAuthority;
  Address Listen;
  // Connections served at once.
  std::size_t Threads = 60;
  Duration AnnouncePeriod = Duration::millis(500);
  // Time after which the runners neither announce nor answer; never() to
  // disable.
  Duration SilentAfter = Duration::millis(Instant::never().millis());
  // Time after which the runners leave; never() to leave only when the process
  // is asked to stop.
  Duration LeaveAfter = Duration::millis(Instant::never().millis());
};

// Messages to the task that owns the runners.
struct RunArrived {
  entry::RunCall Call;
  runtime::ReplySlotPtr<StandinReply> Reply;
};
struct InquiryArrived {
  entry::InquiryCall Call;
  runtime::ReplySlotPtr<StandinReply> Reply;
};
struct StatsAsked {
  runtime::ReplySlotPtr<StandinReply> Reply;
};
struct AnnouncementsAsked {
  // Makes the runners leave before their announcements are returned.
  bool IsLeaving = false;
  runtime::ReplySlotPtr<std::vector<routing::RunnerAnnouncement>> Reply;
};
using RunnerMessage =
    std::variant<RunArrived, InquiryArrived, StatsAsked, AnnouncementsAsked>;

// The tasks that serve runners, without announcing them, and their address.
struct RunnerService {
  Address Http;
  runtime::MailboxPtr<RunnerMessage> Mailbox;
  std::vector<runtime::ChildSpec> Children;
};
Result<RunnerService> runnerService(RunnerFleetOptions options);

// Builds the process's supervisor tree. GET /stats on the listening address
// serves the counts. When the tree is asked to stop, the runners leave, finish
// the requests in progress and end. Fails if the address can't be bound.
Result<runtime::Supervisor> runnerTree(RunnerFleetOptions options);

} // namespace jujube::testing

#endif // TESTING_STANDIN_RUNNER_TASKS_H_
