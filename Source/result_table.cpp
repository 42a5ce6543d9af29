#include "result_table.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamen {

namespace {

std::string text_of(const table_cell& cell)
{
    if (const auto* text = std::get_if<std::string>(&cell)) {
        return *text;
    }
    if (const auto* number = std::get_if<std::int64_t>(&cell)) {
        return std::to_string(*number);
    }
    return fmt::format("{:.2f}", std::get<double>(cell));
}

std::optional<double> number_of(const table_cell& cell)
{
    if (const auto* number = std::get_if<std::int64_t>(&cell)) {
        return static_cast<double>(*number);
    }
    if (const auto* number = std::get_if<double>(&cell)) {
        return *number;
    }
    return std::nullopt;
}

template <typename Value>
bool compare(comparison relation, const Value& left, const Value& right)
{
    switch (relation) {
    case comparison::equal:
        return left == right;
    case comparison::not_equal:
        return left != right;
    case comparison::below:
        return left < right;
    case comparison::above:
        return left > right;
    case comparison::at_most:
        return left <= right;
    case comparison::at_least:
        return left >= right;
    }
    return false;
}

// Compares numbers as numbers and texts as texts.  A numeric cell never matches a value that is not
// a number; an empty value counts as 0.
bool matches(const table_cell& cell, const show_condition& condition)
{
    const auto number = number_of(cell);
    if (!number) {
        return compare(condition.relation, text_of(cell), condition.value);
    }
    char* end = nullptr;
    const double wanted = std::strtod(condition.value.c_str(), &end);
    return *end == '\0' && compare(condition.relation, *number, wanted);
}

} // namespace

std::optional<std::size_t> result_table::column(const std::string& name, std::string& reason) const
{
    const auto found = std::find(columns_.begin(), columns_.end(), name);
    if (found == columns_.end()) {
        reason =
            fmt::format("unknown column `{}`; the columns are {}", name, fmt::join(columns_, ", "));
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - columns_.begin());
}

bool result_table::apply(const show_query& query, std::string& reason)
{
    for (const show_condition& condition : query.conditions) {
        const auto at = column(condition.column, reason);
        if (!at) {
            return false;
        }
        std::erase_if(rows_, [&](const auto& row) { return !matches(row[*at], condition); });
    }
    if (!query.sort_column.empty()) {
        const auto at = column(query.sort_column, reason);
        if (!at) {
            return false;
        }
        std::stable_sort(rows_.begin(), rows_.end(), [&](const auto& left, const auto& right) {
            return query.descending ? right[*at] < left[*at] : left[*at] < right[*at];
        });
    }
    if (query.limit && rows_.size() > *query.limit) {
        rows_.resize(*query.limit);
    }
    return true;
}

std::string result_table::text() const
{
    std::vector<std::size_t> widths;
    for (std::size_t at = 0; at < columns_.size(); ++at) {
        std::size_t width = columns_[at].size();
        for (const auto& row : rows_) {
            width = std::max(width, text_of(row[at]).size());
        }
        widths.push_back(width);
    }
    const auto print = [&](auto&& cell_at) {
        std::string line;
        for (std::size_t at = 0; at < columns_.size(); ++at) {
            line += fmt::format("{:<{}}  ", cell_at(at), widths[at]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        return line + "\n";
    };
    std::string table = print([&](std::size_t at) { return columns_[at]; });
    for (const auto& row : rows_) {
        table += print([&](std::size_t at) { return text_of(row[at]); });
    }
    return table;
}

std::string result_table::json() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& row : rows_) {
        nlohmann::json object = nlohmann::json::object();
        for (std::size_t at = 0; at < columns_.size(); ++at) {
            std::visit([&](const auto& value) { object[columns_[at]] = value; }, row[at]);
        }
        list.push_back(object);
    }
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace cyclamen
