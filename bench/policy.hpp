#ifndef CYCLAMENRUN_BENCH_POLICY_HPP
#define CYCLAMENRUN_BENCH_POLICY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun::bench
{

enum class policy_kind : std::uint8_t {
    round_robin, ///< in rotation, without admission control
    least_load,  ///< least reported load, without admission control
    cyclamenrun, ///< the product's decision classes
    oracle,      ///< cyclamenrun with known answer lengths
};

/**
 * A policy under trial. Parts of cyclamenrun can be disabled by name; they are
 * described at admission_parts and router_settings.
 */
struct policy {
    policy_kind kind = policy_kind::cyclamenrun;
    bool prediction = true;
    bool prefix = true;
    bool fair_share = true;
    bool own_counts = true;
    std::optional<double> overflow_bound; ///< overrides the objective's
    std::optional<double> short_first;    ///< overrides the objective's

    bool uses_cyclamenrun() const
    {
        return kind == policy_kind::cyclamenrun || kind == policy_kind::oracle;
    }
};

std::string_view name_of(policy_kind kind);
std::optional<policy_kind> policy_kind_of(std::string_view name);
/** Disables a part of cyclamenrun; returns false if no part has that name. */
bool disable_part(policy& target, std::string_view part);

/** The fault that a trial injects. */
enum class fault_kind : std::uint8_t {
    none,
    engine_lost,
    engine_reclaimed, ///< lost after a notice
    late_reports,     ///< load reports arrive late
    cache_gaps,       ///< most cache events are lost
    entry_lost,
    domain_cut, ///< one failure domain is unreachable for some time
    heavy_team, ///< one team sends a multiple of its share
    poison,     ///< one request crashes each engine that runs it
};

std::string_view name_of(fault_kind kind);
std::optional<fault_kind> fault_kind_of(std::string_view name);
std::vector<std::string> fault_names();

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_POLICY_HPP
