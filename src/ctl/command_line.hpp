#ifndef CYCLAMENRUN_COMMAND_LINE_HPP
#define CYCLAMENRUN_COMMAND_LINE_HPP

#include "exit_code.hpp"

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Parses the command line and runs the selected command. */
class command_line
{
public:
    command_line();

    /** Returns exit_code::usage if the command line has errors. */
    exit_code run(int argument_count, const char* const* arguments);

private:
    void add_connection_options();
    void add_change_commands();
    void add_query_commands();
    void add_key_command();
    void add_explain_command();
    exit_code run_selected();
    /** Runs `command` with the options for calls to an entry. */
    template <typename Command>
    exit_code run_with_entry(Command command) const;

    CLI::App app_;
    std::string entry_ = "127.0.0.1:8081";
    std::string key_file_;
    std::uint64_t timeout_s_ = 30;
    bool json_ = false;
    bool wait_ = false;
    std::string file_;
    std::string kind_;
    /** Name of a resource or an upstream, id of a change or a request. */
    std::string name_;
    std::vector<std::string> log_files_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_COMMAND_LINE_HPP
