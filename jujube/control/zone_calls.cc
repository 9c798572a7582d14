#include "jujube/control/zone_calls.h"

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"
#include "jujube/http/translate.h"

namespace jujube::control {
namespace {

constexpr char ZonesPath[] = "/v1/zones";
constexpr char EvacuateSuffix[] = "/evacuate";
constexpr char RestoreSuffix[] = "/restore";

Result<jobs::Command> decodeOrder(const http::RawRequest &exchange,
                                  absl::string_view rest) {
  const bool isEvacuation = absl::ConsumeSuffix(&rest, EvacuateSuffix);
  if (exchange.Method != "POST" ||
      (!isEvacuation && !absl::ConsumeSuffix(&rest, RestoreSuffix)))
    return Error{ErrorKind::NotFound, "no such call about zones",
                 absl::StrCat("use GET ", ZonesPath, ", or POST ", ZonesPath,
                              "/ZONE", EvacuateSuffix, " or ", RestoreSuffix)};
  const auto zone = ZoneId::parse(rest);
  if (!isOk(zone))
    return errorOf(zone);
  if (isEvacuation)
    return jobs::Command(jobs::EvacuateZone{valueOf(zone)});
  return jobs::Command(jobs::RestoreZone{valueOf(zone)});
}

} // namespace

std::optional<Result<jobs::Command>>
decodeZoneCall(const http::RawRequest &exchange) {
  absl::string_view rest(exchange.Path);
  if (!absl::ConsumePrefix(&rest, ZonesPath) ||
      (!rest.empty() && !absl::ConsumePrefix(&rest, "/")))
    return std::nullopt;
  if (rest.empty() && exchange.Method == "GET")
    return Result<jobs::Command>(jobs::Command(jobs::ReadEvacuations{}));
  return decodeOrder(exchange, rest);
}

http::RawResponse encodeZoneAnswer(const Result<jobs::Reply> &reply) {
  if (!isOk(reply)) {
    const http::HttpResponse answer = http::toResponse(errorOf(reply));
    return {answer.Status, answer.Body, answer.RetryAfter, answer.ContentType};
  }
  if (const auto *zones = std::get_if<jobs::EvacuatedZones>(&valueOf(reply)))
    return {200, http::toJson(http::ZoneList{zones->Zones})};
  return {200, http::toJson(http::DoneBody{})};
}

} // namespace jujube::control
