#include "jujube/ctl/table.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace jujube::ctl {
namespace {

constexpr double MilliPerCore = 1000;
constexpr std::size_t ColumnGap = 2;

} // namespace

std::string Table::text() const {
  std::vector<std::size_t> widths;
  for (const auto &row : Rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto &row : Rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      absl::StrAppend(&line, row[i],
                      std::string(widths[i] - row[i].size() + ColumnGap, ' '));
    absl::StripTrailingAsciiWhitespace(&line);
    absl::StrAppend(&text, line, "\n");
  }
  return text;
}

std::string resourcesText(const Resources &amounts) {
  std::string text = absl::StrFormat(
      "%g cores, %d MB", amounts.MilliCpu / MilliPerCore, amounts.MemoryMb);
  if (amounts.Accelerators != 0)
    absl::StrAppend(&text, ", ", amounts.Accelerators, " accelerators");
  return text;
}

} // namespace jujube::ctl
