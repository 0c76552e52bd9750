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
    explicit checker(const history& seen) : seen_(seen) {}

    std::vector<std::string> run()
    {
        for (const auto& seen : seen_.events)
            take(seen);
        check_ends();
        return violations_;
    }

private:
    struct delivery {
        std::uint64_t run = 0;
        std::uint64_t next = 0;
        bool ended = false;
    };

    void take(const event& seen)
    {
        switch (seen.kind) {
        case event_kind::exchange_begun:
            open_.insert(seen.exchange);
            break;
        case event_kind::run_begun:
            run_begun(seen);
            break;
        case event_kind::run_token:
            tokens_made_[seen.run] = seen.index + 1;
            break;
        case event_kind::run_ended:
            ended_runs_.insert(seen.run);
            break;
        case event_kind::drain_begun:
            draining_.insert(seen.upstream);
            break;
        case event_kind::token_received:
            token_received(seen);
            break;
        case event_kind::end_received:
            end_received(seen);
            break;
        case event_kind::answer_received:
            answer_received(seen);
            break;
        case event_kind::refused:
            refused(seen);
            break;
        case event_kind::caller_left:
            open_.erase(seen.exchange);
            break;
        }
    }

    void run_begun(const event& seen)
    {
        works_of_runs_[seen.run] = seen.work;
        ++runs_of_works_[seen.work];
        const bool may_repeat = seen_.shape != work_shape::plain_call &&
                                seen_.shape != work_shape::ticket_call;
        if (!may_repeat && runs_of_works_[seen.work] > 1)
            report("a non-idempotent call ran twice");
        if (told_not_run_.contains(seen.exchange))
            report("a request ran after its caller received not_run");
        runs_of_exchanges_.insert(seen.exchange);
        if (draining_.contains(seen.upstream))
            report("new work ran at an upstream whose agent is draining");
    }

    void token_received(const event& seen)
    {
        auto& got = deliveries_[seen.work];
        if (works_of_runs_[seen.run] != seen.work)
            report("a caller received a token of another request's answer");
        if (got.next == 0)
            got.run = seen.run;
        if (got.run != seen.run)
            report("tokens of two generations were spliced");
        if (got.next != seen.index)
            report("a token was lost, duplicated or out of order");
        if (got.ended)
            report("a caller received a token after the end");
        got.next = seen.index + 1;
    }

    void end_received(const event& seen)
    {
        open_.erase(seen.exchange);
        auto& got = deliveries_[seen.work];
        if (got.next != tokens_made_[got.run] || !ended_runs_.contains(got.run))
            report("an incomplete answer was reported as complete");
        got.ended = true;
    }

    void answer_received(const event& seen)
    {
        open_.erase(seen.exchange);
        if (works_of_runs_[seen.run] != seen.work)
            report("a caller received the answer to another call");
        if (!ended_runs_.contains(seen.run))
            report("a caller received an answer before its call ended");
    }

    void refused(const event& seen)
    {
        open_.erase(seen.exchange);
        // A ticket is bound to its agent. If its first use comes while the
        // agent is draining, the call is refused as not_run, and the caller
        // needs a ticket for another agent.
        const bool needs_new_ticket = seen_.shape == work_shape::ticket_call &&
                                      seen.refused == refusal_kind::not_run &&
                                      seen.reason == refusal_reason::draining;
        if (seen_.nothing_is_lost && !needs_new_ticket)
            report("a caller was refused although no answer may be lost: " +
                   std::string(name_of(seen.reason)));
        if (seen.refused != refusal_kind::not_run)
            return;
        told_not_run_.insert(seen.exchange);
        if (runs_of_exchanges_.contains(seen.exchange))
            report("a caller received not_run, but its request had run");
        if (seen_.shape == work_shape::ticket_call &&
            runs_of_works_[seen.work] > 0)
            report("a caller received not_run, but its ticket's call had run");
    }

    void check_ends()
    {
        if (seen_.caller_stays && !open_.empty())
            report("an exchange has no outcome");
    }

    void report(const std::string& what) { violations_.push_back(what); }

    const history& seen_;
    std::vector<std::string> violations_;
    std::set<std::string> open_;
    std::set<std::string> told_not_run_;
    std::set<std::string> runs_of_exchanges_;
    std::set<std::string> draining_;
    std::set<std::uint64_t> ended_runs_;
    std::map<std::uint64_t, std::string> works_of_runs_;
    std::map<std::string, int> runs_of_works_;
    std::map<std::uint64_t, std::uint64_t> tokens_made_;
    std::map<std::string, delivery> deliveries_;
};

} // namespace

std::vector<std::string> violations_of(const history& seen)
{
    return checker(seen).run();
}

} // namespace cyclamenrun::faults
