#include "jujube/daemon/daemon.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "glog/logging.h"

namespace jujube::daemon {

Result<std::vector<consensus::Peer>> parsePeers(absl::string_view text) {
  std::vector<consensus::Peer> peers;
  for (absl::string_view item :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(item, absl::MaxSplits('=', 1));
    auto host = HostId::parse(parts.first);
    auto address = Address::parse(parts.second);
    if (!isOk(host) || !isOk(address))
      return Error{ErrorKind::InvalidArgument,
                   absl::StrCat("'", item, "' is not a member"),
                   "write members as HOST=IP:PORT,HOST=IP:PORT"};
    peers.push_back({valueOf(std::move(host)), valueOf(std::move(address))});
  }
  return peers;
}

Result<Address> addressOf(const std::vector<consensus::Peer> &peers,
                          const HostId &self) {
  const auto it = std::ranges::find(peers, self, &consensus::Peer::Host);
  if (it != peers.end())
    return it->At;
  return Error{
      ErrorKind::InvalidArgument,
      absl::StrCat("host ", self.str(), " is not in the list of members"),
      "add HOST=IP:PORT of this host to the list"};
}

int runDaemon(absl::string_view usage, const std::vector<SettingSpec> &specs,
              const TreeHook &makeTree, int argc, char **argv) {
  auto parsed = parseOrExplain(usage, specs, argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  // A file that may not grow any more is an error of its write, not the end of
  // the process.
  std::signal(SIGXFSZ, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  google::InstallFailureSignalHandler();
  auto tree = makeTree(std::get<Settings>(parsed));
  if (!isOk(tree)) {
    std::cerr << errorOf(tree).text() << "\n";
    return UsageExitCode;
  }
  const Status status =
      runtime::runUntilSignalled(valueOf(tree), Clock::monotonic());
  if (isOk(status)) {
    LOG(INFO) << "event=stopped";
    return 0;
  }
  LOG(ERROR) << "event=gave_up error=\"" << errorOf(status).text() << "\"";
  return 1;
}

} // namespace jujube::daemon
