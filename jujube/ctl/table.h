// Text tables for a terminal.
#ifndef JUJUBE_CTL_TABLE_H_
#define JUJUBE_CTL_TABLE_H_

#include <string>
#include <vector>

#include "jujube/base/resources.h"

namespace jujube::ctl {

// A header row and data rows; each column is as wide as its widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> header) { add(std::move(header)); }
  void add(std::vector<std::string> row) { Rows.push_back(std::move(row)); }
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

// Formats amounts for display, for example "1.5 cores, 512 MB, 1 accelerator".
std::string resourcesText(const Resources &amounts);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_TABLE_H_
