#include "jujube/entry/entry_task.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/entry/access.h"
#include "jujube/logging/line.h"

namespace jujube::entry {
namespace {

constexpr Duration SubmitTimeout = Duration::seconds(6);
// The keepers reply to an edit only once it is in force.
constexpr Duration EditTimeout = Duration::seconds(15);
constexpr Duration EditAttemptTimeout = Duration::seconds(7);
// A wait for a fate is split into calls of this length, so that a leader change
// is noticed.
constexpr Duration FatePollPeriod = Duration::seconds(1);
constexpr Duration SyncTimeout = Duration::seconds(4);
// Must exceed the time for which a zone's leader holds a sync open.
constexpr Duration SyncAttemptTimeout = Duration::millis(1900);
constexpr Duration MaxLiveTimeout = Duration::seconds(10);
// By then the load balancer routes callers away from the leaving host.
constexpr Duration HandOverRetryAfter = Duration::seconds(1);

Error unexpectedReply() {
  return {ErrorKind::Internal,
          "another host sent a reply of an unexpected type",
          "run the same version on all hosts"};
}

} // namespace

EntryTask::EntryTask(const EntryOptions &options, runtime::TaskContext &context,
                     wire::PacketMailbox outbox)
    : Settings(options), Loop(context.loop()),
      Messages(Loop, options.Self, options.Listen, std::move(outbox)),
      Keepers(Loop, Messages),
      Catalogue(
          Loop, Keepers,
          {[this] {
             return wire::HostStatus{{Settings.Self, catalogue::HostRole::Entry,
                                      Settings.Zone, Settings.Listen},
                                     false,
                                     Term{}};
           },
           [this] {
             std::vector<catalogue::Team> teams;
             for (const auto &team : Catalogue.catalogue().contents().Teams)
               teams.push_back(team.Value);
             Live->setShares(teams);
           },
           [this] { Zones.update(Catalogue.hosts()); }}),
      Zones(Loop, Messages, options.Zone, options.ZonePeers) {}

Result<std::unique_ptr<EntryTask>>
EntryTask::create(const EntryOptions &options, runtime::TaskContext &context,
                  wire::PacketMailbox outbox, RunnerLinkPool links) {
  std::unique_ptr<EntryTask> task(
      new EntryTask(options, context, std::move(outbox)));
  EntryTask *raw = task.get();
  const Incarnation start{static_cast<uint64_t>(Clock::wall().now().millis())};
  auto live = LiveRequestHandler::create(
      {options.Self, start, options.Zone}, raw->Loop, raw->Zones,
      std::move(links), raw->Metrics,
      {[raw](const api::CallLive &call, const LiveAnswerHook &done) {
        raw->handOver(call, done);
      }});
  if (!isOk(live))
    return errorOf(live);
  raw->Live = valueOf(std::move(live));
  raw->Loop.onTurnEnd([raw] { raw->Live->endTurn(); });
  raw->Keepers.setMembers(options.Keepers);
  raw->Catalogue.start();
  return task;
}

void EntryTask::receive(const wire::TransportEvent &event) {
  const auto request = Messages.receive(event);
  if (!request)
    return;
  if (const auto *pass = std::get_if<wire::ForwardLive>(&request->What))
    handleForwardedLive(*request, *pass);
  else if (const auto *news = std::get_if<wire::AnnounceLeader>(&request->What))
    Zones.announceLeader(news->Zone, news->Leader);
  else
    Messages.reply(
        *request, wire::Refusal{{ErrorKind::InvalidArgument,
                                 "entry hosts don't take this message",
                                 "check which process listens on this address"},
                                Address{}});
}

void EntryTask::execute(PendingCommand command) {
  const CommandReplyHook done =
      [this, done = std::move(command.Done)](Result<api::Reply> result) {
        countRefusal(result);
        done(std::move(result));
      };
  std::visit([&](const auto &what) { run(what, done); }, command.What);
}

void EntryTask::countRefusal(const Result<api::Reply> &result) {
  if (!isOk(result))
    Metrics.add("refused", {"", std::string(nameIn(ErrorKindNames,
                                                   errorOf(result).Kind))});
}

void EntryTask::beginDrain() {
  IsLeaving = true;
  logging::Line(logging::Event::DrainStarted).with("zone", Settings.Zone);
  Live->beginDrain();
}

template <typename Reply, typename Convert>
wire::ReplyHook EntryTask::forward(const CommandReplyHook &done,
                                   Convert convert) {
  return [done, convert](Result<wire::Message> result) {
    if (!isOk(result)) {
      done(errorOf(result));
      return;
    }
    if (auto *reply = std::get_if<Reply>(&valueOf(result)))
      done(api::Reply(convert(std::move(*reply))));
    else
      done(unexpectedReply());
  };
}

Result<wire::LeaderClient *> EntryTask::homeZoneClient(const RequestId &id) {
  const auto zone = homeZone(id);
  if (!isOk(zone))
    return errorOf(zone);
  if (wire::LeaderClient *client = Zones.find(valueOf(zone)))
    return client;
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("request id ", id.str(),
                            " does not begin with a known availability zone"),
               absl::StrCat("begin the id with one of: ", Zones.zoneNames())};
}

