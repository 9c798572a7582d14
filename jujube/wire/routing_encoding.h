// cereal functions for the messages between the routers of entry hosts and the
// credit ledgers of zone leaders.
#ifndef JUJUBE_WIRE_ROUTING_ENCODING_H_
#define JUJUBE_WIRE_ROUTING_ENCODING_H_

#include "jujube/routing/messages.h"
#include "jujube/wire/domain_encoding.h"

namespace jujube::routing {

template <typename Archive> void serialize(Archive &ar, Holder &v) {
  ar(v.Host, v.Start);
}
template <typename Archive> void serialize(Archive &ar, RunnerUse &v) {
  ar(v.Runner, v.Held, v.InFlight, v.Limit);
}
template <typename Archive> void serialize(Archive &ar, TeamDemand &v) {
  ar(v.Entry, v.Team, v.Share, v.Queued, v.InFlight, v.HasNoHomeRunner);
}
template <typename Archive> void serialize(Archive &ar, EntryReport &v) {
  ar(v.From, v.HomeZone, v.Zone, v.Sequence, v.Uptime, v.AppliedTerm,
     v.AppliedGrant, v.MaxPerRunner, v.Runners, v.Demand);
}
template <typename Archive> void serialize(Archive &ar, RunnerCredits &v) {
  ar(v.Runner, v.Credits);
}
template <typename Archive> void serialize(Archive &ar, CreditGrant &v) {
  ar(v.To, v.Zone, v.LedgerTerm, v.Serial, v.ReportSequence, v.Lease,
     v.IsRenewal, v.Credits, v.Contended);
}

} // namespace jujube::routing

#endif // JUJUBE_WIRE_ROUTING_ENCODING_H_
