// Commands that read log files; they need no server.
#include <fstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/ctl/commands.h"
#include "jujube/ctl/explanation.h"

namespace jujube::ctl {
namespace {

Result<std::vector<logging::ParsedLine>>
readLogs(Arguments::const_iterator begin, Arguments::const_iterator end) {
  std::vector<logging::ParsedLine> all;
  for (auto path = begin; path != end; ++path) {
    std::ifstream file(*path);
    if (!file)
      return Error{ErrorKind::InvalidArgument,
                   absl::StrCat("can't read the log '", *path, "'"),
                   "give files that this user may read"};
    for (std::string text; std::getline(file, text);)
      if (auto line = logging::parseLine(text))
        all.push_back(std::move(*line));
  }
  return all;
}

} // namespace

Result<Verdict> explain(Session &session, const Arguments &args) {
  const auto all = readLogs(args.begin() + 1, args.end());
  if (!isOk(all))
    return errorOf(all);
  const std::string &request = args.front();
  const auto lines = linesAbout(request, valueOf(all));
  if (lines.empty())
    return Error{ErrorKind::NotFound,
                 absl::StrCat("no line of these logs names ", request),
                 "check the id, and give the logs of all hosts"};
  session.Print(explanationText(request, lines));
  return Verdict::Done;
}

Result<Verdict> showLateness(Session &session, const Arguments &args) {
  const auto all = readLogs(args.begin(), args.end());
  if (!isOk(all))
    return errorOf(all);
  session.Print(latenessText(valueOf(all)));
  return Verdict::Done;
}

} // namespace jujube::ctl
