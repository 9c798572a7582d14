#include "jujube/keeper/fleet_state.h"

#include <variant>

namespace jujube::keeper {

void FleetState::apply(const wire::FleetCommand &command) {
  if (const auto *edit = std::get_if<catalogue::Edit>(&command))
    applyEdit(*edit);
  else
    Slices.apply(std::get<limits::SliceCommand>(command));
}

void FleetState::applyEdit(const catalogue::Edit &edit) {
  const Revision before = Entries.latest();
  const Result<Revision> result = Entries.apply(edit);
  const bool isNew = isOk(result) && valueOf(result) > before;
  if (!isNew)
    return;
  if (const auto *put = std::get_if<catalogue::PutTeam>(&edit.What))
    Slices.apply(limits::SetCeiling{put->Value.Id, put->Value.Ceiling});
  else if (const auto *removed = std::get_if<catalogue::DeleteTeam>(&edit.What))
    Slices.apply(limits::SetCeiling{removed->Id, Resources{}});
}

Result<Revision> FleetState::answerTo(const catalogue::Edit &edit) {
  return Entries.apply(edit);
}

bool FleetState::isCeilingInForce(const catalogue::Edit &edit) const {
  if (const auto *put = std::get_if<catalogue::PutTeam>(&edit.What))
    return Slices.isCeilingMet(put->Value.Id);
  if (const auto *removed = std::get_if<catalogue::DeleteTeam>(&edit.What))
    return Slices.isCeilingMet(removed->Id);
  return true;
}

wire::FleetState FleetState::capture() const {
  return {Entries.state(), Slices.state()};
}

Result<FleetState> FleetState::restore(const wire::FleetState &state) {
  auto entries = catalogue::Catalogue::fromState(state.Catalogue);
  if (!isOk(entries))
    return errorOf(entries);
  auto slices = limits::SliceLedger::fromState(state.Slices);
  if (!isOk(slices))
    return errorOf(slices);
  FleetState restored;
  restored.Entries = valueOf(std::move(entries));
  restored.Slices = valueOf(std::move(slices));
  return restored;
}

} // namespace jujube::keeper
