// Commands for the evacuation of zones. They go to the control addresses of the
// control group's members.
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "jujube/ctl/commands.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

Result<Verdict> order(Session &session, const std::string &name,
                      absl::string_view verb, absl::string_view outcome) {
  const Result<ZoneId> zone = ZoneId::parse(name);
  if (!isOk(zone))
    return errorOf(zone);
  const auto done = session.Api.callFor<http::DoneBody>(
      {http::Method::Post, absl::StrCat("/v1/zones/", name, "/", verb)});
  if (!isOk(done))
    return errorOf(done);
  session.Print(session.Options.IsJson
                    ? http::toJson(valueOf(done)) + "\n"
                    : absl::StrCat("zone ", name, ": ", outcome, "\n"));
  return Verdict::Done;
}

} // namespace

Result<Verdict> evacuateZone(Session &session, const Arguments &args) {
  return order(session, args[0], "evacuate", "no further task starts there");
}

Result<Verdict> restoreZone(Session &session, const Arguments &args) {
  return order(session, args[0], "restore", "takes tasks again");
}

Result<Verdict> listZones(Session &session, const Arguments & /*args*/) {
  const auto read =
      session.Api.callFor<http::ZoneList>({http::Method::Get, "/v1/zones"});
  if (!isOk(read))
    return errorOf(read);
  if (session.Options.IsJson) {
    session.Print(http::toJson(valueOf(read)) + "\n");
    return Verdict::Done;
  }
  const std::vector<ZoneId> &zones = valueOf(read).Evacuated;
  session.Print(
      zones.empty()
          ? std::string("no zone is evacuated\n")
          : absl::StrCat("evacuated: ",
                         absl::StrJoin(zones, ", ",
                                       [](std::string *out, const ZoneId &it) {
                                         out->append(it.str());
                                       }),
                         "\n"));
  return Verdict::Done;
}

} // namespace jujube::ctl
