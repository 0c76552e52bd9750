#ifndef CYCLAMENRUN_ENDED_RUN_HPP
#define CYCLAMENRUN_ENDED_RUN_HPP

#include "request_facts.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** How it is known that a run does not go on where it was. */
enum class run_end : std::uint8_t {
    process_gone, ///< the upstream has crashed, or its host can't be reached
    stopped,      ///< the upstream has confirmed an order to stop
    not_running,  ///< the upstream neither knows the run nor lists it
};

std::string_view name_of(run_end how);

/**
 * A run that has ended at its upstream. Resuming a backup takes this as an
 * argument, since a run whose connection is lost may still go on.
 */
struct ended_run {
    run_end how;
    /** Set if the run's memory was kept when it was stopped. */
    std::optional<continuation> memory = {};
    /** The upstream that can continue from `memory`. */
    std::optional<upstream_record> holder = {};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENDED_RUN_HPP
