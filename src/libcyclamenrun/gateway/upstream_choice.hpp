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

/** Picks upstreams from the board, for one request after another. */
class upstream_choice
{
public:
    upstream_choice(const upstream_board& board, std::mt19937_64& random)
        : board_(board), random_(random)
    {
    }

    /** For a request that begins; empty if none may be used or reached. */
    std::optional<upstream_record>
    for_request(const std::string& service, const placement_request& request,
                const std::vector<std::string>& excluded, time_point now);

    /**
     * For a running generation whose engine leaves: where its memory is
     * copied soonest and finds room.
     */
    std::optional<upstream_record>
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
    std::optional<upstream_record>
    choose(const std::vector<const upstream_state*>& from,
           const placement_request& request, const placement_weights& weights,
           time_point now);

    const upstream_board& board_;
    std::mt19937_64& random_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_CHOICE_HPP
