#include "jujube/logging/line.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_replace.h"
#include "absl/synchronization/mutex.h"
#include "glog/logging.h"

namespace jujube::logging {
namespace {

struct SinkHolder {
  absl::Mutex Mutex;
  std::shared_ptr<const Sink> CurrentSink ABSL_GUARDED_BY(Mutex);
};

// Never destroyed: threads may log until the process ends.
SinkHolder &sinkHolder() {
  static auto *holder = new SinkHolder();
  return *holder;
}

void writeToGlog(const Record &record) {
  const auto severity = record.Severity == Level::Info ? google::GLOG_INFO
                        : record.Severity == Level::Warning
                            ? google::GLOG_WARNING
                            : google::GLOG_ERROR;
  google::LogMessage(__FILE__, __LINE__, severity).stream()
      << "event=" << nameIn(EventNames, record.What) << record.Pairs;
}

bool isPlain(absl::string_view value) {
  return !value.empty() && std::ranges::all_of(value, [](char c) {
    return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '"' &&
           c != '=' && c != '\\';
  });
}

} // namespace

void setSink(Sink sink) {
  auto newSink = sink ? std::make_shared<const Sink>(std::move(sink)) : nullptr;
  SinkHolder &holder = sinkHolder();
  absl::MutexLock lock(&holder.Mutex);
  holder.CurrentSink = std::move(newSink);
}

std::string quoted(absl::string_view value) {
  if (isPlain(value))
    return std::string(value);
  // Utf8SafeCEscape also escapes single quotes, which is not needed here.
  const std::string escaped =
      absl::StrReplaceAll(absl::Utf8SafeCEscape(value), {{"\\'", "'"}});
  return absl::StrCat("\"", escaped, "\"");
}

Line &Line::with(absl::string_view key, absl::string_view value) {
  absl::StrAppend(&Content.Pairs, " ", key, "=", quoted(value));
  return *this;
}

Line::~Line() {
  std::shared_ptr<const Sink> sink;
  {
    SinkHolder &holder = sinkHolder();
    absl::ReaderMutexLock lock(&holder.Mutex);
    sink = holder.CurrentSink;
  }
  if (sink)
    (*sink)(std::move(Content));
  else
    writeToGlog(Content);
}

} // namespace jujube::logging
