#include "jujube/load/run.h"

#include <functional>

#include "absl/strings/str_cat.h"
#include "jujube/http/client.h"
#include "jujube/http/json.h"
#include "jujube/load/driver.h"
#include "jujube/load/messages.h"

namespace jujube::load {
namespace {

constexpr std::size_t MailboxCapacity = 4096;
constexpr std::size_t SenderCapacity = 4;
constexpr Duration SampleTimeout = Duration::millis(800);

// Returns the servers of a sender, each sender starting with a different one to
// spread the load.
std::vector<Address> serversFrom(const std::vector<Address> &all,
                                 std::size_t first) {
  std::vector<Address> servers = all;
  std::rotate(servers.begin(), servers.begin() + (first % servers.size()),
              servers.end());
  return servers;
}

// The body of a sender task: owns its connections and sends jobs one at a time.
Status runSender(const RunOptions &options, std::size_t index,
                 const SenderMailbox &calls, const DriverMailbox &driver,
                 runtime::TaskContext &context) {
  http::Client::Options access;
  access.Servers = serversFrom(options.Servers, index);
  access.Transport = http::makeTransport(options.TlsAuthority);
  Result<http::Client> created = http::Client::create(std::move(access));
  if (!isOk(created))
    return errorOf(created);
  http::Client &client = valueOf(created);
  context.loop().watchMailbox<OutgoingCall>(calls, [&](OutgoingCall call) {
    const Instant sentAt = context.now();
    Result<std::string> answer = client.call(call.Call);
    (void)driver->post(CallCompleted{std::move(call), index, std::move(answer),
                                     client.isUnreachable(),
                                     context.now() - sentAt});
  });
  return context.loop().run();
}

// Samples everything that the run observes.
class Observer {
public:
  explicit Observer(const RunOptions &options)
      : Options(options), Plain(http::makeTransport("")),
        Fleet(http::makeTransport(options.TlsAuthority)) {}

  FleetSample sample() {
    FleetSample sample;
    for (const Address &address : Options.Stats)
      sample.IsComplete &= addStats(address, sample.Standins);
    readStatus(sample);
    for (const WatchedProcess &process : Options.Processes)
      if (const std::optional<ProcessUse> use = readUse(process.Pid))
        sample.Processes[process.Name] = *use;
    return sample;
  }

private:
  static std::optional<std::string> get(const http::TransportHook &transport,
                                        const Address &address,
                                        const std::string &target) {
    const http::TransportOutcome outcome =
        transport(address, {http::Method::Get, target, {}, {}, SampleTimeout});
    const auto *reply = std::get_if<http::HttpResult>(&outcome);
    return reply && reply->Status == 200
               ? std::optional<std::string>(reply->Body)
               : std::nullopt;
  }

  bool addStats(const Address &address, StandinCounts &counts) {
    const std::optional<std::string> text = get(Plain, address, "/stats");
    return text && isOk(counts.addFrom(*text));
  }

  // Uses the first entry host that responds.
  void readStatus(FleetSample &sample) {
    for (const Address &server : Options.Servers) {
      const std::optional<std::string> text = get(Fleet, server, "/v1/status");
      if (!text)
        continue;
      auto status = http::fromJson<api::FleetStatus>(*text);
      if (isOk(status))
        sample.Zones = std::move(valueOf(status).Zones);
      return;
    }
  }

  const RunOptions &Options;
  http::TransportHook Plain;
  http::TransportHook Fleet;
};

Status runObserver(const RunOptions &options, const DriverMailbox &driver,
                   runtime::TaskContext &context) {
  Observer observer(options);
  context.loop().callEvery(options.SamplePeriod,
                           [&] { (void)driver->post(observer.sample()); });
  return context.loop().run();
}

} // namespace

Result<runtime::Supervisor> runTree(RunOptions options,
                                    const std::shared_ptr<RunOutcome> &outcome,
                                    std::function<void()> onEnd) {
  if (options.Servers.empty() || options.Zones.empty())
    return Error{ErrorKind::InvalidArgument,
                 "no entry host or availability zone is known",
                 "set --server to the address of a reachable entry host"};
  const auto shared = std::make_shared<const RunOptions>(std::move(options));
  const DriverMailbox driver =
      runtime::makeMailbox<DriverMessage>(MailboxCapacity);
  std::vector<SenderMailbox> senders;
  std::vector<runtime::ChildSpec> children;
  for (std::size_t i = 0; i < shared->Senders; ++i) {
    const SenderMailbox calls =
        runtime::makeMailbox<OutgoingCall>(SenderCapacity);
    senders.push_back(calls);
    children.push_back(
        {absl::StrCat("sender-", i), [shared, i, calls, driver](auto &context) {
           return runSender(*shared, i, calls, driver, context);
         }});
  }
  children.push_back({"observer", [shared, driver](auto &context) {
                        return runObserver(*shared, driver, context);
                      }});
  children.push_back(
      {"driver", [shared, senders, outcome, onEnd, driver](auto &context) {
         return Driver(*shared, senders, *outcome, onEnd, context).run(driver);
       }});
  return runtime::Supervisor::create({"load"}, std::move(children));
}

} // namespace jujube::load
