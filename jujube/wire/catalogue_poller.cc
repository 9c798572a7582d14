#include "jujube/wire/catalogue_poller.h"

#include <utility>

namespace jujube::wire {
namespace {

// A poll is given up after this span. One poll is one attempt, so that the copy
// counts as confirmed when that attempt was sent.
constexpr Duration PollTimeout = Duration::millis(1200);
constexpr Duration PauseAfterFailure = Duration::millis(100);

} // namespace

void CataloguePoller::poll() {
  const Instant sentAt = Loop.now();
  Keepers.callOnce(
      PollCatalogue{Callbacks.Describe(), Follower.latest(), HostsAt},
      PollTimeout, [this, sentAt](Result<Message> reply) {
        take(std::move(reply), sentAt);
      });
}

void CataloguePoller::take(Result<Message> reply, Instant sentAt) {
  const auto *news =
      isOk(reply) ? std::get_if<CatalogueNews>(&valueOf(reply)) : nullptr;
  if (!news) {
    Loop.callAt(Loop.now() + PauseAfterFailure, [this] { poll(); });
    return;
  }
  const Revision before = Follower.latest();
  (void)Follower.receive(news->News, sentAt);
  if (std::exchange(HostsAt, news->HostsAt) != news->HostsAt)
    Hosts = news->Hosts;
  Callbacks.OnHosts();
  if (Follower.latest() > before)
    Callbacks.OnNewRevision();
  poll();
}

} // namespace jujube::wire
