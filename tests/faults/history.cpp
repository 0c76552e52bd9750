#include "history.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace cyclamenrun::faults
{

namespace
{

/** Checks one history and collects the violated guarantees. */
class checker
{
public:
    explicit checker(const history& observed) : history_(observed) {}

    std::vector<std::string> run()
    {
        for (const auto& observed : history_.events)
            check_event(observed);
        check_ends();
        return violations_;
    }

private:
    struct delivery {
        std::uint64_t run = 0;
        std::uint64_t next = 0;
        bool ended = false;
    };

    void check_event(const event& observed)
    {
        switch (observed.kind) {
        case event_kind::request_sent:
            open_.insert(observed.caller_request_id);
            break;
        case event_kind::run_begun:
            run_begun(observed);
            break;
        case event_kind::run_token:
            tokens_made_[observed.run] = observed.index + 1;
            break;
        case event_kind::run_ended:
            ended_runs_.insert(observed.run);
            break;
        case event_kind::drain_begun:
            draining_.insert(observed.upstream);
            break;
        case event_kind::token_received:
            token_received(observed);
            break;
        case event_kind::end_received:
            end_received(observed);
            break;
        case event_kind::answer_received:
            answer_received(observed);
            break;
        case event_kind::refused:
            refused(observed);
            break;
        case event_kind::caller_disconnected:
            open_.erase(observed.caller_request_id);
            break;
        }
    }

    void run_begun(const event& observed)
    {
        work_of_run_[observed.run] = observed.work;
        ++run_count_of_work_[observed.work];
        const bool may_repeat = history_.shape != work_shape::plain_call &&
                                history_.shape != work_shape::ticket_call;
        if (!may_repeat && run_count_of_work_[observed.work] > 1)
            report("a non-idempotent call ran twice");
        if (refused_not_run_.contains(observed.caller_request_id))
            report("a request ran after its caller received not_run");
        requests_that_ran_.insert(observed.caller_request_id);
        if (draining_.contains(observed.upstream))
            report("new work ran at an upstream whose agent is draining");
    }

    void token_received(const event& observed)
    {
        auto& delivered = deliveries_[observed.work];
        if (work_of_run_[observed.run] != observed.work)
            report("a caller received a token of another request's answer");
        if (delivered.next == 0)
            delivered.run = observed.run;
        if (delivered.run != observed.run)
            report("tokens of two generations were spliced");
        if (delivered.next != observed.index)
            report("a token was lost, duplicated or out of order");
        if (delivered.ended)
            report("a caller received a token after the end");
        delivered.next = observed.index + 1;
    }

    void end_received(const event& observed)
    {
        open_.erase(observed.caller_request_id);
        auto& delivered = deliveries_[observed.work];
        if (delivered.next != tokens_made_[delivered.run] ||
            !ended_runs_.contains(delivered.run))
            report("an incomplete answer was reported as complete");
        delivered.ended = true;
    }

    void answer_received(const event& observed)
    {
        open_.erase(observed.caller_request_id);
        if (work_of_run_[observed.run] != observed.work)
            report("a caller received the answer to another call");
        if (!ended_runs_.contains(observed.run))
            report("a caller received an answer before its call ended");
    }

    void refused(const event& observed)
    {
        open_.erase(observed.caller_request_id);
        // A ticket is bound to its agent. If its first use comes while the
        // agent is draining, the call is refused as not_run, and the caller
        // needs a ticket for another agent.
        const bool needs_new_ticket =
            history_.shape == work_shape::ticket_call &&
            observed.refused == refusal_kind::not_run &&
            observed.reason == refusal_reason::draining;
        if (history_.answer_is_required && !needs_new_ticket)
            report("a caller was refused although no answer may be lost: " +
                   std::string(name_of(observed.reason)));
        if (observed.refused != refusal_kind::not_run)
            return;
        refused_not_run_.insert(observed.caller_request_id);
        if (requests_that_ran_.contains(observed.caller_request_id))
            report("a caller received not_run, but its request had run");
        if (history_.shape == work_shape::ticket_call &&
            run_count_of_work_[observed.work] > 0)
            report("a caller received not_run, but its ticket's call had run");
    }

    void check_ends()
    {
        if (history_.caller_stays && !open_.empty())
            report("an exchange has no outcome");
    }

    void report(const std::string& what) { violations_.push_back(what); }

    const history& history_;
    std::vector<std::string> violations_;
    std::set<std::string> open_;
    std::set<std::string> refused_not_run_;
    std::set<std::string> requests_that_ran_;
    std::set<std::string> draining_;
    std::set<std::uint64_t> ended_runs_;
    std::map<std::uint64_t, std::string> work_of_run_;
    std::map<std::string, int> run_count_of_work_;
    std::map<std::uint64_t, std::uint64_t> tokens_made_;
    std::map<std::string, delivery> deliveries_;
};

} // namespace

std::vector<std::string> violations_of(const history& observed)
{
    return checker(observed).run();
}

} // namespace cyclamenrun::faults
