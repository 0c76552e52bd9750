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
 * Finds an engine at which one generation may start: asks the monitors beside
 * a few engines, takes the best of those that let it at once or the first that
 * does later, and tells the others. While it waits it asks more of them. Where
 * no monitor is heard, the gateway's own beliefs decide: serving does not
 * depend on monitors.
 */
class start_search : public std::enable_shared_from_this<start_search>
{
public:
    struct hooks {
        /** Up to `count` engines to ask, none of those in `but`. */
        std::function<std::vector<upstream_record>(
            const std::vector<std::string>& but, std::size_t count)>
            candidates;
        /** Cost of a place where it may start; lower is better. */
        std::function<double(const upstream_record&, const given_place&)> cost;
        /** It starts there. */
        std::function<void(const upstream_record&)> found;
        /** Most engines let others go first; it waits on unless cancelled. */
        std::function<void()> passed_over;
        /** No monitor has answered in the time for it. */
        std::function<void()> unheard;
    };

    start_search(gateway_context& context, start_request wanted, hooks on);

    void start();
    /** The start is not wanted any more. */
    void cancel();

    /** Engines that were asked, and are still. */
    std::size_t asked() const { return asked_.size(); }

private:
    struct asked_engine {
        upstream_record engine;
        bool heard = false;               ///< its monitor answers
        bool passes_over = false;         ///< others go first there
        std::optional<given_place> place; ///< where it may start
    };

    void ask_more(std::size_t count);
    void ask_again();
    void ask_again_later();
    void drop_gone();
    void check_heard();
    bool all_heard() const;
    void take_given(const std::string& host, const given_place& place);
    bool may_use(const asked_engine& engine) const;
    void choose();
    void take_waits(const std::string& host, start_wait wait);
    bool is_passed_over() const;
    void end_if_passed_over();
    void end_but(const std::string& host);
    std::vector<asked_engine>::iterator find(const std::string& host);

    gateway_context& context_;
    start_request wanted_;
    hooks on_;
    std::vector<asked_engine> asked_;
    bool choosing_ = false; ///< it may start somewhere
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_START_SEARCH_HPP