Result<TeamId> EntryTask::teamOf(const std::string &presentedKey) const {
  if (presentedKey.empty())
    return TeamId();
  return Catalogue.follower().authenticate(presentedKey, Loop.now());
}

void EntryTask::run(const api::Submit &command, const CommandReplyHook &done) {
  auto work = admit(Catalogue.follower(), command, Loop.now());
  if (!isOk(work)) {
    done(errorOf(work));
    return;
  }
  const auto home = homeZoneClient(command.Request);
  if (!isOk(home)) {
    done(errorOf(home));
    return;
  }
  valueOf(home)->call(wire::SubmitWork{valueOf(std::move(work))}, SubmitTimeout,
                      forward<wire::FateReply>(done, [](wire::FateReply news) {
                        return std::move(news.View);
                      }));
}

void EntryTask::run(const api::Cancel &command, const CommandReplyHook &done) {
  const auto team = teamOf(command.PresentedKey);
  const auto home = homeZoneClient(command.Request);
  if (!isOk(team) || !isOk(home)) {
    done(isOk(team) ? errorOf(home) : errorOf(team));
    return;
  }
  valueOf(home)->call(wire::CancelWork{command.Request, valueOf(team)},
                      SubmitTimeout,
                      forward<wire::FateReply>(done, [](wire::FateReply news) {
                        return std::move(news.View);
                      }));
}

void EntryTask::run(const api::GetFate &command, const CommandReplyHook &done) {
  const auto team = teamOf(command.PresentedKey);
  if (!isOk(team)) {
    done(errorOf(team));
    return;
  }
  if (auto kept = Live->find(command.Request, valueOf(team)))
    done(api::Reply(std::move(*kept)));
  else
    pollFate(command, valueOf(team), Loop.now() + command.Wait, done);
}

void EntryTask::pollFate(const api::GetFate &command, const TeamId &team,
                         Instant deadline, const CommandReplyHook &done) {
  const auto home = homeZoneClient(command.Request);
  if (!isOk(home)) {
    done(errorOf(home));
    return;
  }
  const Duration step =
      std::clamp(deadline - Loop.now(), Duration(), FatePollPeriod);
  valueOf(home)->call(
      wire::QueryFate{command.Request, team, step}, SubmitTimeout,
      [this, command, team, deadline, done](Result<wire::Message> result) {
        auto *news = isOk(result)
                         ? std::get_if<wire::FateReply>(&valueOf(result))
                         : nullptr;
        const bool isOver = !news || fate::isTerminal(news->View.State);
        if (!isOver && Loop.now() < deadline)
          pollFate(command, team, deadline, done);
        else if (news)
          done(api::Reply(std::move(news->View)));
        else
          done(isOk(result) ? unexpectedReply() : errorOf(result));
      });
}

void EntryTask::run(const api::CallLive &command,
                    const CommandReplyHook &done) {
  const auto entry = findEntry(Catalogue.follower(), command.Entry);
  if (!isOk(entry)) {
    done(errorOf(entry));
    return;
  }
  const auto team = actingTeam(Catalogue.follower(), valueOf(entry),
                               command.PresentedKey, Loop.now());
  const auto home = homeZoneClient(command.Request);
  if (!isOk(team) || !isOk(home)) {
    done(isOk(team) ? errorOf(home) : errorOf(team));
    return;
  }
  api::CallLive call = command;
  call.Timeout = std::min(call.Timeout, MaxLiveTimeout);
  Live->serve(call, valueOf(team), valueOf(entry),
              [done](Result<api::LiveAnswer> answer) {
                if (isOk(answer))
                  done(api::Reply(valueOf(std::move(answer))));
                else
                  done(errorOf(answer));
              });
}

