#ifndef CYCLAMENRUN_CONFIGURATION_RECOVERY_HPP
#define CYCLAMENRUN_CONFIGURATION_RECOVERY_HPP

#include "clock.hpp"
#include "operator.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenrun
{

class configuration_store;
struct tail_status;

/**
 * Brings an entry up to what its peers have in force when the log can't:
 * it is out, or has lost records that this entry had not read. Agents are
 * peers too. An accepted change is then not lost with the entry that
 * accepted it, as long as one process that has it lives.
 */
class configuration_recovery
{
public:
    /** The peer's configuration_store::state(); empty: none or no answer. */
    using ask_function = std::function<std::string(const std::string& peer)>;

    configuration_recovery(configuration_store& store, ask_function ask);

    /**
     * Asks those of the peers that were last heard of with a higher revision,
     * highest first; true if a newer state was taken. May block in `ask`.
     */
    bool poll(const tail_status& tail,
              const std::vector<v1::ProcessRevision>& peers, time_point now);

    static constexpr std::size_t max_asked = 3;
    static constexpr std::uint32_t failures_before = 2;
    static constexpr milliseconds interval{1'000};

private:
    bool is_needed(const tail_status& tail) const;
    std::vector<v1::ProcessRevision>
    ahead_of(std::uint64_t revision,
             const std::vector<v1::ProcessRevision>& peers) const;

    configuration_store& store_;
    ask_function ask_;
    time_point next_at_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_RECOVERY_HPP
