#include "command_line.hpp"

#include "build_info.hpp"
#include "commands.hpp"
#include "ctl_options.hpp"
#include "message_printer.hpp"
#include "settings_file.hpp"

#include <cstdlib>
#include <iostream>

namespace cyclamenrun
{

namespace
{

constexpr const char* key_variable = "CYCLAMENRUN_OPERATOR_KEY";
constexpr const char* entry_variable = "CYCLAMENRUN_ENTRY";
constexpr std::uint64_t max_timeout_s = 3600;

std::string exit_codes_text()
{
    std::string text = "Exit codes:\n";
    for (const auto& row : exit_code_table())
        text += "  " + std::to_string(to_status(row.code)) + "  " +
                std::string(row.doc) + '\n';
    return text;
}

/** Converts the name of a kind, in singular or plural. */
v1::ResourceKind kind_of(const std::string& word)
{
    if (word.starts_with("service"))
        return v1::RESOURCE_KIND_SERVICE;
    if (word.starts_with("team"))
        return v1::RESOURCE_KIND_TEAM;
    return v1::RESOURCE_KIND_ASSIGNMENT;
}

/**
 * A validator for CLI11: returns the error in a resource's name, or an empty
 * string.
 */
std::string check_name(const std::string& name)
{
    constexpr std::size_t max_bytes = 63;
    constexpr const char* allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
    const bool is_valid = !name.empty() && name.size() <= max_bytes &&
                          name.find_first_not_of(allowed) == std::string::npos;
    return is_valid ? "" : "a name has 1 to 63 of a-z, 0-9 and '-'";
}

std::string without_line_end(std::string text)
{
    text.erase(text.find_last_not_of("\r\n") + 1);
    return text;
}

/**
 * Reads the operator's key from the file, or else from the environment. Command
 * line arguments never contain the key, since other users of the host can list
 * them.
 */
settings_outcome<secret> read_key(const std::string& key_file)
{
    if (!key_file.empty())
        return read_settings_file(key_file).map([](const std::string& text) {
            return secret(without_line_end(text));
        });
    const char* key = std::getenv(key_variable);
    return secret(key == nullptr ? "" : key);
}

} // namespace

command_line::command_line()
    : app_("Operates cyclamenrun: configuration, drain, state of processes.",
           "cyclamenrunctl")
{
    app_.set_version_flag("--version", version_text("cyclamenrunctl"));
    app_.footer(exit_codes_text());
    app_.require_subcommand(1);
    app_.fallthrough();
    add_connection_options();
    add_change_commands();
    add_query_commands();
    add_key_command();
    add_explain_command();
}

exit_code command_line::run(int argument_count, const char* const* arguments)
{
    try {
        app_.parse(argument_count, arguments);
    } catch (const CLI::ParseError& error) {
        const auto status = app_.exit(error);
        return status == 0 ? exit_code::ok : exit_code::usage;
    }
    return run_selected();
}

void command_line::add_connection_options()
{
    app_.add_option("--entry", entry_,
                    "IP:PORT of an entry's operator address; any entry will do")
        ->envname(entry_variable)
        ->capture_default_str();
    app_.add_option("--key-file", key_file_,
                    "file with the operator's key; else the variable "
                    "CYCLAMENRUN_OPERATOR_KEY");
    app_.add_option("--timeout", timeout_s_, "seconds for the whole command")
        ->check(CLI::Range(std::uint64_t{1}, max_timeout_s))
        ->capture_default_str();
    app_.add_flag("--json", json_, "print the response as JSON");
}

void command_line::add_change_commands()
{
    const auto kinds = CLI::IsMember({"service", "team", "assignment"});
    auto* apply = app_.add_subcommand(
        "apply",
        "create or update services, teams and assignments from a file");
    apply->add_option("FILE", file_, "TOML, see docs/settings.md")->required();
    apply->add_flag("--wait", wait_,
                    "wait until in force in every known process");
    auto* remove = app_.add_subcommand("delete", "delete one resource");
    remove->add_option("KIND", kind_)->required()->check(kinds);
    remove->add_option("NAME", name_)->required();
    remove->add_flag("--wait", wait_,
                     "wait until in force in every known process");
    auto* drain = app_.add_subcommand(
        "drain", "send no new work to an upstream and let running work finish");
    drain->add_option("UPSTREAM", name_)->required();
}

void command_line::add_query_commands()
{
    const auto kinds = CLI::IsMember({"services", "teams", "assignments"});
    auto* show = app_.add_subcommand("show", "list the resources in force");
    show->add_option("KIND", kind_)->required()->check(kinds);
    auto* find = app_.add_subcommand("find-change",
                                     "print the outcome of a change by its id");
    find->add_option("CHANGE-ID", name_)->required();
    app_.add_subcommand("revisions",
                        "list the revision in force in each process");
    auto* dump = app_.add_subcommand("dump", "print the state of a process");
    dump->add_option("--upstream", name_,
                     "dump this upstream's agent instead of the entry");
}

void command_line::add_key_command()
{
    auto* key = app_.add_subcommand("key", "make keys");
    key->require_subcommand(1);
    auto* team = key->add_subcommand("new", "make a key for a team");
    team->add_option("TEAM", name_)->required()->check(check_name);
    key->add_subcommand("new-operator", "make a key for operators");
}

void command_line::add_explain_command()
{
    auto* explain = app_.add_subcommand(
        "explain", "print the timeline of one request from the logs");
    explain->add_option("REQUEST-ID", name_)->required();
    explain->add_option(
        "FILE", log_files_,
        "log files of any processes; standard input if none is named");
}

exit_code command_line::run_selected()
{
    if (app_.got_subcommand("explain"))
        return run_explain(name_, log_files_);
    if (app_.got_subcommand("key"))
        return run_new_key(name_);
    return run_with_entry([this](const ctl_options& options) {
        const auto& selected = app_.get_subcommands().front()->get_name();
        if (selected == "apply")
            return run_apply(options, file_, wait_);
        if (selected == "delete")
            return run_delete(options, kind_of(kind_), name_, wait_);
        if (selected == "show")
            return run_show(options, kind_of(kind_));
        if (selected == "find-change")
            return run_find_change(options, name_);
        if (selected == "drain")
            return run_drain(options, name_);
        if (selected == "dump")
            return run_dump(options, name_);
        return run_revisions(options);
    });
}

template <typename Command>
exit_code command_line::run_with_entry(Command command) const
{
    const auto entry = parse_ip_endpoint(entry_);
    if (!entry) {
        std::cerr << "error: --entry " << entry_
                  << " is not an IP:PORT such as 127.0.0.1:8081\n";
        return exit_code::usage;
    }
    const auto key = read_key(key_file_);
    if (!key)
        return report_file_errors(key.error());
    return command(ctl_options{
        *entry, *key, json_, steady_now() + std::chrono::seconds(timeout_s_)});
}

} // namespace cyclamenrun
