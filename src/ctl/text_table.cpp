#include "text_table.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t column_gap = 2;

std::vector<std::size_t>
widths_of(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto& row : rows) {
        for (std::size_t column = 0; column < widths.size(); ++column)
            widths[column] = std::max(widths[column], row.at(column).size());
    }
    return widths;
}

} // namespace

text_table::text_table(std::vector<std::string> headings)
    : rows_{std::move(headings)}
{
}

void text_table::add(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    rows_.push_back(std::move(cells));
}

void text_table::write(std::ostream& stream) const
{
    const auto widths = widths_of(rows_);
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column) {
            auto cell = row[column];
            cell.resize(widths[column] + column_gap, ' ');
            line += cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        stream << line << '\n';
    }
}

} // namespace cyclamenrun
