#include "jujube/ctl/session.h"

namespace jujube::ctl {

Result<api::FleetStatus> readStatus(Session &session) {
  return session.Api.callFor<api::FleetStatus>(
      {http::Method::Get, "/v1/status"});
}

} // namespace jujube::ctl
