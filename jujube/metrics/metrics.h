// Counters and histograms per team and class, on Boost.Accumulators.
//
// A Metrics object belongs to one task. Other tasks get snapshots by message.
#ifndef JUJUBE_METRICS_METRICS_H_
#define JUJUBE_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/base/ids.h"

namespace jujube::metrics {

// What a counter or histogram is kept for; unused parts stay empty.
struct Labels {
  std::string Team;
  std::string Class;
  // Why something was refused or waited.
  std::string Cause;

  auto operator<=>(const Labels &) const = default;
};

// A counter at one moment.
struct CounterValue {
  std::string Name;
  Labels For;
  uint64_t Value = 0;

  bool operator==(const CounterValue &) const = default;
};

// A level at one moment, for example the length of a queue.
struct GaugeValue {
  std::string Name;
  Labels For;
  double Value = 0;

  bool operator==(const GaugeValue &) const = default;
};

// A histogram at one moment. Values have the unit that the name ends in.
struct HistogramValue {
  std::string Name;
  Labels For;
  uint64_t Count = 0;
  double Mean = 0;
  double Max = 0;
  double P50 = 0;
  double P90 = 0;
  double P99 = 0;
  // Observations in [2^(i-1), 2^i); bucket 0 holds those below 1.
  std::vector<uint64_t> Buckets;

  bool operator==(const HistogramValue &) const = default;
};

// A copy of all values, to be sent between tasks and processes.
struct Snapshot {
  std::vector<CounterValue> Counters;
  std::vector<HistogramValue> Histograms;
  std::vector<GaugeValue> Gauges;

  bool operator==(const Snapshot &) const = default;
};

// Counters and histograms of one task.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(Metrics &&) noexcept;
  Metrics &operator=(Metrics &&) noexcept;

  // Adds to a counter, which starts at 0.
  void add(const std::string &name, const Labels &labels, uint64_t n = 1);
  // Adds one observation to a histogram.
  void observe(const std::string &name, const Labels &labels, double value);

  Snapshot snapshot() const;

private:
  struct Histogram;
  std::map<std::pair<std::string, Labels>, uint64_t> Counters;
  std::map<std::pair<std::string, Labels>, std::unique_ptr<Histogram>>
      Histograms;
};

// Renders a snapshot as the text that /metrics serves, in the format of
// Prometheus: histograms have cumulative buckets, and quantiles beside them.
std::string renderText(const Snapshot &snapshot);

// Renders a histogram's buckets as rows of bars for a terminal.
std::string renderBars(const HistogramValue &histogram);

} // namespace jujube::metrics

#endif // JUJUBE_METRICS_METRICS_H_
