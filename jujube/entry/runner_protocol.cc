#include "jujube/entry/runner_protocol.h"

#include "jujube/http/fields.h"

namespace jujube::entry {
namespace {

using http::internal::Json;

template <typename V> void fields(V &v, RunCall &x) {
  v.required("runner", x.Runner);
  v.required("start", x.Start);
  v.required("request", x.Request);
  v.required("attempt", x.Attempt);
  v.required("entry", x.Entry);
  v.optional("team", x.Team);
  v.bytes("payload", x.Payload);
  v.required("timeout_ms", x.Timeout);
}

template <typename V> void fields(V &v, RunAnswer &x) {
  v.required("request", x.Request);
  v.required("attempt", x.Attempt);
  v.bytes("body", x.Body);
}

template <typename V> void fields(V &v, InquiryCall &x) {
  v.required("runner", x.Runner);
  v.required("start", x.Start);
  v.required("request", x.Request);
  v.required("attempt", x.Attempt);
}

template <typename V> void fields(V &v, InquiryAnswer &x) {
  v.required("request", x.Request);
  v.required("attempt", x.Attempt);
  v.named("state", RunStateNames, x.State, true);
  v.bytes("body", x.Body);
}

// Wraps a message in a type of this namespace, so that the readers and writers
// of http find its fields() by argument-dependent lookup.
template <typename T> struct Described { T Value; };
template <typename V, typename T> void fields(V &v, Described<T> &x) {
  fields(v, x.Value);
}

} // namespace

template <typename T> Result<T> decodeRunnerBody(absl::string_view body) {
  Result<Json> json = http::internal::parseText(body);
  if (!isOk(json))
    return errorOf(json);
  Described<T> described;
  if (Status status = http::internal::readValue(valueOf(json), {}, described);
      !isOk(status))
    return errorOf(status);
  return std::move(described.Value);
}

template <typename T> std::string encodeRunnerBody(const T &value) {
  return http::internal::writeValue(Described<T>{value})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

#define JUJUBE_RUNNER_BODY(TYPE)                                               \
  template Result<TYPE> decodeRunnerBody<TYPE>(absl::string_view);             \
  template std::string encodeRunnerBody<TYPE>(const TYPE &);

JUJUBE_RUNNER_BODY(RunCall)
JUJUBE_RUNNER_BODY(RunAnswer)
JUJUBE_RUNNER_BODY(InquiryCall)
JUJUBE_RUNNER_BODY(InquiryAnswer)

#undef JUJUBE_RUNNER_BODY

} // namespace jujube::entry
