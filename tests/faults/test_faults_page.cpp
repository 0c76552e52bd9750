#include "fault_world.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace cyclamenrun::faults
{
namespace
{

const std::string begin_mark = "<!-- tables: written by the matrix -->\n";
const std::string end_mark = "<!-- end of tables -->\n";

std::string page_path()
{
    return std::string(CYCLAMENRUN_SOURCE_DIR) + "/docs/FAULTS.md";
}

std::string read_page()
{
    std::ifstream file(page_path());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** The last outcome that the caller observed. */
std::string outcome_of(const history& observed)
{
    std::string outcome = "nothing";
    for (const auto& each : observed.events) {
        switch (each.kind) {
        case event_kind::end_received:
        case event_kind::answer_received:
            outcome = "answer";
            break;
        case event_kind::refused:
            outcome = std::string(name_of(each.refused)) + " " +
                      std::string(name_of(each.reason));
            break;
        case event_kind::caller_disconnected:
            outcome = "left";
            break;
        default:
            break;
        }
    }
    return outcome;
}

std::string cell_text(work_shape shape, step at, fault what)
{
    fault_world world(shape);
    world.schedule_faults(at, {{what, {}}});
    const auto& observed = world.run();
    return violations_of(observed).empty() ? outcome_of(observed) : "VIOLATED";
}

std::string table_of(std::size_t index)
{
    const auto shape = static_cast<work_shape>(index);
    std::string table =
        "### " + std::string(shape_names.at(index)) + "\n\n| fault |";
    std::string rule = "|---|";
    for (const auto& at : step_table) {
        if (!has_step(shape, at.at))
            continue;
        table += " " + std::string(at.name) + " |";
        rule += "---|";
    }
    table += "\n" + rule + "\n";
    for (const auto& what : fault_table) {
        table += "| " + std::string(what.name) + " |";
        for (const auto& at : step_table) {
            if (has_step(shape, at.at))
                table += " " + cell_text(shape, at.at, what.what) + " |";
        }
        table += "\n";
    }
    return table + "\n";
}

std::string tables()
{
    std::string all;
    for (std::size_t shape = 0; shape < shape_names.size(); ++shape)
        all += table_of(shape);
    return all;
}

/**
 * Guards against documentation of faults that differs from the system's
 * behaviour: the tables tell operators what callers observe and must equal the
 * results of the matrix, cell by cell. `make docs` rewrites them.
 */
TEST(faults_page, tables_match_the_matrix)
{
    auto page = read_page();
    const auto begin = page.find(begin_mark);
    const auto end = page.find(end_mark);
    ASSERT_NE(begin, std::string::npos);
    ASSERT_NE(end, std::string::npos);
    const auto from = begin + begin_mark.size();
    const auto documented = page.substr(from, end - from);
    const auto generated = "\n" + tables();
    if (std::getenv("CYCLAMENRUN_WRITE_DOCS") != nullptr)
        std::ofstream(page_path())
            << page.replace(from, documented.size(), generated);
    else
        EXPECT_EQ(documented, generated);
}

} // namespace
} // namespace cyclamenrun::faults
