#include "jujube/http/metrics_server.h"

#include <utility>

namespace jujube::http {
namespace {

// Collectors send one request every few seconds.
constexpr std::size_t MaxQuestions = 16;
constexpr std::size_t MaxRequests = 4;
constexpr std::size_t MaxConnections = 32;
constexpr std::size_t MaxBody = std::size_t{4} << 10;
constexpr std::size_t MaxBufferedBytes = std::size_t{8} << 20;
constexpr std::size_t MaxWorkBytes = std::size_t{4} << 20;
// Reply timeout of the task that owns the metrics; shorter than the timeouts of
// collectors.
constexpr Duration AnswerTimeout = Duration::millis(500);

} // namespace

MetricsMailbox makeMetricsMailbox() {
  return runtime::makeMailbox<MetricsRequest>(MaxQuestions);
}

RawRequestHook answerWithMetrics(MetricsMailbox questions) {
  return [questions = std::move(questions)](const RawRequest &) {
    const auto unavailable = [](const Error &error) {
      return RawResponse{503, error.text() + "\n", {}, "text/plain"};
    };
    const auto slot = runtime::makeReplySlot<metrics::Snapshot>();
    if (const Status status = questions->post({slot}); !isOk(status))
      return unavailable(errorOf(status));
    const Result<metrics::Snapshot> snapshot = slot->wait(AnswerTimeout);
    if (!isOk(snapshot))
      return unavailable(errorOf(snapshot));
    return RawResponse{200,
                       metrics::renderText(valueOf(snapshot)),
                       {},
                       "text/plain; version=0.0.4"};
  };
}

Result<runtime::ChildSpec> metricsServerTask(const Address &listen,
                                             MetricsMailbox questions) {
  ServerOptions options;
  options.Listen = listen;
  options.MaxRequests = MaxRequests;
  options.MaxConnections = MaxConnections;
  options.MaxBody = MaxBody;
  options.MaxBufferedBytes = MaxBufferedBytes;
  options.MaxWorkBytes = MaxWorkBytes;
  return exchangeServerTask("metrics_http", options,
                            answerWithMetrics(std::move(questions)),
                            [] { return true; });
}

} // namespace jujube::http
