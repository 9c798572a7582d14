#include "jujube/entry/runner_link.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jujube/entry/runner_exchange.h"

namespace jujube::entry {
namespace {

// Body of a link task: performs each command and reports its outcome.
Status runLink(runtime::TaskContext &context, std::size_t index,
               const runtime::MailboxPtr<LinkCommand> &commands,
               const runtime::MailboxPtr<LinkEvent> &events) {
  RunnerConnection connection(context.loop().clock());
  // The capacity of the mailbox covers one event per exchange and one per
  // start.
  (void)events->post(LinkEvent{index, std::nullopt});
  context.loop().watchMailbox<LinkCommand>(
      commands, [&](const LinkCommand &command) {
        (void)events->post(LinkEvent{index, connection.perform(command)});
      });
  return context.loop().run();
}

} // namespace

Result<RunnerLinkPool> RunnerLinkPool::create(std::size_t links) {
  if (links == 0)
    return Error{ErrorKind::InvalidArgument,
                 "a runner link pool needs at least one link",
                 "allow at least one request in flight"};
  RunnerLinkPool pool;
  pool.Events = runtime::makeMailbox<LinkEvent>(4 * links);
  pool.Links.resize(links);
  for (Link &link : pool.Links)
    link.Commands = runtime::makeMailbox<LinkCommand>(2);
  return pool;
}

std::vector<runtime::ChildSpec> RunnerLinkPool::children() const {
  std::vector<runtime::ChildSpec> specs;
  for (std::size_t i = 0; i < Links.size(); ++i)
    specs.push_back({absl::StrCat("runner-link-", i),
                     [i, commands = Links[i].Commands,
                      events = Events](runtime::TaskContext &context) {
                       return runLink(context, i, commands, events);
                     }});
  return specs;
}

Status RunnerLinkPool::send(SendRequest request) {
  const routing::Dispatch &it = request.Dispatch;
  RunnerOutcome pending{it.Request, it.Runner, it.Attempt};
  return start(std::move(pending), std::move(request));
}

Status RunnerLinkPool::inquire(SendInquiry inquiry) {
  const routing::Inquire &it = inquiry.Inquiry;
  RunnerOutcome pending{it.Request, it.Runner, it.Attempt};
  pending.IsInquiry = true;
  return start(std::move(pending), std::move(inquiry));
}

Status RunnerLinkPool::start(RunnerOutcome pending, LinkCommand command) {
  Link *link = choose(pending.Runner);
  if (link == nullptr)
    return Error{ErrorKind::Overloaded, "all runner links are busy",
                 "retry later, or configure more links for the entry host"};
  if (Status status = link->Commands->post(std::move(command)); !isOk(status))
    return status;
  link->LastRunner = pending.Runner;
  link->LastUse = ++Uses;
  link->InProgress = std::move(pending);
  return Ok{};
}

RunnerLinkPool::Link *RunnerLinkPool::choose(const RunnerId &runner) {
  const auto rank = [&](const Link &link) {
    return std::make_tuple(link.InProgress.has_value(),
                           link.LastRunner != runner, link.LastUse);
  };
  const auto best = std::ranges::min_element(Links, {}, rank);
  return best->InProgress ? nullptr : &*best;
}

std::optional<RunnerOutcome> RunnerLinkPool::handle(LinkEvent event) {
  Link &link = Links[event.Link];
  if (!event.Outcome && !link.HasStarted) {
    link.HasStarted = true;
    return std::nullopt;
  }
  std::optional<RunnerOutcome> ended = std::move(link.InProgress);
  link.InProgress.reset();
  return event.Outcome ? std::move(event.Outcome) : std::move(ended);
}

std::size_t RunnerLinkPool::busy() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Links, [](const Link &link) { return link.InProgress.has_value(); }));
}

} // namespace jujube::entry
