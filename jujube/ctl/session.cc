#include "jujube/ctl/session.h"

namespace jujube::ctl {

Result<api::FleetStatus> readStatus(http::Client &api) {
  return api.callFor<api::FleetStatus>({http::Method::Get, "/v1/status"});
}

} // namespace jujube::ctl
