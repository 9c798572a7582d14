// Measures the replicated state: time and memory of the catalogue, the ledger
// of slices and the fate state machine, at three sizes each. Prints one JSON
// object a line, or a table with no argument.
#include <malloc.h>

#include <chrono>
#include <cstring>
#include <functional>
#include <iostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "jujube/base/digest.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/catalogue/follower.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/limits/zone_slices.h"
#include "jujube/wire/packed_archive.h"
#include "jujube/wire/state_encoding.h"

namespace jujube {
namespace {

// One measurement: what was done `Count` times at a size.
struct Row {
  std::string Name;
  int64_t Size = 0;
  int64_t Count = 0;
  double Micros = 0;
  int64_t Bytes = 0;
};

bool IsJson = false;

int64_t heapBytes() { return static_cast<int64_t>(mallinfo2().uordblks); }

void print(const Row &row) {
  const double micros = row.Micros / static_cast<double>(row.Count);
  const double bytes =
      static_cast<double>(row.Bytes) / static_cast<double>(row.Count);
  if (IsJson)
    absl::PrintF("{\"name\":\"%s\",\"size\":%d,\"us\":%.3f,\"bytes\":%.1f}\n",
                 row.Name, row.Size, micros, bytes);
  else
    absl::PrintF("%-28s %9d %12.3f %12.1f\n", row.Name, row.Size, micros,
                 bytes);
}

// Runs `work` and reports its time and heap growth over `count`.
void measure(const std::string &name, int64_t size, int64_t count,
             const std::function<void()> &work) {
  const int64_t before = heapBytes();
  const auto start = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  print({name, size, count, took.count(), heapBytes() - before});
}

catalogue::Edit editOf(const std::string &id, uint64_t base,
                       catalogue::Change what) {
  return {EditId(id), Revision{base}, std::move(what), "operator"};
}

void measureCatalogue(int64_t entries) {
  using namespace catalogue;
  Catalogue catalogue;
  catalogue.apply(editOf("t", 0, PutTeam{{TeamId("events"), 1, {}}}));
  const auto applyAll = [&](const std::string &kind, auto changeOf) {
    measure(kind, entries, entries, [&] {
      for (int64_t n = 0; n < entries; ++n)
        catalogue.apply(editOf(absl::StrCat(kind, n), 0, changeOf(n)));
    });
  };
  applyAll("catalogue.put_entry", [](int64_t n) -> Change {
    Entry entry;
    entry.Id = EntryId(absl::StrCat("entry-", n));
    entry.Owner = TeamId("events");
    entry.Demand = {100, 100, 0};
    return PutEntry{entry};
  });
  const std::string digest = saltedDigest("salt", "secret");
  applyAll("catalogue.issue_key", [&](int64_t n) -> Change {
    return IssueKey{
        {KeyId(absl::StrCat("key-", n)), TeamId("events"), "salt", digest}};
  });
  measure("catalogue.authenticate", entries, entries, [&] {
    for (int64_t n = 0; n < entries; ++n)
      if (!isOk(catalogue.authenticate(absl::StrCat("key-", n, ".secret"))))
        std::cerr << "a key was refused\n";
  });
  CatalogueFollower follower;
  Update update{{}, catalogue.latest(), {}, catalogue.contents(), true};
  measure("catalogue.follow_snapshot", entries, 2 * entries,
          [&] { follower.receive(update, Instant()); });
  std::optional<State> state;
  measure("catalogue.export", entries, 2 * entries,
          [&] { state = catalogue.state(); });
  measure("catalogue.import", entries, 2 * entries,
          [&] { Catalogue::fromState(*std::move(state)); });
}

constexpr int64_t LedgerZones = 9;
constexpr int64_t ReportRounds = 100;

void measureLedger(int64_t teams) {
  using namespace limits;
  SliceLedger ledger;
  measure("ledger.set_ceiling", teams, teams * LedgerZones, [&] {
    for (int64_t n = 0; n < LedgerZones; ++n)
      ledger.apply(AddZone{ZoneId(absl::StrCat("zone-", n))});
    for (int64_t n = 0; n < teams; ++n)
      ledger.apply(SetCeiling{TeamId(absl::StrCat("team-", n)),
                              {1'000'000, 4'000'000, 100}});
  });
  const ZoneId zone("zone-0");
  uint64_t sequence = 0;
  // Every team's need changes in every round.
  measure("ledger.report_line", teams, ReportRounds * teams, [&] {
    for (int64_t round = 0; round < ReportRounds; ++round) {
      SliceReport report{zone, Term{1}, ++sequence, {}, {}};
      for (int64_t n = 0; n < teams; ++n)
        report.Lines.push_back({{TeamId(absl::StrCat("team-", n)), {}, {}, {}},
                                {50'000 + round, 50'000 + round, 1}});
      if (const auto command = ledger.commandFor(report))
        ledger.apply(*command);
    }
  });
  measure("ledger.quiet_reply", teams, ReportRounds, [&] {
    for (int64_t round = 0; round < ReportRounds; ++round)
      ledger.replyTo({zone, Term{1}, ++sequence, GrantVersion{1'000'000}, {}});
  });
}

constexpr int64_t TasksPerRequest = 10;
constexpr int64_t TasksPerWorker = 22;

TaskId taskId(int64_t n) {
  const int64_t request = n / TasksPerRequest;
  return {RequestId(absl::StrCat("san-fernando.request-", request)),
          static_cast<uint32_t>(n % TasksPerRequest)};
}

WorkerId workerOf(int64_t n) {
  return WorkerId(absl::StrCat("san-fernando-worker-", n / TasksPerWorker));
}

fate::Submission workOf(int64_t request) {
  fate::Submission work;
  work.Request = RequestId(absl::StrCat("san-fernando.request-", request));
  work.Team = TeamId("events");
  work.Entry.Id = EntryId("invoices");
  work.Entry.Owner = work.Team;
  work.Payload = std::string(200, 'p');
  work.Tasks = TasksPerRequest;
  work.BodyDigest = std::string(64, 'd');
  return work;
}

void measureFates(int64_t tasks) {
  using namespace fate;
  FateStateMachine book;
  const Instant now = Instant::fromMillis(1000);
  const Incarnation start{1};
  const auto eachTask = [&](const std::string &name, auto work) {
    measure(name, tasks, tasks, [&] {
      for (int64_t n = 0; n < tasks; ++n)
        work(n);
    });
  };
  measure("fate.accept_request", tasks, tasks / TasksPerRequest, [&] {
    for (int64_t n = 0; n < tasks / TasksPerRequest; ++n)
      book.apply(*valueOf(book.submit(workOf(n), now)));
  });
  eachTask("fate.offer", [&](int64_t n) {
    book.apply(*book.offer(taskId(n), Term{1}, workerOf(n), start,
                           {100, 100, 0}, now));
  });
  const auto reportAs = [&](int64_t n, TaskPhase phase) {
    const TaskReport report{taskId(n), {Term{1}, 1}, phase, {}, "an answer"};
    for (const Event &event : book.report(workerOf(n), start, report, now))
      book.apply(event);
  };
  eachTask("fate.start", [&](int64_t n) { reportAs(n, TaskPhase::Started); });
  measure("fate.attempts_of_worker", tasks, tasks / TasksPerWorker, [&] {
    for (int64_t n = 0; n < tasks; n += TasksPerWorker)
      book.attemptsOn(workerOf(n));
  });
  std::optional<FateSnapshot> state;
  measure("fate.export", tasks, tasks, [&] { state = book.state(); });
  measure("fate.import", tasks, tasks,
          [&] { FateStateMachine::fromState(*std::move(state)); });
  eachTask("fate.finish", [&](int64_t n) { reportAs(n, TaskPhase::Finished); });
  const int64_t before = heapBytes();
  book = FateStateMachine();
  print({"fate.freed_ended_task", tasks, tasks, 0, before - heapBytes()});
}

void printBytes(const std::string &name, const std::string &encoded) {
  print({name, 1, 1, 0, static_cast<int64_t>(encoded.size())});
}

// Encoded bytes of one message or journal event.
template <typename T>
void measureBytes(const std::string &name, const T &value) {
  printBytes(name, wire::encodePacked(value));
}

void measureMessages() {
  using namespace fate;
  const ZoneId zone("san-fernando");
  const limits::Slice slice{TeamId("events"), {}, {1, 1, 1}, {1, 1, 1}};
  measureBytes("bytes.slice_report", limits::SliceReport{zone, {}, 1, {}, {}});
  measureBytes("bytes.slice_report_line", limits::ReportLine{slice, {}});
  measureBytes("bytes.slice_reply", limits::SliceReply{});
  measureBytes("bytes.slice", slice);
  measureBytes("bytes.catalogue_poll_reply", catalogue::Update{});
  // On the keepers' disks.
  printBytes("bytes.edit", wire::encode(editOf(
                               "0123456789abcdef", 1,
                               catalogue::PutTeam{{TeamId("events"), 1, {}}})));
  const TaskId task = taskId(1);
  measureBytes("bytes.request_accepted", RequestAccepted{workOf(1), {}});
  measureBytes("bytes.task_offered",
               TaskOffered{task, {}, workerOf(1), {}, {}, {}});
  measureBytes("bytes.task_started", TaskStarted{task, {}, {}});
  measureBytes("bytes.task_ended",
               TaskEnded{task, {}, TaskPhase::Finished, "an answer", {}});
}

int run(int argc, char **argv) {
  if (argc > 2 || (argc == 2 && std::strcmp(argv[1], "--json") != 0)) {
    std::cerr << "usage: state-bench [--json]\n";
    return 2;
  }
  IsJson = argc == 2;
  if (!IsJson)
    absl::PrintF("%-28s %9s %12s %12s\n", "what", "size", "us each",
                 "bytes each");
  for (const int64_t entries : {100, 1000, 5000})
    measureCatalogue(entries);
  for (const int64_t teams : {6, 53, 200})
    measureLedger(teams);
  for (const int64_t tasks : {700, 7000, 63'000})
    measureFates(tasks);
  measureMessages();
  return 0;
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) { return jujube::run(argc, argv); }
