#include "length_predictor.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

// Approximate number of recent answers that have weight in a curve.
constexpr float team_memory_answers = 150.0F;
constexpr float service_memory_answers = 400.0F;
constexpr float overall_memory_answers = 800.0F;

// Weight of the prior, in answers.
constexpr float prior_weight_of_service = 8.0F;
constexpr float prior_weight_of_overall = 8.0F;
constexpr float prior_weight_of_constant = 2.0F;

// A curve is recomputed when its own answers change, and after this many
// answers overall: otherwise each answer would recompute all curves.
constexpr std::uint64_t refresh_after_answers = 16;

// One curve for a service and one for a team must fit.
constexpr std::size_t min_curves = 2;

} // namespace

length_predictor::length_predictor(std::size_t max_curves)
    : max_curves_(std::max(max_curves, min_curves)),
      overall_(overall_memory_answers)
{
}

const survival_curve& length_predictor::curve(std::string_view service,
                                              std::string_view team)
{
    const survival_curve& overall = refreshed_overall();
    const survival_curve& service_curve =
        refreshed(find(service, {}), overall, prior_weight_of_overall);
    return refreshed(find(service, team), service_curve,
                     prior_weight_of_service);
}

void length_predictor::learn(std::string_view service, std::string_view team,
                             std::uint32_t tokens, bool complete)
{
    overall_.learn(tokens, complete);
    find(service, {}).curve.learn(tokens, complete);
    find(service, team).curve.learn(tokens, complete);
}

length_predictor::entry& length_predictor::find(std::string_view service,
                                                std::string_view team)
{
    // Names contain no slash, so each pair has a unique key.
    key_buffer_.assign(service).append("/").append(team);
    const auto found = index_.find(key_buffer_);
    if (found != index_.end()) {
        entries_.splice(entries_.begin(), entries_, found->second);
        return entries_.front();
    }
    if (entries_.size() >= max_curves_) {
        index_.erase(entries_.back().key);
        entries_.pop_back();
    }
    entries_.push_front(
        {key_buffer_, survival_curve(team.empty() ? service_memory_answers
                                                  : team_memory_answers)});
    index_.emplace(entries_.front().key, entries_.begin());
    return entries_.front();
}

const survival_curve& length_predictor::refreshed(entry& target,
                                                  const survival_curve& prior,
                                                  float prior_weight)
{
    const std::uint64_t own = target.curve.version() + 1;
    const std::uint64_t overall_version = overall_.version() + 1;
    if (target.own_version != own ||
        overall_version >= target.overall_version + refresh_after_answers) {
        target.curve.refresh(prior, prior_weight);
        target.own_version = own;
        target.overall_version = overall_version;
    }
    return target.curve;
}

const survival_curve& length_predictor::refreshed_overall()
{
    if (overall_version_ != overall_.version() + 1) {
        overall_.refresh_with_constant_prior(prior_weight_of_constant);
        overall_version_ = overall_.version() + 1;
    }
    return overall_;
}

} // namespace cyclamenrun
