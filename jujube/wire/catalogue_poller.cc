#include "jujube/wire/catalogue_poller.h"

#include <utility>

namespace jujube::wire {
namespace {

// Timeout of a poll. A poll is sent only once, because the copy counts as
// confirmed at the time when the poll was sent.
constexpr Duration PollTimeout = Duration::millis(1200);
constexpr Duration RetryDelay = Duration::millis(100);

} // namespace

void CataloguePoller::poll() {
  const Instant sentAt = Loop.now();
  Keepers.callOnce(
      PollCatalogue{Callbacks.DescribeSelf(), Follower.latest(), HostsVersion},
      PollTimeout, [this, sentAt](Result<Message> reply) {
        handleReply(std::move(reply), sentAt);
      });
}

void CataloguePoller::handleReply(Result<Message> reply, Instant sentAt) {
  const auto *news =
      isOk(reply) ? std::get_if<CatalogueReply>(&valueOf(reply)) : nullptr;
  if (!news) {
    Loop.callAt(Loop.now() + RetryDelay, [this] { poll(); });
    return;
  }
  const Revision before = Follower.latest();
  (void)Follower.receive(news->News, sentAt);
  if (std::exchange(HostsVersion, news->HostsVersion) != news->HostsVersion)
    Hosts = news->Hosts;
  Callbacks.OnHostsConfirmed();
  if (Follower.latest() > before)
    Callbacks.OnNewRevision();
  poll();
}

} // namespace jujube::wire
