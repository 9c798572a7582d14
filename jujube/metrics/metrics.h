// Counters and histograms per team and class, and their text formats.
#ifndef JUJUBE_METRICS_METRICS_H_
#define JUJUBE_METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/base/ids.h"

namespace jujube::metrics {

// The dimensions of a metric. Dimensions that a metric doesn't use are empty.
struct Labels {
  std::string Team;
  std::string Class;
  // Why a request was refused or had to wait.
  std::string Cause;

  auto operator<=>(const Labels &) const = default;
};

// The value of a counter in a snapshot.
struct CounterValue {
  std::string Name;
  Labels For;
  uint64_t Value = 0;

  bool operator==(const CounterValue &) const = default;
};

// The value of a gauge in a snapshot, for example the length of a queue.
struct GaugeValue {
  std::string Name;
  Labels For;
  double Value = 0;

  bool operator==(const GaugeValue &) const = default;
};

// The state of a histogram in a snapshot. The suffix of Name gives the unit of
// the observed values, for example "_ms".
struct HistogramValue {
  std::string Name;
  Labels For;
  uint64_t Count = 0;
  double Mean = 0;
  double Max = 0;
  double P50 = 0;
  double P90 = 0;
  double P99 = 0;
  // Bucket i counts observations in [2^(i-1), 2^i), bucket 0 those below 1.
  std::vector<uint64_t> Buckets;

  bool operator==(const HistogramValue &) const = default;
};

// A copy of all values of a Metrics object, for other tasks and processes.
struct Snapshot {
  std::vector<CounterValue> Counters;
  std::vector<HistogramValue> Histograms;
  std::vector<GaugeValue> Gauges;

  bool operator==(const Snapshot &) const = default;
};

// The counters and histograms of a task, which owns the object and is the only
// one to use it. Other tasks receive snapshots by message.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(Metrics &&) noexcept;
  Metrics &operator=(Metrics &&) noexcept;

  // Adds `n` to a counter; counters start at 0.
  void add(const std::string &name, const Labels &labels, uint64_t n = 1);
  // Records an observation in a histogram.
  void observe(const std::string &name, const Labels &labels, double value);

  Snapshot snapshot() const;

private:
  struct Histogram;
  std::map<std::pair<std::string, Labels>, uint64_t> Counters;
  std::map<std::pair<std::string, Labels>, std::unique_ptr<Histogram>>
      Histograms;
};

// Renders a snapshot in the Prometheus text format, as served by /metrics.
// Histograms have cumulative buckets; their quantiles and maximum are rendered
// as gauges.
std::string renderText(const Snapshot &snapshot);

// Renders a histogram as a bar chart for a terminal, one line per bucket.
std::string renderBars(const HistogramValue &histogram);

} // namespace jujube::metrics

#endif // JUJUBE_METRICS_METRICS_H_
