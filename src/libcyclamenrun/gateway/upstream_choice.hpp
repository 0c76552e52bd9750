#ifndef CYCLAMENRUN_UPSTREAM_CHOICE_HPP
#define CYCLAMENRUN_UPSTREAM_CHOICE_HPP

#include "gateway_configuration.hpp"
#include "upstream_board.hpp"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** An upstream that was chosen, and what decided it. */
struct placed_upstream {
    upstream_record record;
    placement_candidate place; ///< as it would stand with the request
    double cost = 0;           ///< in parts of the objective
    /** Of the best of the others. */
    std::optional<double> second_cost;
    std::size_t weighed = 0;
    /** Of the load that was believed; empty: none is known. */
    std::optional<milliseconds> load_age;
    /** Until its first part, for prompts that are read before and its own. */
    milliseconds first_part_after{0};
};

/** Picks upstreams from the board, for one request after another. */
class upstream_choice
{
public:
    upstream_choice(const upstream_board& board, std::mt19937_64& random)
        : board_(board), random_(random)
    {
    }

    /** For a request that begins; empty if none may be used or reached. */
    std::optional<placed_upstream>
    for_request(const std::string& service, const placement_request& request,
                const std::vector<std::string>& excluded, time_point now);

    /** The same among those whose load was just asked for. */
    std::optional<placed_upstream>
    for_request_among(const std::vector<upstream_record>& engines,
                      const placement_request& request, time_point now);

    /** Engines to ask whether it may start; the better are likelier. */
    std::vector<upstream_record>
    to_ask(const std::string& service, const placement_request& request,
           const std::vector<std::string>& excluded, std::size_t count,
           time_point now);

    /** Engines to ask whether a running generation whose engine leaves may be
     * copied there; those where it is copied soonest are likelier. */
    std::vector<upstream_record>
    to_copy_to(const std::string& service, const placement_request& request,
               const std::vector<std::string>& excluded, std::size_t count,
               time_point now);

    /** Cost of a place that its own monitor has told. */
    double cost_of(const upstream_record& engine, const given_place& place,
                   const placement_request& request, time_point now) const;
    /** Cost of copying a running generation there. */
    double cost_of_copy(const upstream_record& engine,
                        const placement_request& request, time_point now) const;

    /**
     * For a running generation whose engine leaves: where its memory is
     * copied soonest and finds room.
     */
    std::optional<placed_upstream>
    for_move(const std::string& service, const placement_request& request,
             const std::vector<std::string>& excluded, time_point now);

    /**
     * For a copy of a generation as it grows; empty unless some engine has
     * much memory to spare, since a copy takes it from what runs.
     */
    std::optional<upstream_record> for_backup(const std::string& service,
                                              const placement_request& request,
                                              const std::string& running_at,
                                              time_point now);

private:
    std::vector<const upstream_state*>
    candidates(const std::string& service,
               const std::vector<std::string>& excluded) const;
    std::vector<upstream_record>
    draw(const std::vector<const upstream_state*>& from,
         const placement_request& request, const placement_weights& weights,
         double width, std::size_t count, time_point now);
    std::optional<placed_upstream>
    choose(const std::vector<const upstream_state*>& from,
           const placement_request& request, const placement_weights& weights,
           time_point now);

    const upstream_board& board_;
    std::mt19937_64& random_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_CHOICE_HPP
