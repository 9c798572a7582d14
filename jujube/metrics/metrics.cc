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

std::size_t bucketOf(double value) {
  if (value < 1)
    return 0;
  return std::min<std::size_t>(MaxBuckets - 1,
                               static_cast<std::size_t>(std::ilogb(value)) + 1);
}

std::string labelText(const Labels &labels) {
  return absl::StrCat("{team=\"", labels.Team, "\",class=\"", labels.Class,
                      "\"}");
}

} // namespace

struct Metrics::Histogram {
  Quantiles Values{acc::extended_p_square_probabilities = Probabilities};
  std::vector<uint64_t> Buckets;
  std::vector<double> First;

  void observe(double value) {
    Values(value);
    // The estimate needs more observations than probabilities; until then the
    // quantiles are taken from the observations themselves.
    if (First.size() < MinForEstimate)
      First.push_back(value);
    const std::size_t bucket = bucketOf(value);
    if (Buckets.size() <= bucket)
      Buckets.resize(bucket + 1);
    ++Buckets[bucket];
  }

  // Precondition: p is one of Probabilities.
  double quantile(double p) const {
    if (acc::count(Values) > MinForEstimate) {
      const auto it = std::ranges::find(Probabilities, p);
      return acc::extended_p_square(Values)[it - Probabilities.begin()];
    }
    std::vector<double> sorted = First;
    std::ranges::sort(sorted);
    const auto rank = static_cast<std::size_t>(std::ceil(p * sorted.size()));
    return sorted[rank == 0 ? 0 : rank - 1];
  }

  static constexpr std::size_t MinForEstimate = 64;
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
  Snapshot all;
  for (const auto &[key, n] : Counters)
    all.Counters.push_back({key.first, key.second, n});
  for (const auto &[key, h] : Histograms)
    all.Histograms.push_back({key.first, key.second, acc::count(h->Values),
                              acc::mean(h->Values), acc::max(h->Values),
                              h->quantile(0.5), h->quantile(0.9),
                              h->quantile(0.99), h->Buckets});
  return all;
}

std::string renderText(const Snapshot &snapshot) {
  std::string text;
  for (const CounterValue &c : snapshot.Counters)
    absl::StrAppend(&text, c.Name, labelText(c.For), " ", c.Value, "\n");
  for (const HistogramValue &h : snapshot.Histograms) {
    const std::string labels = labelText(h.For);
    absl::StrAppend(&text, h.Name, "_count", labels, " ", h.Count, "\n");
    absl::StrAppendFormat(&text, "%s_mean%s %.3f\n", h.Name, labels, h.Mean);
    absl::StrAppendFormat(&text, "%s_p50%s %.3f\n", h.Name, labels, h.P50);
    absl::StrAppendFormat(&text, "%s_p90%s %.3f\n", h.Name, labels, h.P90);
    absl::StrAppendFormat(&text, "%s_p99%s %.3f\n", h.Name, labels, h.P99);
    absl::StrAppendFormat(&text, "%s_max%s %.3f\n", h.Name, labels, h.Max);
  }
  return text;
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
