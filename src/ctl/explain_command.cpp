#include "commands.hpp"
#include "request_timeline.hpp"

#include <fstream>
#include <iostream>

namespace cyclamenrun
{

namespace
{

void add_lines(request_timeline& timeline, std::istream& from)
{
    for (std::string line; std::getline(from, line);)
        timeline.add_line(line);
}

} // namespace

exit_code run_explain(const std::string& request_id,
                      const std::vector<std::string>& files)
{
    request_timeline timeline(request_id);
    for (const auto& file : files) {
        std::ifstream from(file);
        if (!from) {
            std::cerr << "error: " << file << " cannot be read\n";
            return exit_code::usage;
        }
        add_lines(timeline, from);
    }
    if (files.empty())
        add_lines(timeline, std::cin);
    if (timeline.empty()) {
        std::cerr << "error: no line has the request id " << request_id
                  << "; lines of successful requests are dropped when the log "
                     "is over its budget, see log_lines_dropped\n";
        return exit_code::not_found;
    }
    timeline.print(std::cout);
    return exit_code::ok;
}

} // namespace cyclamenrun
