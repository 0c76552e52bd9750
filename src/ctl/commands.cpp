#include "commands.hpp"

#include "change_command.hpp"
#include "ctl_options.hpp"
#include "message_printer.hpp"
#include "resource_file.hpp"
#include "resource_printer.hpp"
#include "revision_printer.hpp"
#include "settings_file.hpp"
#include "team_authenticator.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <iostream>

namespace cyclamenrun
{

namespace
{

constexpr unsigned indentation = 2;

exit_code wait_if(bool wait, const change_command& command)
{
    return wait ? command.wait_in_force() : exit_code::ok;
}

void print_indented(const std::string& json)
{
    try {
        const auto value = Poco::JSON::Parser().parse(json);
        Poco::JSON::Stringifier::stringify(value, std::cout, indentation);
        std::cout << '\n';
    } catch (const Poco::Exception&) {
        std::cout << json << '\n';
    }
}

void print_outcome(const v1::FindChangeResponse& response)
{
    const auto& outcome = response.outcome();
    if (outcome.accepted())
        std::cout << "accepted as revision " << outcome.revision() << '\n';
    else if (outcome.result() == v1::CHANGE_RESULT_INVALID)
        std::cout << "not accepted: the change is invalid\n";
    else
        std::cout << "not accepted: revision " << outcome.revision()
                  << " came first\n";
}

} // namespace

exit_code run_apply(const ctl_options& options, const std::string& file,
                    bool wait)
{
    const auto resources =
        read_settings_file(file).and_then([&](const std::string& text) {
            return parse_resource_file(text, file);
        });
    if (!resources)
        return report_file_errors(resources.error());
    change_command command(options);
    for (const auto& resource : *resources) {
        const auto code = command.put(resource);
        if (code != exit_code::ok)
            return code;
    }
    return wait_if(wait, command);
}

exit_code run_delete(const ctl_options& options, v1::ResourceKind kind,
                     const std::string& name, bool wait)
{
    change_command command(options);
    const auto code = command.remove(kind, name);
    return code == exit_code::ok ? wait_if(wait, command) : code;
}

exit_code run_show(const ctl_options& options, v1::ResourceKind kind)
{
    const auto response = operator_client(options).list_resources(kind, false);
    if (!response)
        return report_rpc_error(response.error());
    if (options.json)
        print_json(*response);
    else
        print_resources(kind, *response);
    return exit_code::ok;
}

exit_code run_find_change(const ctl_options& options,
                          const std::string& change_id)
{
    const auto response = operator_client(options).find_change(change_id);
    if (!response)
        return report_rpc_error(response.error());
    if (options.json)
        print_json(*response);
    if (!response->found()) {
        std::cerr << "error: no change " << change_id << " as of revision "
                  << response->revision()
                  << "\nIf it was sent recently, repeat the query; otherwise "
                     "apply it again.\n";
        return exit_code::not_found;
    }
    if (!options.json)
        print_outcome(*response);
    return exit_code::ok;
}

exit_code run_drain(const ctl_options& options, const std::string& upstream)
{
    const auto response = operator_client(options).drain_upstream(upstream);
    if (!response)
        return report_rpc_error(response.error());
    if (options.json)
        print_json(*response);
    else
        std::cout << upstream << ": draining, " << response->running()
                  << " requests still running; it gets no new work\n";
    return exit_code::ok;
}

exit_code run_dump(const ctl_options& options, const std::string& upstream)
{
    const auto response = operator_client(options).dump_state(upstream);
    if (!response)
        return report_rpc_error(response.error());
    if (options.json)
        std::cout << response->json() << '\n';
    else
        print_indented(response->json());
    return exit_code::ok;
}

exit_code run_revisions(const ctl_options& options)
{
    const auto response = operator_client(options).list_revisions();
    if (!response)
        return report_rpc_error(response.error());
    if (options.json)
        print_json(*response);
    else
        print_revisions(*response, std::cout);
    return exit_code::ok;
}

exit_code run_new_key(const std::string& team)
{
    const auto key = team.empty() ? make_key() : make_team_key(team);
    const auto hash = to_string(make_key_hash(key));
    std::cout << "# The key, shown this once: hand it over and keep no copy.\n"
              << "key: " << key.reveal() << '\n';
    if (team.empty())
        std::cout << "# For the settings of every entry:\n"
                  << "operator_keys = [\"" << hash << "\"]\n";
    else
        std::cout << "# For the file given to `cyclamenrunctl apply`:\n"
                  << "[[team]]\nname = \"" << team << "\"\nkey_hash = \""
                  << hash << "\"\n";
    return exit_code::ok;
}

} // namespace cyclamenrun
