#include "message_printer.hpp"

#include <google/protobuf/util/json_util.h>
#include <iostream>

namespace cyclamenrun
{

namespace
{

struct advice {
    exit_code code;
    std::string_view next_step;
};

advice advice_for(const rpc_error& error)
{
    switch (error.code) {
    case rpc_code::unauthenticated:
    case rpc_code::permission_denied:
        return {exit_code::refused,
                "Give an operator's key by --key-file or "
                "CYCLAMENRUN_OPERATOR_KEY; its hash must be listed in the "
                "entry's operator_keys."};
    case rpc_code::unavailable:
        if (error.may_have_run)
            return {
                exit_code::uncertain,
                "The connection to the entry was lost during the call; query "
                "another entry for what is in force before you repeat it."};
        return {exit_code::unreachable,
                "Nothing was changed. Check --entry, the entry's readiness "
                "(GET /readyz) and the platform's log; then try again."};
    case rpc_code::deadline_exceeded:
        return {error.may_have_run ? exit_code::uncertain
                                   : exit_code::unreachable,
                "Try again, or use another entry; --timeout allows more time."};
    case rpc_code::not_found:
        return {exit_code::not_found,
                "Check the name: `cyclamenrunctl revisions` lists processes, "
                "`show` lists resources."};
    case rpc_code::resource_exhausted:
        return {exit_code::refused, "Wait a little and try again."};
    case rpc_code::invalid_argument:
        return {exit_code::invalid, "Correct the request."};
    case rpc_code::unimplemented:
        return {exit_code::failed,
                "The entry does not know this call: use its operator "
                "address, and a cyclamenrunctl no newer than the entry."};
    default:
        return {exit_code::failed,
                "See the entry's log for the line of this call."};
    }
}

} // namespace

void print_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    std::string text;
    if (google::protobuf::util::MessageToJsonString(message, &text, options)
            .ok())
        std::cout << text;
}

exit_code report_rpc_error(const rpc_error& error)
{
    const auto advised = advice_for(error);
    std::cerr << "error: " << name_of(error.code) << ": " << error.message
              << '\n'
              << advised.next_step << '\n';
    return advised.code;
}

exit_code report_file_errors(const settings_errors& errors)
{
    for (const auto& error : errors)
        std::cerr << "error: " << to_string(error) << '\n';
    std::cerr << "Nothing was sent; correct the file and try again.\n";
    return exit_code::settings;
}

} // namespace cyclamenrun
