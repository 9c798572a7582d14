// Messages between the processes of the system, and records of their logs.
#ifndef JUJUBE_WIRE_MESSAGES_H_
#define JUJUBE_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/address.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/consensus/types.h"
#include "jujube/fate/event.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/jobs/commands.h"
#include "jujube/jobs/job_state_machine.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/limits/types.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/types.h"

namespace jujube::wire {

// A consensus message between members of a group.
struct GroupMessage {
  consensus::Message What;
};

// The status that a control host reports of itself to the keepers.
struct HostStatus {
  catalogue::Host Host;
  // True if the host leads its zone's group, in the term LeaderTerm.
  bool IsLeader = false;
  Term LeaderTerm;
};

// Version of the list of control hosts that a leader of the keepers maintains.
// Versions are comparable only for equality: another leader counts anew.
struct HostListVersion {
  Term LeaderTerm;
  uint64_t Change = 0;

  bool operator==(const HostListVersion &) const = default;
};

// From an entry host or zone scheduler to the keepers' leader: a long poll for
// catalogue updates, which is also the sender's heartbeat. The reply is delayed
// until there is a newer revision or the keeper's timeout has passed.
struct PollCatalogue {
  HostStatus Self;
  // The revision of the sender's copy of the catalogue.
  Revision Have;
  // The version of the sender's host list; all zero if it has none.
  HostListVersion KnownHostsVersion;
};

// The reply to PollCatalogue.
struct CatalogueReply {
  catalogue::Update News;
  // The control hosts whose heartbeats have not timed out. Empty if the poller
  // already has version HostsVersion.
  std::vector<HostStatus> Hosts;
  HostListVersion HostsVersion;
};

// From an entry host to the keepers' leader. Answered by EditReply once the
// edit is in force on every entry host and zone leader, or after a timeout.
struct ProposeEdit {
  catalogue::Edit Edit;
  bool IsDryRun = false;
};
struct EditReply {
  api::EditReceipt Receipt;
};

// From an entry host to the keepers' leader, answered by HistoryPage.
struct ReadHistory {
  uint32_t MaxLines = 0;
};
struct HistoryPage {
  std::vector<catalogue::HistoryLine> Lines;
};

// From a zone's leader to the keepers' leader, answered by SliceReportReply.
struct ReportSlices {
  limits::SliceReport Report;
};
struct SliceReportReply {
  limits::SliceReply Reply;
};

// From an entry host to a zone's leader, answered by FateReply.
struct SubmitWork {
  fate::Submission Work;
};
// From an entry host to a zone's leader, answered by FateReply.
struct CancelWork {
  RequestId Request;
  TeamId Team;
};
// From an entry host to a zone's leader, answered by FateReply once the request
// has ended or `Wait` has passed.
struct QueryFate {
  RequestId Request;
  TeamId Team;
  Duration Wait;
};
struct FateReply {
  fate::FateView View;
};

// A worker's sync, forwarded by an entry host to the leader of the worker's
// zone. Answered by SyncTasksReply.
struct SyncTasks {
  fate::WorkerSync Sync;
};
struct SyncTasksReply {
  fate::SyncReply Reply;
};

// A runner's announcement, forwarded by an entry host to the leader of the
// runner's zone. Answered by Done.
struct ForwardAnnouncement {
  routing::RunnerAnnouncement Runner;
};

// From an entry host to the leader of each zone, answered by CreditReply.
struct ReportCredits {
  routing::EntryReport Report;
};
// A runner's announcement, and the time since the zone's leader received it.
struct AgedAnnouncement {
  routing::RunnerAnnouncement Runner;
  Duration Age;
};
struct CreditReply {
  routing::CreditGrant Grant;
  std::vector<AgedAnnouncement> Runners;
};

// From an entry host to the leader of the request's home zone: records the
// offer of a live request before it is sent to a runner. Answered by Done once
// the offer is journaled, or by FateReply if the request was offered before and
// must not be sent again.
struct JournalLive {
  fate::LiveOffered Offer;
};
// From an entry host to the leader of the request's home zone: records the end
// of a live request. Answered by Done.
struct JournalLiveEnd {
  fate::LiveEnded End;
};

// From a draining entry host to another entry host: a live request that has not
// been sent to a runner yet. Answered by LiveDone.
struct ForwardLive {
  api::CallLive Call;
};
struct LiveDone {
  api::LiveAnswer Answer;
};

// From an entry host to a zone's leader, answered by ZoneReply.
struct ReadZone {};
struct ZoneReply {
  api::ZoneStatus Status;
  metrics::Snapshot Metrics;
};

// From an entry host to the keepers' leader, answered by MetricsReply.
struct ReadMetrics {};
struct MetricsReply {
  metrics::Snapshot Metrics;
};

// From a zone's new leader to the entry hosts, so that they stop waiting for
// replies of the previous leader. Not answered.
struct AnnounceLeader {
  ZoneId Zone;
  Term At;
  Address Leader;
};

// From a front end or a member of the control group to the group's leader,
// answered by ControlReply.
struct ControlCall {
  jobs::Command What;
};
struct ControlReply {
  jobs::Reply What;
};

// From the control group's leader to a host that offered to make calls for it:
// asks the host to obtain an approval. Answered by ApprovalReply.
struct QueryApproval {
  jobs::ApprovalQuery Query;
  // The answer is ignored after this duration.
  Duration Timeout;
};
struct ApprovalReply {
  jobs::ApprovalAnswer Answer;
};

// Reply: the request was carried out.
struct Done {};

// Reply: the request was refused. If the receiver isn't the leader, Leader is
// the address of the leader; port 0 if unknown.
struct Refusal {
  Error Why;
  Address Leader;
};

using Message =
    std::variant<GroupMessage, PollCatalogue, CatalogueReply, ProposeEdit,
                 EditReply, ReadHistory, HistoryPage, ReportSlices,
                 SliceReportReply, SubmitWork, CancelWork, QueryFate, FateReply,
                 SyncTasks, SyncTasksReply, ForwardAnnouncement, ReportCredits,
                 CreditReply, JournalLive, JournalLiveEnd, ForwardLive,
                 LiveDone, ReadZone, ZoneReply, ReadMetrics, MetricsReply, Done,
                 Refusal, AnnounceLeader, ControlCall, ControlReply,
                 QueryApproval, ApprovalReply>;

// The alternatives of Message, in the same order. Labels the traffic counters.
enum class MessageKind {
  GroupMessage,
  PollCatalogue,
  CatalogueReply,
  ProposeEdit,
  EditReply,
  ReadHistory,
  HistoryPage,
  ReportSlices,
  SliceReportReply,
  SubmitWork,
  CancelWork,
  QueryFate,
  FateReply,
  SyncTasks,
  SyncTasksReply,
  ForwardAnnouncement,
  ReportCredits,
  CreditReply,
  JournalLive,
  JournalLiveEnd,
  ForwardLive,
  LiveDone,
  ReadZone,
  ZoneReply,
  ReadMetrics,
  MetricsReply,
  Done,
  Refusal,
  AnnounceLeader,
  ControlCall,
  ControlReply,
  QueryApproval,
  ApprovalReply
};

inline constexpr NameTable<MessageKind, 33> MessageKindNames = {{
    {MessageKind::GroupMessage, "group_message"},
    {MessageKind::PollCatalogue, "poll_catalogue"},
    {MessageKind::CatalogueReply, "catalogue_news"},
    {MessageKind::ProposeEdit, "propose_edit"},
    {MessageKind::EditReply, "edit_done"},
    {MessageKind::ReadHistory, "read_history"},
    {MessageKind::HistoryPage, "history_page"},
    {MessageKind::ReportSlices, "report_slices"},
    {MessageKind::SliceReportReply, "slice_news"},
    {MessageKind::SubmitWork, "submit_work"},
    {MessageKind::CancelWork, "cancel_work"},
    {MessageKind::QueryFate, "ask_fate"},
    {MessageKind::FateReply, "fate_news"},
    {MessageKind::SyncTasks, "sync_tasks"},
    {MessageKind::SyncTasksReply, "sync_done"},
    {MessageKind::ForwardAnnouncement, "pass_announcement"},
    {MessageKind::ReportCredits, "report_credits"},
    {MessageKind::CreditReply, "credit_news"},
    {MessageKind::JournalLive, "journal_live"},
    {MessageKind::JournalLiveEnd, "journal_live_end"},
    {MessageKind::ForwardLive, "pass_live"},
    {MessageKind::LiveDone, "live_done"},
    {MessageKind::ReadZone, "read_zone"},
    {MessageKind::ZoneReply, "zone_news"},
    {MessageKind::ReadMetrics, "read_metrics"},
    {MessageKind::MetricsReply, "metrics_news"},
    {MessageKind::Done, "done"},
    {MessageKind::Refusal, "refusal"},
    {MessageKind::AnnounceLeader, "announce_leader"},
    {MessageKind::ControlCall, "control_call"},
    {MessageKind::ControlReply, "control_news"},
    {MessageKind::QueryApproval, "ask_approval"},
    {MessageKind::ApprovalReply, "approval_news"},
}};
static_assert(isComplete(MessageKindNames));
static_assert(std::variant_size_v<Message> == MessageKindNames.size());

inline MessageKind kindOf(const Message &message) {
  return static_cast<MessageKind>(message.index());
}

// A message with its sender and the data for routing the reply. The encoding
// omits From or ReplyTo where the receiver doesn't use them.
struct Envelope {
  // The sender. Encoded only with one-way messages.
  HostId From;
  // The address that replies go to. Encoded only with requests.
  Address ReplyTo;
  // Matches a reply to its request; 0 for one-way messages.
  uint64_t Correlation = 0;
  bool IsReply = false;
  Message What;
};

std::string encodeEnvelope(const Envelope &envelope);
Result<Envelope> decodeEnvelope(absl::string_view bytes);

// Records of the fleet log.
using FleetCommand = std::variant<catalogue::Edit, limits::SliceCommand>;
std::string encodeFleetCommand(const FleetCommand &command);
Result<FleetCommand> decodeFleetCommand(absl::string_view bytes);

// Snapshot of the state machine of the fleet log.
struct FleetState {
  catalogue::State Catalogue;
  limits::LedgerState Slices;
};
std::string encodeFleetState(const FleetState &state);
Result<FleetState> decodeFleetState(absl::string_view bytes);

// Records of a zone's journal.
std::string encodeZoneEvents(const std::vector<fate::Event> &events);
Result<std::vector<fate::Event>> decodeZoneEvents(absl::string_view bytes);

// Snapshot of a zone's requests and their fates.
std::string encodeFateSnapshot(const fate::FateSnapshot &state);
Result<fate::FateSnapshot> decodeFateSnapshot(absl::string_view bytes);

// Records of the control group's log.
std::string encodeControlEvents(const std::vector<jobs::Event> &events);
Result<std::vector<jobs::Event>> decodeControlEvents(absl::string_view bytes);

// Snapshot of the control group's jobs.
std::string encodeJobSnapshot(const jobs::JobSnapshot &state);
Result<jobs::JobSnapshot> decodeJobSnapshot(absl::string_view bytes);

} // namespace jujube::wire

#endif // JUJUBE_WIRE_MESSAGES_H_
