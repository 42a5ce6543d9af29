#pragma once

#include "command_parser.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamen {

/// A cell of a result table.
using table_cell = std::variant<std::string, std::int64_t, double>;

/// The table that a `show` command filters, sorts and prints.  Owned by the command executor
/// while it executes the command.
class result_table {
public:
    explicit result_table(std::vector<std::string> columns) : columns_(std::move(columns)) {}

    /// Adds a row, which must have one cell per column.
    void add(std::vector<table_cell> row) { rows_.push_back(std::move(row)); }

    /// Applies the query's conditions, sort order and limit.  Returns false if the query names an
    /// unknown column; `reason` then lists the existing ones.
    bool apply(const show_query& query, std::string& reason);

    /// Formats a header line and one line per row, in aligned columns.
    std::string text() const;
    /// Formats an array with one object per row.
    std::string json() const;
    std::size_t row_count() const { return rows_.size(); }

private:
    /// Index of a column.
    std::optional<std::size_t> column(const std::string& name, std::string& reason) const;

    std::vector<std::string> columns_;
    std::vector<std::vector<table_cell>> rows_;
};

} // namespace cyclamen
