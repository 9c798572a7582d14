// The address at which a program shows its metrics to collectors.
#ifndef JUJUBE_HTTP_METRICS_SERVER_H_
#define JUJUBE_HTTP_METRICS_SERVER_H_

#include "jujube/base/address.h"
#include "jujube/http/exchange_server.h"
#include "jujube/metrics/metrics.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/reply_slot.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::http {

// Asks the task that keeps the metrics for their values.
struct MetricsQuestion {
  runtime::ReplySlotPtr<metrics::Snapshot> Answer;
};
using MetricsMailbox = runtime::MailboxPtr<MetricsQuestion>;

MetricsMailbox makeMetricsMailbox();

// Answers every call with the metrics as text, or with 503 if the task that
// keeps them is too busy to tell. Blocks until it has told.
ExchangeHook answerWithMetrics(MetricsMailbox questions);

// A server that does so.
Result<runtime::ChildSpec> metricsServerTask(const Address &listen,
                                             MetricsMailbox questions);

} // namespace jujube::http

#endif // JUJUBE_HTTP_METRICS_SERVER_H_
