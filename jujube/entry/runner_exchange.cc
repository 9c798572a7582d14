#include "jujube/entry/runner_exchange.h"

#include "httplib.h"
#include "jujube/entry/runner_protocol.h"

namespace jujube::entry {
namespace {

using routing::AttemptOutcome;

constexpr Duration ConnectTimeout = Duration::millis(500);
constexpr Duration InquiryTimeout = Duration::seconds(2);
// A connection that was idle for longer is replaced. Must be shorter than the
// idle timeout of the runners, so that no request is sent on a connection that
// the runner has closed.
constexpr Duration IdleTimeout = Duration::seconds(3);
// Network allowance beyond the timeout that is sent to the runner.
constexpr Duration AnswerTimeoutMargin = Duration::millis(100);
constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20;

std::chrono::milliseconds asChrono(Duration span) {
  return std::chrono::milliseconds(span.millis());
}

AttemptOutcome outcomeOf(RunState state) {
  switch (state) {
  case RunState::Answered:
    return AttemptOutcome::Answered;
  case RunState::Failed:
    return AttemptOutcome::Failed;
  case RunState::Refused:
    return AttemptOutcome::Refused;
  case RunState::Running:
  case RunState::Forgotten:
    break;
  }
  return AttemptOutcome::Unknown;
}

} // namespace

struct RunnerConnection::HttpResult {
  // NotSent, Unknown, or Answered with status and body.
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  int Status = 0;
  std::string Body;
};

RunnerConnection::RunnerConnection(Clock clock)
    : TimeSource(std::move(clock)) {}
RunnerConnection::~RunnerConnection() = default;

void RunnerConnection::connectTo(const Address &to) {
  const bool isReusable = Client != nullptr && Peer == to &&
                          TimeSource.now() - LastUse < IdleTimeout;
  if (isReusable)
    return;
  Peer = to;
  Client = std::make_unique<httplib::Client>(to.Ip, to.Port);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  Client->set_follow_location(false);
  Client->set_connection_timeout(asChrono(ConnectTimeout));
}

RunnerConnection::HttpResult RunnerConnection::post(const Address &to,
                                                    const std::string &path,
                                                    std::string body,
                                                    Duration timeout) {
  connectTo(to);
  Client->set_read_timeout(asChrono(timeout));
  Client->set_write_timeout(asChrono(timeout));
  HttpResult reply;
  const Instant end = TimeSource.now() + timeout;
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.body = std::move(body);
  request.set_header("Content-Type", "application/json");
  // The read timeout of the library applies to each read; this limits the total
  // time and the size of the answer.
  request.content_receiver = [&](const char *data, std::size_t n, uint64_t,
                                 uint64_t) {
    reply.Body.append(data, n);
    return reply.Body.size() <= MaxAnswerBytes && TimeSource.now() < end;
  };
  httplib::Response response;
  auto error = httplib::Error::Success;
  const bool isWhole = Client->send(request, response, error);
  LastUse = TimeSource.now();
  if (isWhole) {
    reply.Outcome = AttemptOutcome::Answered;
    reply.Status = response.status;
    return reply;
  }
  Client.reset();
  const bool wasSent = error != httplib::Error::Connection &&
                       error != httplib::Error::ConnectionTimeout;
  reply.Outcome = wasSent ? AttemptOutcome::Unknown : AttemptOutcome::NotSent;
  reply.Body = httplib::to_string(error);
  return reply;
}

RunnerOutcome RunnerConnection::perform(const LinkCommand &command) {
  if (const auto *request = std::get_if<SendRequest>(&command))
    return run(*request);
  return inquire(std::get<SendInquiry>(command));
}

RunnerOutcome RunnerConnection::run(const SendRequest &request) {
  const routing::Dispatch &it = request.Dispatch;
  RunnerOutcome outcome{it.Request, it.Runner, it.Attempt};
  if (TimeSource.now() >= it.SendBefore) {
    outcome.Outcome = AttemptOutcome::NotSent;
    outcome.Body = "the credit ran out before it was sent";
    return outcome;
  }
  HttpResult reply =
      post(it.Http, std::string(RunPath),
           encodeRunnerBody(RunCall{it.Runner, it.Start, it.Request, it.Attempt,
                                    request.Entry, request.Team,
                                    *request.Payload, it.Timeout}),
           it.Timeout + AnswerTimeoutMargin);
  outcome.Outcome = reply.Outcome;
  outcome.Body = std::move(reply.Body);
  if (reply.Outcome != AttemptOutcome::Answered)
    return outcome;
  Result<RunAnswer> answer = decodeRunnerBody<RunAnswer>(outcome.Body);
  if (!isOk(answer) || valueOf(answer).Request != it.Request ||
      valueOf(answer).Attempt != it.Attempt) {
    outcome.Outcome = AttemptOutcome::Unknown;
    outcome.Body =
        isOk(answer) ? "an answer to another request" : errorOf(answer).Message;
    Client.reset();
    return outcome;
  }
  outcome.Body = std::move(valueOf(answer).Body);
  outcome.Outcome = reply.Status == RanStatus       ? AttemptOutcome::Answered
                    : reply.Status == FailedStatus  ? AttemptOutcome::Failed
                    : reply.Status == RefusedStatus ? AttemptOutcome::Refused
                                                    : AttemptOutcome::Unknown;
  return outcome;
}

RunnerOutcome RunnerConnection::inquire(const SendInquiry &inquiry) {
  const routing::Inquire &it = inquiry.Inquiry;
  RunnerOutcome outcome{it.Request, it.Runner, it.Attempt};
  outcome.IsInquiry = true;
  const HttpResult reply =
      post(it.Http, std::string(InquirePath),
           encodeRunnerBody(
               InquiryCall{it.Runner, it.Start, it.Request, it.Attempt}),
           InquiryTimeout);
  if (reply.Outcome != AttemptOutcome::Answered || reply.Status != RanStatus)
    return outcome;
  Result<InquiryAnswer> answer = decodeRunnerBody<InquiryAnswer>(reply.Body);
  if (!isOk(answer) || valueOf(answer).Request != it.Request ||
      valueOf(answer).Attempt != it.Attempt)
    return outcome;
  outcome.Outcome = outcomeOf(valueOf(answer).State);
  outcome.Body = std::move(valueOf(answer).Body);
  return outcome;
}

} // namespace jujube::entry
