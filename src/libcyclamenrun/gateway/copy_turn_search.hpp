#ifndef CYCLAMENRUN_COPY_TURN_SEARCH_HPP
#define CYCLAMENRUN_COPY_TURN_SEARCH_HPP

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
 * Finds an engine to which a running generation can be copied at once. Requests
 * copy turns from the monitors beside a few engines, uses the best turn that is
 * granted, and releases the others. The monitor of an engine that leaves or has
 * no room refuses. If gateways chose by load reports alone, many copies would
 * queue at the same engine until their sources are reclaimed.
 *
 * `found` and `none` are called from the reactor, never inside start(), and may
 * destroy the owner of the search.
 */
class copy_turn_search : public std::enable_shared_from_this<copy_turn_search>
{
public:
    struct hooks {
        /**
         * Returns up to `count` engines to request turns from, none of them in
         * `exclude`.
         */
        std::function<std::vector<upstream_record>(
            std::vector<std::string> exclude, std::size_t count)>
            candidates;
        /** Cost of a copy to the engine; lower is better. */
        std::function<double(const upstream_record&)> cost;
        /** The copy may begin; its turn is held until end(). */
        std::function<void(const upstream_record&)> found;
        /** All requested engines have refused, or there are no candidates. */
        std::function<void()> none;
    };

    /** `tokens`: memory to copy. */
    copy_turn_search(gateway_context& context, std::string request_id,
                     std::uint64_t tokens, hooks on);

    void start();
    /** Releases all turns after the copy has ended or was abandoned. */
    void end();

private:
    struct requested_engine {
        upstream_record engine;
        bool granted = false;
    };

    void request_more(std::size_t count);
    void schedule_request_more();
    void report_if_refused();
    /** Gives up engines whose failure domain was evacuated since. */
    void drop_evacuated();
    void handle_grant(const std::string& id);
    void handle_refusal(const std::string& id);
    void choose();
    /** Id of the copy turn; another one at each engine. */
    std::string turn_id(const upstream_record& engine) const;

    gateway_context& context_;
    std::string request_id_;
    std::uint64_t tokens_;
    hooks on_;
    std::vector<requested_engine> requested_;
    std::vector<std::string> refused_; ///< ids of engines
    bool choice_pending_ = false; ///< a turn is granted; waits for better ones
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_COPY_TURN_SEARCH_HPP
