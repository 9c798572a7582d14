#include "jujube/http/metrics_server.h"

#include <utility>

namespace jujube::http {
namespace {

// Collectors ask every few seconds, one at a time.
constexpr std::size_t MaxQuestions = 16;
constexpr std::size_t MaxRequests = 4;
// How long the task that keeps the metrics has to answer. Source: less than
// collectors wait.
constexpr Duration AnswerTimeout = Duration::millis(500);

} // namespace

MetricsMailbox makeMetricsMailbox() {
  return runtime::makeMailbox<MetricsQuestion>(MaxQuestions);
}

ExchangeHook answerWithMetrics(MetricsMailbox questions) {
  return [questions = std::move(questions)](const Exchange &) {
    const auto refuse = [](const Error &error) {
      return ExchangeAnswer{503, error.text() + "\n", {}, "text/plain"};
    };
    const auto slot = runtime::makeReplySlot<metrics::Snapshot>();
    if (const Status status = questions->post({slot}); !isOk(status))
      return refuse(errorOf(status));
    const Result<metrics::Snapshot> snapshot = slot->wait(AnswerTimeout);
    if (!isOk(snapshot))
      return refuse(errorOf(snapshot));
    return ExchangeAnswer{200,
                          metrics::renderText(valueOf(snapshot)),
                          {},
                          "text/plain; version=0.0.4"};
  };
}

Result<runtime::ChildSpec> metricsServerTask(const Address &listen,
                                             MetricsMailbox questions) {
  ServerOptions serving;
  serving.Listen = listen;
  serving.MaxRequests = MaxRequests;
  return exchangeServerTask("metrics_http", serving,
                            answerWithMetrics(std::move(questions)),
                            [] { return true; });
}

} // namespace jujube::http
