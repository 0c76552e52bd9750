#ifndef CYCLAMENRUN_OPERATOR_COMMANDS_HPP
#define CYCLAMENRUN_OPERATOR_COMMANDS_HPP

#include "change_submitter.hpp"
#include "clock.hpp"
#include "operator.pb.h"
#include "refusal.hpp"

#include <atomic>

namespace cyclamenrun
{

class configuration_store;
class platform_log;

/** Operators' commands on the configuration, independent of HTTP. */
class operator_commands
{
public:
    operator_commands(platform_log& log, configuration_store& store,
                      clock_function clock, submit_settings settings = {});

    /**
     * Submits a change and blocks until its outcome is known, or until
     * `deadline`. A refusal applies to this call alone; FindChange returns the
     * outcome of an earlier call with the same change id.
     */
    outcome<v1::ApplyChangeResponse>
    apply_change(const v1::ApplyChangeRequest& request, time_point deadline);

    /** Maximum number of concurrent apply_change() calls. */
    static constexpr int max_concurrent_changes = 64;

private:
    outcome<v1::ApplyChangeResponse>
    submit(const v1::ApplyChangeRequest& request, time_point deadline);

    platform_log& log_;
    configuration_store& store_;
    clock_function clock_;
    submit_settings settings_;
    std::atomic<int> changes_in_progress_{0};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OPERATOR_COMMANDS_HPP
