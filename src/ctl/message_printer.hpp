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

/**
 * Prints the error of a call and the next step for the operator; returns the
 * exit code.
 */
exit_code report_rpc_error(const rpc_error& error);

/** Prints the errors of a file on standard error; returns the exit code. */
exit_code report_file_errors(const settings_errors& errors);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MESSAGE_PRINTER_HPP
