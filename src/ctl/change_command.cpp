#include "change_command.hpp"

#include "digest.hpp"
#include "hex.hpp"
#include "message_printer.hpp"
#include "resource_file.hpp"
#include "resource_printer.hpp"
#include "revision_printer.hpp"

#include <google/protobuf/util/message_differencer.h>
#include <iostream>
#include <thread>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t change_id_bytes = 12;
constexpr milliseconds poll_interval{200};

std::string make_change_id()
{
    return "ctl-" + to_hex(random_bytes(change_id_bytes));
}

bool all_reached(const v1::ListRevisionsResponse& response,
                 std::uint64_t revision)
{
    for (const auto& process : response.processes()) {
        if (process.revision() < revision)
            return false;
    }
    return true;
}

} // namespace

change_command::change_command(const ctl_options& options)
    : client_(options), json_(options.json)
{
}

exit_code change_command::put(const v1::Resource& resource)
{
    const auto kind = resource_kind(resource);
    const auto current = find(kind, resource_name(resource));
    if (!current)
        return report_rpc_error(current.error());
    using google::protobuf::util::MessageDifferencer;
    if (*current && (*current)->has_resource() &&
        MessageDifferencer::Equals((*current)->resource(), resource)) {
        if (!json_)
            std::cout << describe(kind, resource_name(resource))
                      << ": unchanged\n";
        newest_revision_ = std::max(newest_revision_, (*current)->revision());
        return exit_code::ok;
    }
    v1::ChangeRecord record;
    record.set_base_revision(*current ? (*current)->revision() : 0);
    record.set_kind(kind);
    record.set_name(resource_name(resource));
    *record.mutable_resource() = resource;
    return change(std::move(record));
}

exit_code change_command::remove(v1::ResourceKind kind, const std::string& name)
{
    const auto current = find(kind, name);
    if (!current)
        return report_rpc_error(current.error());
    if (!*current || !(*current)->has_resource()) {
        std::cerr << "error: there is no " << describe(kind, name)
                  << "\n`cyclamenrunctl show` lists the existing resources.\n";
        return exit_code::not_found;
    }
    v1::ChangeRecord record;
    record.set_base_revision((*current)->revision());
    record.set_kind(kind);
    record.set_name(name);
    return change(std::move(record));
}

exit_code change_command::wait_in_force() const
{
    for (;;) {
        const auto response = client_.list_revisions();
        if (!response)
            return report_rpc_error(response.error());
        if (all_reached(*response, newest_revision_)) {
            if (!json_)
                std::cout << "in force in " << response->processes_size()
                          << " processes\n";
            return exit_code::ok;
        }
        if (steady_now() + poll_interval >= client_.deadline()) {
            std::cerr << "error: revision " << newest_revision_
                      << " is accepted but not yet in force everywhere\n";
            print_revisions(*response, std::cerr);
            std::cerr
                << "The change stays accepted. Check the processes with "
                   "an older revision, or watch `cyclamenrunctl revisions`.\n";
            return exit_code::not_in_force;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

exit_code change_command::change(v1::ChangeRecord record)
{
    record.set_change_id(make_change_id());
    const auto answer = client_.apply_change(record);
    if (!answer) {
        std::cerr << describe(record.kind(), record.name()) << ":\n";
        return report_rpc_error(answer.error());
    }
    return report(record, *answer);
}

exit_code change_command::report(const v1::ChangeRecord& record,
                                 const v1::ApplyChangeResponse& response)
{
    const auto what = describe(record.kind(), record.name());
    if (json_)
        print_json(response);
    if (response.has_accepted()) {
        const auto revision = response.accepted().revision();
        newest_revision_ = std::max(newest_revision_, revision);
        if (!json_)
            std::cout << what << ": accepted as revision " << revision << '\n';
        return exit_code::ok;
    }
    if (response.has_conflict())
        return report_conflict(record, response.conflict());
    if (response.has_invalid()) {
        std::cerr << "error: " << what << " is invalid\n";
        for (const auto& error : response.invalid().errors())
            std::cerr << "  " << error.field() << ": " << error.problem()
                      << '\n';
        std::cerr << "Nothing was changed; correct it and try again.\n";
        return exit_code::invalid;
    }
    std::cerr << "error: " << what << ": it is not known whether the change "
              << record.change_id() << " will come into force\nQuery it with "
              << "`cyclamenrunctl find-change " << record.change_id()
              << "` once the platform's log answers again.\n";
    return exit_code::uncertain;
}

exit_code change_command::report_conflict(const v1::ChangeRecord& record,
                                          const v1::Conflict& conflict) const
{
    std::cerr << "error: " << describe(record.kind(), record.name())
              << ": another change came first, revision "
              << conflict.current_revision() << '\n'
              << "In force is: "
              << (conflict.has_winner() ? describe(conflict.winner())
                                        : "nothing, it was deleted")
              << "\nNothing was changed; review the resource in force, then "
                 "apply your change again if it is still needed.\n";
    return exit_code::conflict;
}

rpc_outcome<std::optional<v1::ResourceState>>
change_command::find(v1::ResourceKind kind, const std::string& name)
{
    if (!listed_.contains(kind)) {
        auto response = client_.list_resources(kind, true);
        if (!response)
            return tl::unexpected(response.error());
        listed_.emplace(kind, std::move(*response));
    }
    for (const auto& state : listed_.at(kind).resources()) {
        if (state.name() == name)
            return std::optional(state);
    }
    return std::optional<v1::ResourceState>();
}

} // namespace cyclamenrun
