// Tables that map enumerators to names. Each enum class has one constexpr
// table, which logs, JSON, flags and metrics share.
#ifndef JUJUBE_BASE_NAME_TABLE_H_
#define JUJUBE_BASE_NAME_TABLE_H_

#include "absl/strings/string_view.h"
#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace jujube {

// An enumerator and its name.
template <typename Enum> struct NameRow {
  Enum Value;
  absl::string_view Name;
};

template <typename Enum, std::size_t N>
using NameTable = std::array<NameRow<Enum>, N>;

// Returns the name of `value`, or "unknown" if the table has no row for it.
template <typename Enum, std::size_t N>
constexpr absl::string_view nameIn(const NameTable<Enum, N> &table,
                                   Enum value) {
  const auto it =
      std::find_if(table.begin(), table.end(),
                   [value](const auto &row) { return row.Value == value; });
  return it == table.end() ? absl::string_view("unknown") : it->Name;
}

// Returns the enumerator with the name `name`, or nullopt if there is none.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> valueIn(const NameTable<Enum, N> &table,
                                      absl::string_view name) {
  const auto it =
      std::find_if(table.begin(), table.end(),
                   [name](const auto &row) { return row.Name == name; });
  return it == table.end() ? std::nullopt : std::optional<Enum>(it->Value);
}

// Returns all names of the table, separated by ", ", for error messages.
template <typename Enum, std::size_t N>
std::string namesIn(const NameTable<Enum, N> &table) {
  std::string all;
  for (const auto &row : table)
    all.append(all.empty() ? "" : ", ")
        .append(row.Name.data(), row.Name.size());
  return all;
}

// Returns true if row i holds enumerator i and all names are nonempty and
// unique, so that the table covers the enumerators 0 to N-1.
template <typename Enum, std::size_t N>
constexpr bool isComplete(const NameTable<Enum, N> &table) {
  for (std::size_t i = 0; i < N; ++i) {
    if (static_cast<std::size_t>(table[i].Value) != i || table[i].Name.empty())
      return false;
    if (valueIn(table, table[i].Name) != table[i].Value)
      return false;
  }
  return true;
}

} // namespace jujube

#endif // JUJUBE_BASE_NAME_TABLE_H_
