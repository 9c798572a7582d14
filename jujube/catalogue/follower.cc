#include "jujube/catalogue/follower.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jujube::catalogue {
namespace {

Error stale(Revision have, const Update &update) {
  return {ErrorKind::StaleData,
          absl::StrCat("the update covers revisions ", update.From.Value,
                       " to ", update.To.Value,
                       ", but this copy is at revision ", have.Value),
          "poll the keepers again from this copy's revision"};
}

} // namespace

Result<Revision> CatalogueFollower::receive(const Update &update,
                                            Instant sentAt) {
  const Revision have = Copy.latest();
  if (update.To < have)
    return stale(have, update);
  if (const Status status = applyUpdate(update); !isOk(status))
    return errorOf(status);
  if (update.IsConfirmed) {
    ConfirmedAt = HasBeenConfirmed ? std::max(ConfirmedAt, sentAt) : sentAt;
    HasBeenConfirmed = true;
  }
  return Copy.latest();
}

Status CatalogueFollower::applyUpdate(const Update &update) {
  const Revision have = Copy.latest();
  if (update.To == have)
    return Ok{};
  if (update.Snapshot.has_value()) {
    Result<Catalogue> copy = Catalogue::fromContents(*update.Snapshot);
    if (!isOk(copy))
      return errorOf(copy);
    if (valueOf(copy).latest() != update.To)
      return stale(have, update);
    Copy = valueOf(std::move(copy));
    return Ok{};
  }
  const bool isContiguous =
      update.Edits.size() == update.To.Value - update.From.Value;
  if (update.From > have || !isContiguous)
    return stale(have, update);
  const auto alreadyApplied =
      static_cast<std::ptrdiff_t>(have.Value - update.From.Value);
  std::for_each(update.Edits.begin() + alreadyApplied, update.Edits.end(),
                [this](const Edit &edit) { Copy.applyAccepted(edit); });
  return Ok{};
}

bool CatalogueFollower::isFresh(Instant now) const {
  return HasBeenConfirmed && now - ConfirmedAt <= Bound;
}

Status CatalogueFollower::checkFresh(Instant now) const {
  if (isFresh(now))
    return Ok{};
  return Error{
      ErrorKind::Unavailable,
      HasBeenConfirmed
          ? absl::StrCat("the keepers have not confirmed this host's catalogue "
                         "for ",
                         age(now).millis(), " ms")
          : "the keepers have not confirmed this host's catalogue yet",
      "retry at another entry host; open entries are still served"};
}

Duration CatalogueFollower::age(Instant now) const {
  return HasBeenConfirmed ? now - ConfirmedAt : now - Instant();
}

Result<TeamId> CatalogueFollower::authenticate(absl::string_view presented,
                                               Instant now) const {
  if (const Status status = checkFresh(now); !isOk(status))
    return errorOf(status);
  return Copy.authenticate(presented);
}

} // namespace jujube::catalogue
