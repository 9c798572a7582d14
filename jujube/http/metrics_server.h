// An HTTP server that exports the metrics of a program to collectors.
#ifndef JUJUBE_HTTP_METRICS_SERVER_H_
#define JUJUBE_HTTP_METRICS_SERVER_H_

#include "jujube/base/address.h"
#include "jujube/http/exchange_server.h"
#include "jujube/metrics/metrics.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/reply_slot.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::http {

// A request for a snapshot to the task that owns the metrics.
struct MetricsRequest {
  runtime::ReplySlotPtr<metrics::Snapshot> Answer;
};
using MetricsMailbox = runtime::MailboxPtr<MetricsRequest>;

MetricsMailbox makeMetricsMailbox();

// Returns a hook that answers every request with the metrics as text, or with
// status 503 if the task that owns them does not reply in time. The hook blocks
// until the reply or the timeout.
RawRequestHook answerWithMetrics(MetricsMailbox questions);

// Returns a child task that serves answerWithMetrics() at `listen`.
Result<runtime::ChildSpec> metricsServerTask(const Address &listen,
                                             MetricsMailbox questions);

} // namespace jujube::http

#endif // JUJUBE_HTTP_METRICS_SERVER_H_
