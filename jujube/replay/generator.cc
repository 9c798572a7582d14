#include "jujube/replay/generator.h"

#include <algorithm>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"

namespace jujube::replay {
namespace {

using catalogue::Urgency;
using catalogue::WorkClass;

// Size and layout of a deployment.
struct DeploymentLayout {
  std::string Zone;
  uint32_t Workers = 50;
  Resources Worker;
  uint32_t PerRack = 8;
  // Racks whose workers have accelerators.
  uint32_t AcceleratorRacks = 0;
  // Factor on task sizes relative to workers with 16 cores and 64 GB.
  int64_t CpuScale = 1;
  int64_t MemoryScale = 1;
  std::vector<std::string> Teams;
};

// Shares of the teams; a few are large.
constexpr std::array<uint32_t, 6> Shares = {6, 4, 1, 1, 1, 1};

// Timeline of a trace.
constexpr Instant ArrivalsEnd = Instant::fromMillis(2'700'000);
constexpr Instant TraceEnd = Instant::fromMillis(5'400'000);
constexpr Instant BurstAt = Instant::fromMillis(600'000);
constexpr Instant FailuresStart = Instant::fromMillis(300'000);
constexpr Instant FailuresEnd = Instant::fromMillis(1'800'000);
constexpr Instant MassSubmitAt = Instant::fromMillis(1'400'000);
constexpr Instant MassCancelAt = Instant::fromMillis(1'500'000);
constexpr Instant RackLostAt = Instant::fromMillis(1'900'000);
constexpr Instant RackBackAt = Instant::fromMillis(2'200'000);
constexpr Instant LeavingAt = Instant::fromMillis(2'300'000);
constexpr Instant SliceCutAt = Instant::fromMillis(2'400'000);
constexpr Instant SliceBackAt = Instant::fromMillis(2'600'000);

constexpr uint32_t BurstRequests = 14;
constexpr uint32_t BurstTasks = 100;
constexpr uint32_t MassSubmitRequests = 300;
constexpr uint32_t LostRack = 2;
constexpr std::array<uint32_t, 2> FailingWorkers = {7, 23};
constexpr std::array<uint32_t, 2> LeavingWorkers = {33, 41};

// Bounds that the traces expect of both policies.
constexpr int64_t UrgentWaitMs = 1400;
constexpr int64_t MeanShareGapPoints = 6;
constexpr int64_t PackingPercent = 85;
// Time from the loss of a worker to the restart of its tasks on another worker:
// the lease duration plus the longest allowed wait of urgent work.
constexpr int64_t ServiceOutageMs = 5000 + UrgentWaitMs;

DeploymentLayout layoutOf(Deployment deployment) {
  if (deployment == Deployment::Mkwawa)
    return {"dar-coast",
            50,
            {64000, 131072, 0},
            6,
            4,
            4,
            2,
            {"bells", "chimes", "brackets", "stock", "fitters", "ledger"}};
  return {"tt-south",
          50,
          {16000, 65536, 0},
          8,
          0,
          1,
          1,
          {"rentals", "panels", "crews", "deposits", "farms", "events"}};
}

class Generator {
public:
  Generator(Deployment deployment, uint64_t seed)
      : Layout(layoutOf(deployment)), Random(seed),
        Name(absl::StrCat(nameIn(DeploymentNames, deployment), "-", seed)) {}

  std::vector<Record> run() {
    TraceHeader header;
    header.Name = Name;
    add(Instant(), header);
    addTeams();
    addWorkers();
    addServices();
    addSteadyWork();
    addBurst();
    addFailures();
    addUnsatisfiable();
    addMassCancellation();
    addLosses();
    addExpectations();
    add(TraceEnd, EndRecord{});
    std::ranges::stable_sort(Records, {}, &Record::At);
    return std::move(Records);
  }

private:
  void add(Instant at, Event event) {
    Records.push_back({at, std::move(event)});
  }

  uint32_t randomBelow(uint32_t n) {
    return static_cast<uint32_t>(Random() % n);
  }

  // Uniform over [low, high] milliseconds.
  Duration between(Duration low, Duration high) {
    const auto range = static_cast<uint64_t>((high - low).millis() + 1);
    return low + Duration::millis(static_cast<int64_t>(Random() % range));
  }

  Resources size(int64_t milliCpu, int64_t memoryMb,
                 int64_t accelerators = 0) const {
    return {milliCpu * Layout.CpuScale, memoryMb * Layout.MemoryScale,
            accelerators};
  }

  Resources fleet() const {
    return Layout.Worker * Layout.Workers +
           Resources{0, 0,
                     int64_t{4} * Layout.AcceleratorRacks * Layout.PerRack};
  }

  // Picks large teams more often.
  uint32_t pickTeam() {
    const uint32_t n = randomBelow(14);
    return n < 5 ? 0 : n < 9 ? 1 : n - 9 < 4 ? n - 7 : 5;
  }

  EntryId entryOf(uint32_t team, absl::string_view kind) const {
    return EntryId(absl::StrCat(Layout.Teams[team], "-", kind));
  }

  WorkerId workerId(uint32_t n) const {
    return WorkerId(absl::StrCat("w", n < 10 ? "0" : "", n));
  }

  fate::WorkerAnnouncement worker(uint32_t n, uint64_t start) const {
    const uint32_t rack = n / Layout.PerRack;
    Resources capacity = Layout.Worker;
    capacity.Accelerators = rack < Layout.AcceleratorRacks ? 4 : 0;
    return {workerId(n), Incarnation{start}, RackId(absl::StrCat("rack", rack)),
            capacity, false};
  }

  void addTeams() {
    const Resources all = fleet();
    for (uint32_t i = 0; i < Layout.Teams.size(); ++i) {
      const int64_t tenths = Shares[i] > 1 ? 8 : 3;
      const Resources ceiling = {all.MilliCpu * tenths / 10,
                                 all.MemoryMb * tenths / 10, all.Accelerators};
      add(Instant(), TeamRecord{{TeamId(Layout.Teams[i]), Shares[i], ceiling}});
      addEntries(i);
    }
  }

  void addEntry(uint32_t team, absl::string_view kind, WorkClass workClass,
                const Resources &ask, Duration run,
                const std::function<void(catalogue::Entry &)> &adjust) {
    catalogue::Entry entry;
    entry.Id = entryOf(team, kind);
    entry.Owner = TeamId(Layout.Teams[team]);
    entry.Class = workClass;
    entry.Demand = ask;
    entry.RunTime = run;
    adjust(entry);
    add(Instant(), EntryRecord{entry});
  }

  void addEntries(uint32_t team) {
    addEntry(team, "desk", WorkClass::Service, size(1000, 2000), Duration(),
             [](catalogue::Entry &e) { e.MaxAttempts = 10; });
    addEntry(team, "invoice", WorkClass::Batch, size(2000, 4000),
             Duration::seconds(60),
             [](catalogue::Entry &e) { e.CanCheckpoint = true; });
    addEntry(team, "replay", WorkClass::Batch, size(4000, 6000),
             Duration::seconds(20),
             [](catalogue::Entry &e) { e.CanThrottle = true; });
    addEntry(team, "plan", WorkClass::Gang,
             size(2000, 6000, Layout.AcceleratorRacks > 0 ? 1 : 0),
             Duration::seconds(90),
             [](catalogue::Entry &e) { e.CanCheckpoint = true; });
    addEntry(team, "settle", WorkClass::Batch, size(500, 1000),
             Duration::seconds(5), [](catalogue::Entry &e) {
               e.Priority = Urgency::Urgent;
               e.IsIdempotent = false;
             });
    addEntry(team, "broken", WorkClass::Batch, size(1000, 2000),
             Duration::seconds(30),
             [](catalogue::Entry &e) { e.MaxRunning = 20; });
  }

  void addWorkers() {
    for (uint32_t i = 0; i < Layout.Workers; ++i)
      add(Instant(), WorkerRecord{worker(i, 1), false});
  }

  RequestId submit(Instant at, const EntryId &entry, uint32_t tasks,
                   Duration run, const Resources &use) {
    RequestId id(absl::StrCat(Layout.Zone, ".r", NextRequest++));
    SubmitRecord record;
    record.Request = id;
    record.Entry = entry;
    record.Tasks = tasks;
    record.Run = run;
    record.RunSpread = 40;
    record.Use = use;
    add(at, record);
    return id;
  }

  // Services are spread over the racks, so the loss of one rack leaves the
  // tasks on the other racks running.
  void addServices() {
    const uint32_t racks =
        (Layout.Workers + Layout.PerRack - 1) / Layout.PerRack;
    for (uint32_t i = 0; i < Layout.Teams.size(); ++i) {
      const uint32_t tasks = Shares[i] > 1 ? 12 : 4;
      const RequestId id = submit(Instant::fromMillis(6000), entryOf(i, "desk"),
                                  tasks, Duration(), size(600, 1500));
      const uint32_t onOneRack = (tasks + racks - 1) / racks;
      expect(
          {OutcomeKind::ServiceRunning, "", id.str(), "", tasks - onOneRack});
      expect(
          {OutcomeKind::ServiceOutage, "", id.str(), "", 0, ServiceOutageMs});
    }
  }

  // Declared demands are inaccurate: invoices use more memory than requested,
  // replays far less processor time.
  void submitInvoice(Instant at, uint32_t team, uint32_t tasks) {
    const int64_t memoryMb = 4000 + 100 * randomBelow(13);
    const Duration run = between(Duration::seconds(30), Duration::seconds(150));
    submit(at, entryOf(team, "invoice"), tasks, run, size(1700, memoryMb));
  }

  // Each random number is drawn in its own statement: the evaluation order of
  // function arguments differs between architectures, but the traces must be
  // identical.
  void submitAny(Instant at) {
    const uint32_t team = pickTeam();
    const uint32_t kind = randomBelow(20);
    if (kind < 9) {
      const Duration run = between(Duration::seconds(2), Duration::seconds(8));
      submit(at, entryOf(team, "settle"), 1, run, size(400, 800));
    } else if (kind < 13) {
      submitInvoice(at, team, 5 + randomBelow(30));
    } else if (kind < 17) {
      const Duration run =
          between(Duration::seconds(20), Duration::seconds(60));
      const uint32_t tasks = 2 + randomBelow(14);
      submit(at, entryOf(team, "replay"), tasks, run, size(1200, 5000));
    } else {
      const Duration run =
          between(Duration::seconds(60), Duration::seconds(120));
      const uint32_t tasks = 4 + randomBelow(9);
      submit(at, entryOf(team, "plan"), tasks, run,
             size(1900, 5500, Layout.AcceleratorRacks > 0 ? 1 : 0));
    }
  }

  void addSteadyWork() {
    for (Instant at = Instant::fromMillis(10'000); at < ArrivalsEnd;
         at = at + between(Duration::millis(100), Duration::millis(3300)))
      submitAny(at);
  }

  // The nightly invoice runs of the two large teams and of a small one.
  void addBurst() {
    for (uint32_t i = 0; i < BurstRequests; ++i)
      submitInvoice(BurstAt + Duration::seconds(i), i % 3 == 2 ? 1 : 0,
                    BurstTasks);
    for (uint32_t i = 0; i < 4; ++i)
      submitInvoice(BurstAt + Duration::seconds(60 + i), 4, BurstTasks / 2);
  }

  void addFailures() {
    for (uint32_t n : FailingWorkers) {
      add(FailuresStart, WorkerRecord{worker(n, 1), true});
      add(FailuresEnd, WorkerRecord{worker(n, 2), false});
      expect({OutcomeKind::Quarantined, "", workerId(n).str()});
    }
    for (uint32_t i = 0; i < 6; ++i) {
      const RequestId id = submit(
          FailuresStart + Duration::seconds(60 + 20 * i), entryOf(2, "broken"),
          5, Duration::seconds(30), size(800, 1500));
      std::get<SubmitRecord>(Records.back().What).IsFailing = true;
      expect({OutcomeKind::Fate, "", id.str(), "failed"});
    }
  }

  void addUnsatisfiable() {
    const auto reject = [this](absl::string_view kind, const Resources &ask,
                               WorkClass workClass, uint32_t tasks) {
      addEntry(0, kind, workClass, ask, Duration::seconds(60),
               [](catalogue::Entry &) {});
      const RequestId id =
          submit(Instant::fromMillis(700'000), entryOf(0, kind), tasks,
                 Duration::seconds(60), ask);
      expect({OutcomeKind::Fate, "", id.str(), "not_run"});
    };
    reject("too-wide", Layout.Worker + Resources{1000, 0, 0}, WorkClass::Batch,
           1);
    reject("too-deep", Layout.Worker * 3, WorkClass::Batch, 1);
    reject("no-such-device", {1000, 1000, 16}, WorkClass::Batch, 1);
    reject("gang-too-large", Layout.Worker, WorkClass::Gang,
           Layout.Workers + 1);
  }

  void addMassCancellation() {
    for (uint32_t i = 0; i < MassSubmitRequests; ++i) {
      const RequestId id = submit(
          MassSubmitAt + Duration::millis(int64_t{50} * i),
          entryOf(3, "invoice"), 4, Duration::seconds(400), size(1700, 4000));
      add(MassCancelAt + Duration::millis(i), CancelRecord{id});
      if (i % 50 == 49)
        expect({OutcomeKind::Fate, "", id.str(), "cancelled"});
    }
  }

  void addLosses() {
    for (uint32_t i = 0; i < Layout.PerRack; ++i) {
      const uint32_t n = LostRack * Layout.PerRack + i;
      add(RackLostAt, LostRecord{workerId(n)});
      add(RackBackAt, WorkerRecord{worker(n, 3), false});
    }
    for (uint32_t n : LeavingWorkers) {
      WorkerRecord leaving{worker(n, 1), false};
      leaving.Worker.IsLeaving = true;
      add(LeavingAt, leaving);
      add(LeavingAt + Duration::seconds(120), LostRecord{workerId(n)});
    }
    const Resources all = fleet();
    const TeamId team(Layout.Teams[1]);
    add(SliceCutAt, SliceRecord{team,
                                {all.MilliCpu / 10, all.MemoryMb / 10,
                                 all.Accelerators / 10}});
    add(SliceBackAt, SliceRecord{team,
                                 {all.MilliCpu * 8 / 10, all.MemoryMb * 8 / 10,
                                  all.Accelerators}});
  }

  void expect(ExpectRecord record) { add(TraceEnd, std::move(record)); }

  void addExpectations() {
    for (uint32_t n : {1U, 12U, 30U, 45U})
      expect({OutcomeKind::NeverQuarantined, "", workerId(n).str()});
    expect({OutcomeKind::Unsettled, "", "", "", 0, 0});
    expect({OutcomeKind::WaitP99, "", "urgent", "", 0, UrgentWaitMs});
    expect({OutcomeKind::ShareGap, "", "", "", 0, MeanShareGapPoints});
    expect({OutcomeKind::Packing, "", "", "", PackingPercent});
  }

  DeploymentLayout Layout;
  std::mt19937_64 Random;
  std::string Name;
  std::vector<Record> Records;
  uint32_t NextRequest = 1;
};

} // namespace

std::vector<Record> generateTrace(Deployment deployment, uint64_t seed) {
  return Generator(deployment, seed).run();
}

} // namespace jujube::replay
