// The commands of jujubectl. Each calls the HTTP interface and prints the
// response; see docs/OPERATIONS.md for examples.
#ifndef JUJUBE_CTL_COMMANDS_H_
#define JUJUBE_CTL_COMMANDS_H_

#include "jujube/ctl/session.h"

namespace jujube::ctl {

// ---- Catalogue ----
Result<Verdict> applyCatalogue(Session &session, const Arguments &args);
Result<Verdict> getCatalogue(Session &session, const Arguments &args);
Result<Verdict> listCatalogue(Session &session, const Arguments &args);
Result<Verdict> deleteObject(Session &session, const Arguments &args);
Result<Verdict> showHistory(Session &session, const Arguments &args);

// ---- Teams and keys ----
Result<Verdict> putTeam(Session &session, const Arguments &args);
Result<Verdict> listTeams(Session &session, const Arguments &args);
Result<Verdict> deleteTeam(Session &session, const Arguments &args);
Result<Verdict> issueKey(Session &session, const Arguments &args);
Result<Verdict> withdrawKey(Session &session, const Arguments &args);
Result<Verdict> listKeys(Session &session, const Arguments &args);

// ---- Requests ----
Result<Verdict> submit(Session &session, const Arguments &args);
Result<Verdict> callLive(Session &session, const Arguments &args);
Result<Verdict> cancel(Session &session, const Arguments &args);
Result<Verdict> showFate(Session &session, const Arguments &args);

// ---- State of the fleet ----
Result<Verdict> showStatus(Session &session, const Arguments &args);
Result<Verdict> showHistograms(Session &session, const Arguments &args);

// ---- Evacuation of zones ----
Result<Verdict> evacuateZone(Session &session, const Arguments &args);
Result<Verdict> restoreZone(Session &session, const Arguments &args);
Result<Verdict> listZones(Session &session, const Arguments &args);

// ---- Logs ----
Result<Verdict> explain(Session &session, const Arguments &args);
Result<Verdict> showLateness(Session &session, const Arguments &args);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_COMMANDS_H_
