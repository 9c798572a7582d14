#include "jujube/catalogue/follower.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jujube::catalogue {
namespace {

Error stale(Revision have, const Update &update) {
  return {ErrorKind::StaleData,
          absl::StrCat("the update leads from revision ", update.From.Value,
                       " to ", update.To.Value, ", and this copy is at ",
                       have.Value),
          "poll the keepers again from the copy's revision"};
}

} // namespace

Result<Revision> CatalogueFollower::receive(const Update &update,
                                            Instant sentAt) {
  const Revision have = Copy.latest();
  if (update.To < have)
    return stale(have, update);
  if (const Status status = advance(update); !isOk(status))
    return errorOf(status);
  if (update.IsConfirmed) {
    ConfirmedAt = IsEverConfirmed ? std::max(ConfirmedAt, sentAt) : sentAt;
    IsEverConfirmed = true;
  }
  return Copy.latest();
}

Status CatalogueFollower::advance(const Update &update) {
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
  const bool isWhole =
      update.Edits.size() == update.To.Value - update.From.Value;
  if (update.From > have || !isWhole)
    return stale(have, update);
  const auto known =
      static_cast<std::ptrdiff_t>(have.Value - update.From.Value);
  std::for_each(update.Edits.begin() + known, update.Edits.end(),
                [this](const Edit &edit) { Copy.change(edit); });
  return Ok{};
}

bool CatalogueFollower::isFresh(Instant now) const {
  return IsEverConfirmed && now - ConfirmedAt <= Bound;
}

Status CatalogueFollower::checkFresh(Instant now) const {
  if (isFresh(now))
    return Ok{};
  return Error{
      ErrorKind::Unavailable,
      IsEverConfirmed
          ? absl::StrCat("the keepers have not confirmed this host's catalogue "
                         "for ",
                         age(now).millis(), " ms")
          : "the keepers have not confirmed this host's catalogue yet",
      "retry at another entry host; open entries are served meanwhile"};
}

Duration CatalogueFollower::age(Instant now) const {
  return IsEverConfirmed ? now - ConfirmedAt : now - Instant();
}

Result<TeamId> CatalogueFollower::authenticate(absl::string_view presented,
                                               Instant now) const {
  if (const Status status = checkFresh(now); !isOk(status))
    return errorOf(status);
  return Copy.authenticate(presented);
}

} // namespace jujube::catalogue
