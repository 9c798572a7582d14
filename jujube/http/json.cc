#include "jujube/http/json.h"

#include "absl/strings/str_replace.h"
#include "jujube/http/descriptions.h"

namespace jujube::http {
namespace {

constexpr int IndentColumns = 2;

} // namespace

template <typename T> Result<T> fromJson(absl::string_view body) {
  Result<internal::Json> json = internal::parseText(body);
  if (!isOk(json))
    return errorOf(json);
  T value{};
  if (Status status = internal::readValue(valueOf(json), {}, value);
      !isOk(status))
    return errorOf(status);
  return value;
}

template <typename T> std::string toIndentedJson(const T &value) {
  return internal::writeValue(value).dump(
      IndentColumns, ' ', false, internal::Json::error_handler_t::replace);
}

template <typename T> std::string toJson(const T &value) {
  // Text fields may hold invalid UTF-8, such as an error text of a library;
  // invalid bytes are encoded as replacement characters.
  return internal::writeValue(value).dump(
      -1, ' ', false, internal::Json::error_handler_t::replace);
}

std::vector<FieldChange> changedFields(absl::string_view before,
                                       absl::string_view after) {
  const auto flatten = [](absl::string_view text) {
    const internal::Json json =
        internal::Json::parse(text.begin(), text.end(), nullptr, false);
    return json.is_object() ? json.flatten() : internal::Json::object();
  };
  const internal::Json old = flatten(before);
  const internal::Json current = flatten(after);
  std::vector<FieldChange> changes;
  for (const auto &[pointer, value] : current.items())
    if (const auto it = old.find(pointer); it == old.end() || *it != value)
      changes.push_back({absl::StrReplaceAll(pointer.substr(1), {{"/", "."}}),
                         it == old.end() ? "" : it->dump(), value.dump()});
  return changes;
}

#define JUJUBE_JSON(TYPE)                                                      \
  template Result<TYPE> fromJson<TYPE>(absl::string_view);                     \
  template std::string toJson<TYPE>(const TYPE &);                             \
  template std::string toIndentedJson<TYPE>(const TYPE &);

JUJUBE_JSON(catalogue::Team)
JUJUBE_JSON(catalogue::Entry)
JUJUBE_JSON(catalogue::Key)
JUJUBE_JSON(catalogue::Edit)
JUJUBE_JSON(catalogue::Contents)
JUJUBE_JSON(std::vector<catalogue::HistoryLine>)
JUJUBE_JSON(fate::WorkerSync)
JUJUBE_JSON(fate::SyncReply)
JUJUBE_JSON(fate::FateView)
JUJUBE_JSON(routing::RunnerAnnouncement)
JUJUBE_JSON(metrics::Snapshot)
JUJUBE_JSON(api::LiveAnswer)
JUJUBE_JSON(api::EditReceipt)
JUJUBE_JSON(api::FleetStatus)
JUJUBE_JSON(SubmitBody)
JUJUBE_JSON(CallBody)
JUJUBE_JSON(DoneBody)
JUJUBE_JSON(ZoneList)
JUJUBE_JSON(DesiredCatalogue)
JUJUBE_JSON(IssuedKey)
JUJUBE_JSON(ErrorBody)

#undef JUJUBE_JSON

} // namespace jujube::http