void EntryTask::run(const api::EditCatalogue &command,
                    const CommandReplyHook &done) {
  const Status allowed =
      checkToken("operator", command.OperatorToken, Settings.OperatorToken);
  if (!isOk(allowed)) {
    done(errorOf(allowed));
    return;
  }
  Keepers.call(
      wire::ProposeEdit{command.Edit, command.IsDryRun}, EditTimeout,
      forward<wire::EditReply>(
          done, [](const wire::EditReply &edit) { return edit.Receipt; }),
      EditAttemptTimeout);
}

void EntryTask::run(const api::GetCatalogue &command,
                    const CommandReplyHook &done) {
  const Status allowed =
      checkToken("operator", command.OperatorToken, Settings.OperatorToken);
  if (isOk(allowed))
    done(api::Reply(Catalogue.catalogue().contents()));
  else
    done(errorOf(allowed));
}

void EntryTask::run(const api::GetHistory &command,
                    const CommandReplyHook &done) {
  const Status allowed =
      checkToken("operator", command.OperatorToken, Settings.OperatorToken);
  if (!isOk(allowed)) {
    done(errorOf(allowed));
    return;
  }
  Keepers.call(wire::ReadHistory{command.MaxLines}, SubmitTimeout,
               forward<wire::HistoryPage>(done, [](wire::HistoryPage page) {
                 return std::move(page.Lines);
               }));
}

void EntryTask::run(const api::SyncWorker &command,
                    const CommandReplyHook &done) {
  const Status allowed =
      checkToken("fleet", command.FleetToken, Settings.FleetToken);
  if (!isOk(allowed)) {
    done(errorOf(allowed));
    return;
  }
  Zones.own().call(wire::SyncTasks{command.Sync}, SyncTimeout,
                   forward<wire::SyncTasksReply>(done,
                                                 [](wire::SyncTasksReply sync) {
                                                   return std::move(sync.Reply);
                                                 }),
                   SyncAttemptTimeout);
}

void EntryTask::run(const api::AnnounceRunner &command,
                    const CommandReplyHook &done) {
  const Status allowed =
      checkToken("fleet", command.FleetToken, Settings.FleetToken);
  if (!isOk(allowed)) {
    done(errorOf(allowed));
    return;
  }
  wire::LeaderClient *zone = Zones.find(command.Announcement.Zone);
  if (!zone) {
    done(Error{
        ErrorKind::InvalidArgument,
        absl::StrCat("availability zone ", command.Announcement.Zone.str(),
                     " is unknown"),
        absl::StrCat("announce the runner in one of: ", Zones.zoneNames())});
    return;
  }
  zone->call(
      wire::ForwardAnnouncement{command.Announcement}, SyncTimeout,
      forward<wire::Done>(done, [](const wire::Done &) { return Ok{}; }));
}

void EntryTask::handOver(const api::CallLive &call,
                         const LiveAnswerHook &done) {
  const auto &hosts = Catalogue.hosts();
  const auto isOtherEntryHost = [this](const wire::HostStatus &host) {
    return host.Host.Role == catalogue::HostRole::Entry &&
           host.Host.Id != Settings.Self;
  };
  const auto isInOwnZone = [&](const wire::HostStatus &host) {
    return isOtherEntryHost(host) && host.Host.Zone == Settings.Zone;
  };
  auto it = std::ranges::find_if(hosts, isInOwnZone);
  if (it == hosts.end())
    it = std::ranges::find_if(hosts, isOtherEntryHost);
  if (it == hosts.end()) {
    done(Error{ErrorKind::NotRun,
               "this entry host is leaving; the request was not run",
               "send the request to another entry host", HandOverRetryAfter});
    return;
  }
  Messages.call(
      it->Host.Peer, wire::ForwardLive{call}, call.Timeout + SubmitTimeout,
      [done, id = call.Request](Result<wire::Message> reply) {
        // The other entry host may have sent the request even if its reply was
        // lost.
        if (!isOk(reply))
          done(outcomeUnknownError(id));
        else if (auto *answer = std::get_if<wire::LiveDone>(&valueOf(reply)))
          done(std::move(answer->Answer));
        else if (auto *refusal = std::get_if<wire::Refusal>(&valueOf(reply)))
          done(refusal->Why);
        else
          done(unexpectedReply());
      });
}

void EntryTask::handleForwardedLive(const wire::Envelope &request,
                                    const wire::ForwardLive &pass) {
  run(pass.Call, [this, request](Result<api::Reply> result) {
    if (!isOk(result))
      Messages.reply(request, wire::Refusal{errorOf(result), Address{}});
    else if (auto *answer = std::get_if<api::LiveAnswer>(&valueOf(result)))
      Messages.reply(request, wire::LiveDone{std::move(*answer)});
  });
}

} // namespace jujube::entry
