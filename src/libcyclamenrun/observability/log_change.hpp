#ifndef CYCLAMENRUN_LOG_CHANGE_HPP
#define CYCLAMENRUN_LOG_CHANGE_HPP

#include "operator.pb.h"
#include "refusal.hpp"

namespace cyclamenrun
{

/** Logs the outcome of an operator's change. */
void log_change(const v1::ChangeRecord& change,
                const outcome<v1::ApplyChangeResponse>& response);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_CHANGE_HPP
