#ifndef CYCLAMENRUN_UPSTREAM_SEARCH_HPP
#define CYCLAMENRUN_UPSTREAM_SEARCH_HPP

#include "load_probe.hpp"
#include "request_conclusion.hpp"
#include "start_search.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace cyclamenrun
{

/**
 * Finds the upstream for one attempt of a request: by start grants of the
 * engines' monitors, by the engines' loads if no monitor responds, or by load
 * estimates alone. Refuses the request if it knows that none can serve it.
 */
class upstream_search : public std::enable_shared_from_this<upstream_search>
{
public:
    /** A hook may end the request, and then returns false. */
    struct hooks {
        /** Whether the request may be sent now; refuses it otherwise. */
        std::function<bool()> may_send;
        /** Refuses the request if all upstreams are at their limit. */
        std::function<bool()> refuse_without_room;
        /** Refuses the request if this process exits before it can end. */
        std::function<bool()> refuse_if_stopping;
        /** Sends the request. */
        std::function<void(const upstream_record&)> found;
        /** Begins the dispatch again. */
        std::function<void()> restart;
    };

    upstream_search(gateway_context& context, const served_request& served,
                    request_conclusion& conclusion, hooks on);

    void start();
    void cancel();
    /** True if an upstream that was not tried could take the request now. */
    bool has_alternative() const;
    /** True if the service has engines and this gateway uses monitors. */
    bool uses_monitors() const;

private:
    placement_request make_placement_request() const;
    /** True if monitors must grant the start. */
    bool needs_start_grant() const;
    void search_start();
    void handle_start_found(const upstream_record& upstream);
    void handle_no_response();
    /** Queries a few engines for their load when no monitor responds. */
    void probe_loads();
    void handle_loads();
    void choose_by_estimates();
    /** Chooses an upstream by load estimates. */
    std::optional<placed_upstream> place();

    gateway_context& context_;
    const served_request& served_;
    request_conclusion& conclusion_;
    hooks on_;
    std::shared_ptr<start_search> search_; ///< set while a start is awaited
    std::shared_ptr<load_probe> probe_;    ///< set during load queries
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_SEARCH_HPP
