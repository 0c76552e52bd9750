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
 * Survival curves of answer lengths per service and per team in it. A team's
 * curve leans on its service's, that on the one over all, and that on a
 * stated prior, so that a new team starts from what its service knows.
 * Bounded: beyond `max_curves` the curves used longest ago are dropped.
 */
class length_predictor
{
public:
    explicit length_predictor(std::size_t max_curves);

    /** The curve for a team; valid until the next call of any member. */
    const survival_curve& curve(std::string_view service,
                                std::string_view team);

    /** An answer ended (or was cut off) after `tokens`. */
    void learn(std::string_view service, std::string_view team,
               std::uint32_t tokens, bool complete);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string key;
        survival_curve curve;
        std::uint64_t own_version = 0;
        std::uint64_t prior_version = 0;
    };
    using entry_list = std::list<entry>;

    entry& find(std::string_view service, std::string_view team);
    const survival_curve& refreshed(entry& of, const survival_curve& prior,
                                    float prior_weight);
    const survival_curve& refreshed_overall();

    std::size_t max_curves_;
    survival_curve overall_;
    std::uint64_t overall_version_ = 0;
    entry_list entries_; ///< latest used first
    std::unordered_map<std::string_view, entry_list::iterator> index_;
    std::string key_buffer_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LENGTH_PREDICTOR_HPP
