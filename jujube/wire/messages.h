// The messages between the processes of the system.
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
#include "jujube/fate/fate_book.h"
#include "jujube/jobs/commands.h"
#include "jujube/jobs/job_book.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/limits/types.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/types.h"

namespace jujube::wire {

// Between members of one consensus group.
struct GroupMessage {
  consensus::Message What;
};

// A control host as the keepers know it.
struct HostStatus {
  catalogue::Host Host;
  // It leads its zone's group, in this term.
  bool IsLeader = false;
  Term LeaderTerm;
};

// A state of the list of control hosts of one leader of the keepers.
struct HostListVersion {
  Term LeaderTerm;
  uint64_t Change = 0;

  bool operator==(const HostListVersion &) const = default;
};

// Entry hosts and zone schedulers to a keeper: asks for news of the catalogue
// and is the sender's heartbeat. The reply is delayed until there is news.
struct PollCatalogue {
  HostStatus Self;
  Revision Have;
  // The list of hosts that the sender has; all zero for none.
  HostListVersion HaveHosts;
};

// The reply to PollCatalogue.
struct CatalogueNews {
  catalogue::Update News;
  // The control hosts that were heard from lately; left out if the poller has
  // version HostsAt already.
  std::vector<HostStatus> Hosts;
  HostListVersion HostsAt;
};

// Entry host to the keepers' leader; answered by EditDone once the edit is in
// force everywhere, or after a bound.
struct ProposeEdit {
  catalogue::Edit Edit;
  bool IsDryRun = false;
};
struct EditDone {
  api::EditReceipt Receipt;
};

struct ReadHistory {
  uint32_t MaxLines = 0;
};
struct HistoryPage {
  std::vector<catalogue::HistoryLine> Lines;
};

// Zone leader to the keepers' leader, answered by SliceNews.
struct ReportSlices {
  limits::SliceReport Report;
};
struct SliceNews {
  limits::SliceReply Reply;
};

// Entry host to a zone's leader, answered by FateNews.
struct SubmitWork {
  fate::Submission Work;
};
struct CancelWork {
  RequestId Request;
  TeamId Team;
};
// Answered once the request has ended or `Wait` has passed.
struct AskFate {
  RequestId Request;
  TeamId Team;
  Duration Wait;
};
struct FateNews {
  fate::FateView View;
};

// A worker's sync, passed on to its zone's leader.
struct SyncTasks {
  fate::WorkerSync Sync;
};
struct SyncDone {
  fate::SyncReply Reply;
};

// A runner's announcement, passed on to its zone's leader.
struct PassAnnouncement {
  routing::RunnerAnnouncement Runner;
};

// Entry host to each zone's leader, answered by CreditNews.
struct ReportCredits {
  routing::EntryReport Report;
};
// An announcement and how long ago the zone's leader received it.
struct AgedAnnouncement {
  routing::RunnerAnnouncement Runner;
  Duration Age;
};
struct CreditNews {
  routing::CreditGrant Grant;
  std::vector<AgedAnnouncement> Runners;
};

// Entry host to the leader of the request's home zone: the offer of a live
// request, answered by Done once it is journaled, or by FateNews if the request
// was offered before and must not be sent again.
struct JournalLive {
  fate::LiveOffered Offer;
};
// What became of it; answered by Done.
struct JournalLiveEnd {
  fate::LiveEnded End;
};

// A draining entry host to another one: a live request that has not left yet,
// answered by LiveDone.
struct PassLive {
  api::CallLive Call;
};
struct LiveDone {
  api::LiveAnswer Answer;
};

// Entry host to a zone's leader, answered by ZoneNews.
struct ReadZone {};
struct ZoneNews {
  api::ZoneStatus Status;
  metrics::Snapshot Metrics;
};

// Entry host to the keepers' leader, answered by MetricsNews.
struct ReadMetrics {};
struct MetricsNews {
  metrics::Snapshot Metrics;
};

// A zone's new leader to the entry hosts, so that they need not wait for its
// predecessor; not answered.
struct AnnounceLeader {
  ZoneId Zone;
  Term At;
  Address Leader;
};

// A front end or member of the control group to its leader, answered by
// ControlNews.
struct ControlCall {
  jobs::Command What;
};
struct ControlNews {
  jobs::Reply What;
};

// The control group's leader to a host that offered its help, answered by
// ApprovalNews.
struct AskApproval {
  jobs::ApprovalQuery Query;
  // When the answer is of no use any more.
  Duration Timeout;
};
struct ApprovalNews {
  jobs::ApprovalAnswer Answer;
};

// The request was carried out.
struct Done {};

// The request was refused. If the receiver does not lead, Leader tells who
// does, if that is known.
struct Refusal {
  Error Why;
  Address Leader;
};

using Message =
    std::variant<GroupMessage, PollCatalogue, CatalogueNews, ProposeEdit,
                 EditDone, ReadHistory, HistoryPage, ReportSlices, SliceNews,
                 SubmitWork, CancelWork, AskFate, FateNews, SyncTasks, SyncDone,
                 PassAnnouncement, ReportCredits, CreditNews, JournalLive,
                 JournalLiveEnd, PassLive, LiveDone, ReadZone, ZoneNews,
                 ReadMetrics, MetricsNews, Done, Refusal, AnnounceLeader,
                 ControlCall, ControlNews, AskApproval, ApprovalNews>;

// The alternatives of Message, in order; for counters.
enum class MessageKind {
  GroupMessage,
  PollCatalogue,
  CatalogueNews,
  ProposeEdit,
  EditDone,
  ReadHistory,
  HistoryPage,
  ReportSlices,
  SliceNews,
  SubmitWork,
  CancelWork,
  AskFate,
  FateNews,
  SyncTasks,
  SyncDone,
  PassAnnouncement,
  ReportCredits,
  CreditNews,
  JournalLive,
  JournalLiveEnd,
  PassLive,
  LiveDone,
  ReadZone,
  ZoneNews,
  ReadMetrics,
  MetricsNews,
  Done,
  Refusal,
  AnnounceLeader,
  ControlCall,
  ControlNews,
  AskApproval,
  ApprovalNews
};

inline constexpr NameTable<MessageKind, 33> MessageKindNames = {{
    {MessageKind::GroupMessage, "group_message"},
    {MessageKind::PollCatalogue, "poll_catalogue"},
    {MessageKind::CatalogueNews, "catalogue_news"},
    {MessageKind::ProposeEdit, "propose_edit"},
    {MessageKind::EditDone, "edit_done"},
    {MessageKind::ReadHistory, "read_history"},
    {MessageKind::HistoryPage, "history_page"},
    {MessageKind::ReportSlices, "report_slices"},
    {MessageKind::SliceNews, "slice_news"},
    {MessageKind::SubmitWork, "submit_work"},
    {MessageKind::CancelWork, "cancel_work"},
    {MessageKind::AskFate, "ask_fate"},
    {MessageKind::FateNews, "fate_news"},
    {MessageKind::SyncTasks, "sync_tasks"},
    {MessageKind::SyncDone, "sync_done"},
    {MessageKind::PassAnnouncement, "pass_announcement"},
    {MessageKind::ReportCredits, "report_credits"},
    {MessageKind::CreditNews, "credit_news"},
    {MessageKind::JournalLive, "journal_live"},
    {MessageKind::JournalLiveEnd, "journal_live_end"},
    {MessageKind::PassLive, "pass_live"},
    {MessageKind::LiveDone, "live_done"},
    {MessageKind::ReadZone, "read_zone"},
    {MessageKind::ZoneNews, "zone_news"},
    {MessageKind::ReadMetrics, "read_metrics"},
    {MessageKind::MetricsNews, "metrics_news"},
    {MessageKind::Done, "done"},
    {MessageKind::Refusal, "refusal"},
    {MessageKind::AnnounceLeader, "announce_leader"},
    {MessageKind::ControlCall, "control_call"},
    {MessageKind::ControlNews, "control_news"},
    {MessageKind::AskApproval, "ask_approval"},
    {MessageKind::ApprovalNews, "approval_news"},
}};
static_assert(isComplete(MessageKindNames));
static_assert(std::variant_size_v<Message> == MessageKindNames.size());

inline MessageKind kindOf(const Message &message) {
  return static_cast<MessageKind>(message.index());
}

// A message with what is needed to answer it.
struct Envelope {
  // Sent only with messages that want no reply.
  HostId From;
  // Where the sender takes messages. Sent only with those that want a reply.
  Address ReplyTo;
  // Pairs a reply with its request; 0 if no reply is wanted.
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

// The state of the fleet log after some record.
struct FleetState {
  catalogue::State Catalogue;
  limits::LedgerState Slices;
};
std::string encodeFleetState(const FleetState &state);
Result<FleetState> decodeFleetState(absl::string_view bytes);

// Records of a zone's journal.
std::string encodeZoneEvents(const std::vector<fate::Event> &events);
Result<std::vector<fate::Event>> decodeZoneEvents(absl::string_view bytes);

std::string encodeBookState(const fate::BookState &state);
Result<fate::BookState> decodeBookState(absl::string_view bytes);

// Records of the control group's log.
std::string encodeControlEvents(const std::vector<jobs::Event> &events);
Result<std::vector<jobs::Event>> decodeControlEvents(absl::string_view bytes);

std::string encodeJobBook(const jobs::BookState &state);
Result<jobs::BookState> decodeJobBook(absl::string_view bytes);

} // namespace jujube::wire

#endif // JUJUBE_WIRE_MESSAGES_H_
