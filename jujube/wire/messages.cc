#include "jujube/wire/messages.h"

#include <algorithm>
#include <iterator>

#include "jujube/wire/consensus_encoding.h"
#include "jujube/wire/jobs_encoding.h"
#include "jujube/wire/packed_archive.h"
#include "jujube/wire/routing_encoding.h"
#include "jujube/wire/state_encoding.h"

namespace jujube::wire {

template <typename Archive> void serialize(Archive &ar, GroupMessage &v) {
  ar(v.What);
}
template <typename Archive> void serialize(Archive &ar, HostStatus &v) {
  ar(v.Host, v.IsLeader, v.LeaderTerm);
}
template <typename Archive> void serialize(Archive &ar, HostListVersion &v) {
  ar(v.LeaderTerm, v.Change);
}
template <typename Archive> void serialize(Archive &ar, PollCatalogue &v) {
  ar(v.Self, v.Have, v.KnownHostsVersion);
}
template <typename Archive> void serialize(Archive &ar, CatalogueReply &v) {
  ar(v.News, v.Hosts, v.HostsVersion);
}
template <typename Archive> void serialize(Archive &ar, ProposeEdit &v) {
  ar(v.Edit, v.IsDryRun);
}
template <typename Archive> void serialize(Archive &ar, EditReply &v) {
  ar(v.Receipt);
}
template <typename Archive> void serialize(Archive &ar, ReadHistory &v) {
  ar(v.MaxLines);
}
template <typename Archive> void serialize(Archive &ar, HistoryPage &v) {
  ar(v.Lines);
}
template <typename Archive> void serialize(Archive &ar, ReportSlices &v) {
  ar(v.Report);
}
template <typename Archive> void serialize(Archive &ar, SliceReportReply &v) {
  ar(v.Reply);
}
template <typename Archive> void serialize(Archive &ar, SubmitWork &v) {
  ar(v.Work);
}
template <typename Archive> void serialize(Archive &ar, CancelWork &v) {
  ar(v.Request, v.Team);
}
template <typename Archive> void serialize(Archive &ar, QueryFate &v) {
  ar(v.Request, v.Team, v.Wait);
}
template <typename Archive> void serialize(Archive &ar, FateReply &v) {
  ar(v.View);
}
template <typename Archive> void serialize(Archive &ar, SyncTasks &v) {
  ar(v.Sync);
}
template <typename Archive> void serialize(Archive &ar, SyncTasksReply &v) {
  ar(v.Reply);
}
template <typename Archive>
void serialize(Archive &ar, ForwardAnnouncement &v) {
  ar(v.Runner);
}
template <typename Archive> void serialize(Archive &ar, ReportCredits &v) {
  ar(v.Report);
}
template <typename Archive> void serialize(Archive &ar, AgedAnnouncement &v) {
  ar(v.Runner, v.Age);
}
template <typename Archive> void serialize(Archive &ar, CreditReply &v) {
  ar(v.Grant, v.Runners);
}
template <typename Archive> void serialize(Archive &ar, JournalLive &v) {
  ar(v.Offer);
}
template <typename Archive> void serialize(Archive &ar, JournalLiveEnd &v) {
  ar(v.End);
}
template <typename Archive> void serialize(Archive &ar, ForwardLive &v) {
  ar(v.Call);
}
template <typename Archive> void serialize(Archive &ar, LiveDone &v) {
  ar(v.Answer);
}
template <typename Archive> void serialize(Archive &, ReadZone &) {}
template <typename Archive> void serialize(Archive &ar, ZoneReply &v) {
  ar(v.Status, v.Metrics);
}
template <typename Archive> void serialize(Archive &, ReadMetrics &) {}
template <typename Archive> void serialize(Archive &ar, MetricsReply &v) {
  ar(v.Metrics);
}
template <typename Archive> void serialize(Archive &, Done &) {}
template <typename Archive> void serialize(Archive &ar, Refusal &v) {
  ar(v.Why, v.Leader);
}
template <typename Archive> void serialize(Archive &ar, AnnounceLeader &v) {
  ar(v.Zone, v.At, v.Leader);
}
template <typename Archive> void serialize(Archive &ar, ControlCall &v) {
  ar(v.What);
}
template <typename Archive> void serialize(Archive &ar, ControlReply &v) {
  ar(v.What);
}
template <typename Archive> void serialize(Archive &ar, QueryApproval &v) {
  ar(v.Query, v.Timeout);
}
template <typename Archive> void serialize(Archive &ar, ApprovalReply &v) {
  ar(v.Answer);
}
template <typename Archive> void serialize(Archive &ar, Envelope &v) {
  ar(v.Correlation, v.IsReply);
  if (!v.IsReply && v.Correlation == 0)
    ar(v.From);
  else if (!v.IsReply)
    ar(v.ReplyTo);
  ar(v.What);
}
template <typename Archive> void serialize(Archive &ar, FleetState &v) {
  ar(v.Catalogue, v.Slices);
}

std::string encodeEnvelope(const Envelope &envelope) {
  return encodePacked(envelope);
}
Result<Envelope> decodeEnvelope(absl::string_view bytes) {
  return decodePacked<Envelope>(bytes);
}

// The fleet log is stored on the keepers' disks and must remain readable, so it
// keeps the unpacked format.
std::string encodeFleetCommand(const FleetCommand &command) {
  return encode(command);
}
Result<FleetCommand> decodeFleetCommand(absl::string_view bytes) {
  return decode<FleetCommand>(bytes);
}

std::string encodeFleetState(const FleetState &state) { return encode(state); }
Result<FleetState> decodeFleetState(absl::string_view bytes) {
  return decode<FleetState>(bytes);
}

std::string encodeZoneEvents(const std::vector<fate::Event> &events) {
  return encodePacked(events);
}
Result<std::vector<fate::Event>> decodeZoneEvents(absl::string_view bytes) {
  return decodePacked<std::vector<fate::Event>>(bytes);
}

std::string encodeFateSnapshot(const fate::FateSnapshot &state) {
  return encodePacked(state);
}
Result<fate::FateSnapshot> decodeFateSnapshot(absl::string_view bytes) {
  return decodePacked<fate::FateSnapshot>(bytes);
}

// The control group's log is stored on disk and must remain readable, so it
// keeps the unpacked format.
std::string encodeControlEvents(const std::vector<jobs::Event> &events) {
  return encode(events);
}
Result<std::vector<jobs::Event>> decodeControlEvents(absl::string_view bytes) {
  return decode<std::vector<jobs::Event>>(bytes);
}

// A snapshot is followed by the terms and the places of its jobs, in the same
// order, the retired queues, the evacuated zones, the use of teams, which jobs
// are beyond their team's rate, the withdrawals, the origins of the jobs, and
// the retired teams. Snapshots of earlier versions lack the last of these parts
// or all of them.
std::string encodeJobSnapshot(const jobs::JobSnapshot &state) {
  std::vector<uint32_t> terms;
  std::ranges::transform(state.Jobs, std::back_inserter(terms),
                         &jobs::Job::MaxAttempts);
  std::vector<jobs::QueuePlace> places;
  std::ranges::transform(state.Jobs, std::back_inserter(places),
                         &jobs::Job::Place);
  std::vector<uint8_t> beyondRate;
  std::ranges::transform(state.Jobs, std::back_inserter(beyondRate),
                         &jobs::Job::IsBeyondRate);
  std::vector<jobs::Origin> origins;
  std::ranges::transform(state.Jobs, std::back_inserter(origins),
                         &jobs::Job::From);
  return encode(state) + encode(terms) + encode(places) +
         encode(state.Retired) + encode(state.Evacuated) + encode(state.Usage) +
         encode(beyondRate) + encode(state.Withdrawn) + encode(origins) +
         encode(state.RetiredTeams);
}
Result<jobs::JobSnapshot> decodeJobSnapshot(absl::string_view bytes) {
  std::vector<uint32_t> terms;
  std::vector<jobs::QueuePlace> places;
  std::vector<jobs::Queue> retired;
  std::vector<ZoneId> evacuated;
  shares::LedgerState usage;
  std::vector<uint8_t> beyondRate;
  std::vector<jobs::Withdrawal> withdrawn;
  std::vector<jobs::Origin> origins;
  std::vector<jobs::Team> retiredTeams;
  auto decoded = decodeExtended<jobs::JobSnapshot>(
      bytes, terms, places, retired, evacuated, usage, beyondRate, withdrawn,
      origins, retiredTeams);
  if (!isOk(decoded))
    return decoded;
  jobs::JobSnapshot state = valueOf(std::move(decoded));
  const std::size_t n = state.Jobs.size();
  if ((!terms.empty() && terms.size() != n) ||
      (!places.empty() && places.size() != n) ||
      (!beyondRate.empty() && beyondRate.size() != n) ||
      (!origins.empty() && origins.size() != n))
    return Error{ErrorKind::CorruptData,
                 "snapshot can't be decoded: terms and jobs differ in number",
                 "run the same version on all hosts"};
  for (std::size_t i = 0; i < terms.size(); ++i)
    state.Jobs[i].MaxAttempts = terms[i];
  for (std::size_t i = 0; i < places.size(); ++i)
    state.Jobs[i].Place = std::move(places[i]);
  for (std::size_t i = 0; i < beyondRate.size(); ++i)
    state.Jobs[i].IsBeyondRate = beyondRate[i] != 0;
  state.Retired = std::move(retired);
  state.Evacuated = std::move(evacuated);
  state.Usage = std::move(usage);
  for (std::size_t i = 0; i < origins.size(); ++i)
    state.Jobs[i].From = std::move(origins[i]);
  state.Withdrawn = std::move(withdrawn);
  state.RetiredTeams = std::move(retiredTeams);
  return state;
}

} // namespace jujube::wire
