#ifndef CYCLAMENRUN_LENGTH_PREDICTOR_HPP
#define CYCLAMENRUN_LENGTH_PREDICTOR_HPP

#include "survival_curve.hpp"

#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Survival curves of answer lengths per service and per team of a service.
 *
 * The prior of a team's curve is its service's curve, the prior of that is the
 * overall curve, and the prior of that is a constant hazard. A new team thus
 * starts from the lengths of its service. Bounded: beyond `max_curves` the
 * least recently used curves are dropped.
 */
class length_predictor
{
public:
    explicit length_predictor(std::size_t max_curves);

    /** The curve for a team; valid until the next call of any member. */
    const survival_curve& curve(std::string_view service,
                                std::string_view team);

    /** Adds an answer that ended (or was cut off) after `tokens`. */
    void learn(std::string_view service, std::string_view team,
               std::uint32_t tokens, bool complete);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string key;
        survival_curve curve;
        // Versions that the curve was computed from, plus 1; 0: none yet.
        std::uint64_t own_version = 0;
        std::uint64_t overall_version = 0;
    };
    using entry_list = std::list<entry>;

    /** Adds the entry if needed; an empty `team`: the whole service. */
    entry& find(std::string_view service, std::string_view team);
    const survival_curve& refreshed(entry& target, const survival_curve& prior,
                                    float prior_weight);
    const survival_curve& refreshed_overall();

    std::size_t max_curves_;
    survival_curve overall_;
    std::uint64_t overall_version_ = 0;
    entry_list entries_; ///< most recently used first
    std::unordered_map<std::string_view, entry_list::iterator> index_;
    std::string key_buffer_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LENGTH_PREDICTOR_HPP
