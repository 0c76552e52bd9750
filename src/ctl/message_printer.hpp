#ifndef CYCLAMENRUN_MESSAGE_PRINTER_HPP
#define CYCLAMENRUN_MESSAGE_PRINTER_HPP

#include "exit_code.hpp"
#include "rpc_error.hpp"
#include "settings_error.hpp"

#include <google/protobuf/message.h>

namespace cyclamenrun
{

/** Writes a response as JSON on standard output. */
void print_json(const google::protobuf::Message& message);

/** Tells of a failed call and what to do next; the code to end with. */
exit_code report_rpc_error(const rpc_error& error);

exit_code report_file_errors(const settings_errors& errors);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MESSAGE_PRINTER_HPP
