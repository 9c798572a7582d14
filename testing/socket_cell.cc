#include "testing/socket_cell.h"

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "platform/client_hook.h"
#include "platform/control_calls.h"
#include "platform/job_calls.h"
#include "platform/worker_calls.h"

namespace jujube::testing {
namespace {

constexpr uint16_t GroupPort = 7420;
constexpr uint16_t ControlPort = 8180;
constexpr std::size_t MailboxCapacity = 4096;
constexpr Duration CallTimeout = Duration::seconds(1);
// A leader's timeout for a query exceeds the query's own time by this.
constexpr Duration QueryGrace = Duration::millis(500);

Address memberAt(int member) {
  return {absl::StrCat("127.0.0.", member), GroupPort};
}

control::ControlMailboxes makeMailboxes() {
  return {runtime::makeMailbox<control::ClientRequest>(MailboxCapacity),
          runtime::makeMailbox<http::CallRequest>(MailboxCapacity),
          runtime::makeMailbox<http::CallResult>(MailboxCapacity)};
}

runtime::ChildSpec controlServer(const Address &listen,
                                 const control::ClientMailbox &clients) {
  http::ServerOptions serving;
  serving.Listen = listen;
  return valueOf(http::exchangeServerTask(
      "control_http", serving,
      [clients](const http::RawRequest &exchange) {
        auto command = platform::decodeControlCall(exchange);
        if (!isOk(command))
          return platform::encodeAnswer(errorOf(command));
        return platform::encodeAnswer(platform::runCommand(
            clients, valueOf(std::move(command)), CallTimeout));
      },
      [] { return true; }));
}

} // namespace

RunningTree::RunningTree(runtime::ChildSpec child, Clock clock)
    : Thread(valueOf(runtime::Task::start(child.Name, std::move(clock),
                                          std::move(child.Body),
                                          [](const runtime::TaskExit &) {}))) {}

RunningTree::~RunningTree() {
  Thread->requestStop();
  Thread->join();
}

SocketCell::SocketCell(SocketCellOptions options)
    : Options(std::move(options)),
      Folder(absl::StrCat(std::filesystem::temp_directory_path().string(),
                          "/jujube-cell-", randomHex(6))) {
  std::filesystem::create_directories(Folder);
  const auto inbox =
      runtime::makeMailbox<wire::TransportEvent>(MailboxCapacity);
  const auto outbox = runtime::makeMailbox<wire::Packet>(MailboxCapacity);
  Trees.emplace_back(
      wire::transportTask({approverAt(), "fleet-token"}, outbox, inbox));
  Trees.emplace_back(approverTask(inbox, outbox));
  for (int i = 1; i <= Options.Members; ++i) {
    const control::ControlMailboxes boxes = makeMailboxes();
    Clients.push_back(boxes.Clients);
    Trees.emplace_back(makeMemberSupervisor(i, boxes));
  }
}

SocketCell::~SocketCell() {
  Trees.clear();
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

Address SocketCell::controlAt(int member) {
  return {absl::StrCat("127.0.0.", member), ControlPort};
}

Address SocketCell::approverAt() { return {"127.0.1.1", GroupPort}; }

runtime::ChildSpec
SocketCell::makeMemberSupervisor(int member,
                                 const control::ControlMailboxes &boxes) const {
  control::ControlOptions options;
  options.Listen = memberAt(member);
  options.Self = control::hostIdOf(options.Listen);
  options.Control = controlAt(member);
  options.Seeds = {memberAt(1), memberAt(2), memberAt(3)};
  options.MayBootstrap = true;
  options.Voters = static_cast<std::size_t>(Options.Members);
  options.DataFolder = absl::StrCat(Folder, "/", member);
  options.FleetToken = "fleet-token";
  options.Workers = platform::workerProtocol();
  options.Files.Write = [isFull = Options.AreDisksFull](
                            int fd, absl::string_view data) -> Status {
    if (isFull())
      return storage::fileError("write", "the journal", ENOSPC);
    return storage::writeFile(fd, data);
  };
  options.Files.Sync = [span = Options.SyncTime](int) -> Status {
    std::this_thread::sleep_for(std::chrono::milliseconds(span.millis()));
    return Ok{};
  };
  return valueOf(control::makeControlTree(
                     options, boxes,
                     {controlServer(options.Control, boxes.Clients)}))
      .asChild();
}

runtime::ChildSpec SocketCell::approverTask(wire::TransportInbox inbox,
                                            wire::PacketMailbox outbox) const {
  return {"approver",
          [inbox = std::move(inbox), outbox = std::move(outbox),
           isApproved = Options.IsApproved, validity = Options.TicketValidity](
              runtime::TaskContext &context) -> Status {
            runtime::PollLoop &loop = context.loop();
            wire::Messenger messages(loop, HostId("approver"), approverAt(),
                                     outbox);
            const auto answer = [&](const wire::Envelope &request,
                                    const jobs::ApprovalQuery &query) {
              jobs::ApprovalAnswer out{{}, validity};
              for (const WorkerId &worker : query.Workers)
                if (isApproved(query.Step, worker))
                  out.Approved.push_back({worker, "ticket"});
              messages.reply(request, wire::ApprovalReply{std::move(out)});
            };
            loop.watchMailbox<wire::TransportEvent>(
                inbox, [&](const wire::TransportEvent &event) {
                  const auto request = messages.receive(event);
                  const auto *ask =
                      request ? std::get_if<wire::QueryApproval>(&request->What)
                              : nullptr;
                  if (ask != nullptr)
                    loop.callAt(
                        loop.now() + ask->Timeout - QueryGrace,
                        [&answer, request = *request, query = ask->Query] {
                          answer(request, query);
                        });
                });
            return loop.run();
          }};
}

} // namespace jujube::testing
