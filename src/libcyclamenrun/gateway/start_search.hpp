#ifndef CYCLAMENRUN_START_SEARCH_HPP
#define CYCLAMENRUN_START_SEARCH_HPP

#include "gateway_context.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Finds an engine at which one generation may start. Sends start requests to
 * the monitors beside a few engines, uses the best of the immediate grants or
 * else the first later one, and releases the others. Requests further engines
 * while it waits. When no monitor responds, the gateway decides by its own load
 * estimates, so that serving does not depend on monitors.
 */
class start_search : public std::enable_shared_from_this<start_search>
{
public:
    struct hooks {
        /**
         * Returns up to `count` engines to send start requests to, none of them
         * in `exclude`.
         */
        std::function<std::vector<upstream_record>(
            const std::vector<std::string>& exclude, std::size_t count)>
            candidates;
        /** Cost of a granted start; lower is better. */
        std::function<double(const upstream_record&, const engine_occupancy&)>
            cost;
        /** The generation starts at this engine. */
        std::function<void(const upstream_record&)> found;
        /**
         * Most of the requested engines pass over the request; the search goes
         * on unless it is cancelled.
         */
        std::function<void()> passed_over;
        /**
         * The requests are about to be repeated; the search goes on unless it
         * is cancelled.
         */
        std::function<void()> repeats;
        /** No monitor responded within the timeout. */
        std::function<void()> no_response;
        /** All requested engines rest or leave, and there are no others. */
        std::function<void()> none_usable;
    };

    start_search(gateway_context& context, start_request request, hooks on);

    void start();
    /** Abandons the search and releases all grants. */
    void cancel();

    /** Number of engines with a pending start request. */
    std::size_t requested_count() const { return requested_.size(); }

private:
    struct requested_engine {
        upstream_record engine;
        bool responded = false;   ///< its monitor has responded
        bool passed_over = false; ///< other requests have priority there
        /** Set if the start is granted. */
        std::optional<engine_occupancy> occupancy;
    };

    void request_more(std::size_t count);
    void repeat_requests();
    void schedule_repeat();
    void drop_unusable();
    void check_responses();
    bool all_responded() const;
    void handle_grant(const std::string& host,
                      const engine_occupancy& occupancy);
    bool may_use(const requested_engine& requested) const;
    void choose();
    void handle_wait(const std::string& host, start_denial denial);
    bool is_passed_over() const;
    void report_if_passed_over();
    /** Releases all grants; their engines are asked again if they have room. */
    void release_unusable();
    void report_none_usable();
    void release_others(const std::string& host);
    std::vector<requested_engine>::iterator find(const std::string& host);

    gateway_context& context_;
    start_request request_;
    hooks on_;
    std::vector<requested_engine> requested_;
    bool choice_pending_ = false; ///< a start is granted; waits for better ones
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_START_SEARCH_HPP
