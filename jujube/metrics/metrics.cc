#include "jujube/metrics/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace jujube::metrics {
namespace acc = boost::accumulators;
namespace {

constexpr std::size_t MaxBuckets = 40;
constexpr std::array<double, 5> Probabilities = {0.25, 0.5, 0.9, 0.99, 0.999};

using Quantiles = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                       acc::tag::extended_p_square>>;

std::size_t bucketIndex(double value) {
  if (value < 1)
    return 0;
  return std::min<std::size_t>(MaxBuckets - 1,
                               static_cast<std::size_t>(std::ilogb(value)) + 1);
}

// Renders `labels` in braces. `bound` is the upper bound of a histogram bucket
// (the label "le") and is empty for all other lines.
std::string labelText(const Labels &labels, const std::string &bound = {}) {
  std::string text =
      absl::StrCat("{team=\"", absl::CEscape(labels.Team), "\",class=\"",
                   absl::CEscape(labels.Class), "\"");
  if (!labels.Cause.empty())
    absl::StrAppend(&text, ",cause=\"", absl::CEscape(labels.Cause), "\"");
  if (!bound.empty())
    absl::StrAppend(&text, ",le=\"", bound, "\"");
  return text + "}";
}

// Collects the lines of the text format by metric name: Prometheus expects all
// lines of a metric in one block under its TYPE line.
class Exposition {
public:
  void add(const std::string &name, absl::string_view type,
           const std::string &line) {
    std::string &text = Metrics[name];
    if (text.empty())
      text = absl::StrCat("# TYPE ", name, " ", type, "\n");
    absl::StrAppend(&text, line, "\n");
  }
  void addGauge(const std::string &name, const Labels &labels, double value) {
    add(name, "gauge",
        absl::StrFormat("%s%s %.3f", name, labelText(labels), value));
  }
  void add(const HistogramValue &h) {
    uint64_t cumulative = 0;
    for (std::size_t i = 0; i < h.Buckets.size(); ++i) {
      cumulative += h.Buckets[i];
      const std::string bound =
          absl::StrFormat("%.0f", std::ldexp(1.0, static_cast<int>(i)));
      add(h.Name, "histogram",
          absl::StrCat(h.Name, "_bucket", labelText(h.For, bound), " ",
                       cumulative));
    }
    add(h.Name, "histogram",
        absl::StrCat(h.Name, "_bucket", labelText(h.For, "+Inf"), " ",
                     h.Count));
    add(h.Name, "histogram",
        absl::StrFormat("%s_sum%s %.3f", h.Name, labelText(h.For),
                        h.Mean * static_cast<double>(h.Count)));
    add(h.Name, "histogram",
        absl::StrCat(h.Name, "_count", labelText(h.For), " ", h.Count));
    addGauge(h.Name + "_p50", h.For, h.P50);
    addGauge(h.Name + "_p90", h.For, h.P90);
    addGauge(h.Name + "_p99", h.For, h.P99);
    addGauge(h.Name + "_max", h.For, h.Max);
  }
  std::string text() const {
    std::string exposition;
    for (const auto &[name, lines] : Metrics)
      exposition += lines;
    return exposition;
  }

private:
  std::map<std::string, std::string> Metrics;
};

} // namespace

struct Metrics::Histogram {
  Quantiles Values{acc::extended_p_square_probabilities = Probabilities};
  std::vector<uint64_t> Buckets;
  std::vector<double> FirstValues;

  void observe(double value) {
    Values(value);
    // The P-square estimate needs more observations than probabilities. The
    // first observations are kept to compute exact quantiles until then.
    if (FirstValues.size() < MinEstimateCount)
      FirstValues.push_back(value);
    const std::size_t bucket = bucketIndex(value);
    if (Buckets.size() <= bucket)
      Buckets.resize(bucket + 1);
    ++Buckets[bucket];
  }

  // Returns the `p`-quantile. Precondition: `p` is one of Probabilities.
  double quantile(double p) const {
    if (acc::count(Values) > MinEstimateCount) {
      const auto it = std::ranges::find(Probabilities, p);
      return acc::extended_p_square(Values)[it - Probabilities.begin()];
    }
    std::vector<double> sorted = FirstValues;
    std::ranges::sort(sorted);
    const auto rank = static_cast<std::size_t>(std::ceil(p * sorted.size()));
    return sorted[rank == 0 ? 0 : rank - 1];
  }

  static constexpr std::size_t MinEstimateCount = 64;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;
Metrics::Metrics(Metrics &&) noexcept = default;
Metrics &Metrics::operator=(Metrics &&) noexcept = default;

void Metrics::add(const std::string &name, const Labels &labels, uint64_t n) {
  Counters[{name, labels}] += n;
}

void Metrics::observe(const std::string &name, const Labels &labels,
                      double value) {
  auto &histogram = Histograms[{name, labels}];
  if (!histogram)
    histogram = std::make_unique<Histogram>();
  histogram->observe(value);
}

Snapshot Metrics::snapshot() const {
  Snapshot result;
  for (const auto &[key, n] : Counters)
    result.Counters.push_back({key.first, key.second, n});
  for (const auto &[key, h] : Histograms)
    result.Histograms.push_back({key.first, key.second, acc::count(h->Values),
                                 acc::mean(h->Values), acc::max(h->Values),
                                 h->quantile(0.5), h->quantile(0.9),
                                 h->quantile(0.99), h->Buckets});
  return result;
}

std::string renderText(const Snapshot &snapshot) {
  Exposition exposition;
  for (const CounterValue &c : snapshot.Counters)
    exposition.add(c.Name, "counter",
                   absl::StrCat(c.Name, labelText(c.For), " ", c.Value));
  for (const GaugeValue &g : snapshot.Gauges)
    exposition.addGauge(g.Name, g.For, g.Value);
  for (const HistogramValue &h : snapshot.Histograms)
    exposition.add(h);
  return exposition.text();
}

std::string renderBars(const HistogramValue &histogram) {
  constexpr std::size_t Width = 50;
  const uint64_t most = histogram.Buckets.empty()
                            ? 0
                            : *std::ranges::max_element(histogram.Buckets);
  std::string text = absl::StrCat(histogram.Name, labelText(histogram.For),
                                  " count ", histogram.Count, "\n");
  for (std::size_t i = 0; i < histogram.Buckets.size(); ++i) {
    const uint64_t n = histogram.Buckets[i];
    const std::string bar(most ? n * Width / most : 0, '#');
    absl::StrAppendFormat(&text, "  < %10.0f %8d%s%s\n",
                          std::ldexp(1.0, static_cast<int>(i)), n,
                          bar.empty() ? "" : " ", bar);
  }
  return text;
}

} // namespace jujube::metrics
