#ifndef CYCLAMENRUN_TURN_SEARCH_HPP
#define CYCLAMENRUN_TURN_SEARCH_HPP

#include "gateway_context.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Finds an engine to which a running generation may be copied now: asks the
 * monitors beside a few engines for a turn at their link, takes the best that
 * gives one, and returns the others. An engine that leaves or has no room
 * refuses. Chosen by what a gateway has heard, many copies go to the same
 * engine and wait there while the notice of their own runs out.
 */
class turn_search : public std::enable_shared_from_this<turn_search>
{
public:
    struct hooks {
        /** Up to `count` engines to ask, none of those in `but`. */
        std::function<std::vector<upstream_record>(std::vector<std::string> but,
                                                   std::size_t count)>
            candidates;
        /** Cost of copying it there; lower is better. */
        std::function<double(const upstream_record&)> cost;
        /** It may be copied there; the turn is held until end(). */
        std::function<void(const upstream_record&)> found;
        /** All engines have refused it. */
        std::function<void()> none;
    };

    turn_search(gateway_context& context, std::string request_id,
                std::uint64_t tokens, hooks on);

    void start();
    /** The copy is done or no longer wanted: returns all turns. */
    void end();

private:
    struct asked_engine {
        upstream_record engine;
        bool given = false;
    };

    void ask_more(std::size_t count);
    void ask_more_later();
    void end_if_refused();
    void take_given(const std::string& id);
    void take_refused(const std::string& id);
    void choose();
    std::string turn_of(const upstream_record& engine) const;

    gateway_context& context_;
    std::string request_id_;
    std::uint64_t tokens_;
    hooks on_;
    std::vector<asked_engine> asked_;
    std::vector<std::string> refused_; ///< ids of engines
    bool choosing_ = false;            ///< somewhere it may go
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TURN_SEARCH_HPP
