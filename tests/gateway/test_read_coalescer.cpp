#include "configuration_lease.hpp"
#include "read_coalescer.hpp"

#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace cyclamenrun
{
namespace
{

using coalescer = read_coalescer<upstream_record_traits>;
using upstream_page = directory_page<upstream_change>;

upstream_change change(const std::string& id, bool draining = false)
{
    upstream_record record;
    record.id = id;
    record.service = "model";
    record.address = {"10.0.0.1", 80};
    record.draining = draining;
    return {id, record};
}

/** The page of a read without an offset: the newest record of each key. */
upstream_page newest(std::vector<upstream_change> items, std::uint64_t next)
{
    upstream_page page;
    page.items = std::move(items);
    page.next_offset = next;
    return page;
}

/** The page of a read from an offset. */
upstream_page read_from(std::uint64_t from, std::vector<upstream_change> items)
{
    upstream_page page;
    page.items = std::move(items);
    for (std::size_t i = 0; i < page.items.size(); ++i)
        page.offsets.push_back(from + i);
    page.next_offset = from + page.items.size();
    return page;
}

/** A coalescer in virtual time that has read "a"; its next offset is 5. */
class coalesced_reads : public testing::Test
{
protected:
    coalesced_reads() : reads(timing())
    {
        (void)reads.add_call(std::nullopt, milliseconds(0), now);
        (void)read(newest({change("a")}, 5));
    }

    static coalescer_timing timing()
    {
        coalescer_timing timing;
        timing.max_changes = 3;
        timing.max_calls = 4;
        return timing;
    }

    coalescer::call_id add_call(std::optional<std::uint64_t> from)
    {
        return reads.add_call(from, milliseconds(900), now).value();
    }

    /** Advances to when the next read is due, and starts it. */
    coalescer::read begin()
    {
        now = std::max(now, reads.next_read().value());
        return reads.begin_read(now);
    }

    std::vector<coalescer::answer>
    end(const tl::expected<upstream_page, directory_problem>& result)
    {
        now += milliseconds(5);
        return reads.end_read(result, now);
    }

    std::vector<coalescer::answer>
    read(const tl::expected<upstream_page, directory_problem>& result)
    {
        (void)begin();
        return end(result);
    }

    coalescer reads;
    time_point now = time_point(std::chrono::hours(1));
};

TEST_F(coalesced_reads, answer_many_calls_with_one_read)
{
    const auto first = add_call(5);
    now += milliseconds(4);
    const auto second = add_call(5);
    const auto sent = begin();
    EXPECT_EQ(sent.from, 5U);
    EXPECT_EQ(sent.wait, milliseconds(900) - timing().batch_window)
        << "the wait of the first call, counted from its arrival";
    EXPECT_FALSE(reads.next_read());
    const auto answers = end(read_from(5, {change("b")}));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].call, first);
    EXPECT_EQ(answers[1].call, second);
    EXPECT_EQ((*answers[0].result)->items.front().id, "b");
    EXPECT_EQ((*answers[0].result)->next_offset, 6U);
    EXPECT_FALSE(reads.next_read()) << "no call is pending";
}

// Guards against a lease renewed by a read that misses a revoked key. The key
// is revoked after the read was sent, and a call that arrives after that must
// wait for the next read.
TEST_F(coalesced_reads,
       never_answer_a_call_that_arrived_after_the_read_was_sent)
{
    add_call(5);
    (void)begin();
    const auto late_call = add_call(5);
    now += milliseconds(900);
    EXPECT_EQ(end(read_from(5, {})).size(), 1U);
    // The call has waited for its whole wait, so the next read has none.
    EXPECT_EQ(begin().wait, milliseconds(0));
    const auto answers = end(read_from(5, {change("b")}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].call, late_call);
}

// Guards against a relay that reads the directory without a pause. Callers call
// again as soon as they are answered. If reads are slower than that, each read
// covers calls that arrived during the last one, and reads sent without a wait
// for them never stop.
TEST(slow_reads, are_not_sent_back_to_back)
{
    constexpr milliseconds read_delay{20};
    constexpr milliseconds call_interval{2};
    constexpr milliseconds wait{900};
    constexpr int waits = 10;
    coalescer reads{coalescer_timing()};
    auto now = time_point(std::chrono::hours(1));
    const auto end = now + waits * wait;
    std::multimap<time_point, std::optional<std::uint64_t>> arrivals;
    for (int i = 0; i < 50; ++i)
        arrivals.emplace(now + i * milliseconds(17), std::nullopt);
    const auto add_arrivals = [&](time_point until) {
        for (; !arrivals.empty() && arrivals.begin()->first <= until;
             arrivals.erase(arrivals.begin()))
            (void)reads.add_call(arrivals.begin()->second, wait,
                                 arrivals.begin()->first);
    };
    int sent = 0;
    while (now < end) {
        add_arrivals(now);
        const auto due = reads.next_read();
        if (!due || *due > now) {
            now = arrivals.empty() || (due && *due < arrivals.begin()->first)
                      ? due.value()
                      : arrivals.begin()->first;
            continue;
        }
        ++sent;
        now += reads.begin_read(now).wait + read_delay;
        add_arrivals(now);
        for (const auto& answer : reads.end_read(newest({}, 5), now))
            arrivals.emplace(now + call_interval,
                             (*answer.result)->next_offset);
    }
    EXPECT_LE(sent, 2 * waits + 2) << "two groups of callers at most";
}

TEST_F(coalesced_reads, omit_heartbeats_but_keep_reverted_changes)
{
    add_call(5);
    auto answers = read(read_from(
        5, {change("a"), change("a", true), change("a"), {"c", std::nullopt}}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ((*answers[0].result)->items.size(), 2U);
    EXPECT_EQ((*answers[0].result)->next_offset, 9U);
}

TEST_F(coalesced_reads, return_the_changes_that_each_caller_has_missed)
{
    add_call(5);
    (void)read(read_from(5, {change("b"), change("c")}));
    const auto caller_behind = add_call(6);
    const auto new_caller = add_call(std::nullopt);
    const auto answers = read(read_from(7, {{"a", std::nullopt}}));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].call, caller_behind);
    ASSERT_EQ((*answers[0].result)->items.size(), 2U);
    EXPECT_EQ((*answers[0].result)->items[0].id, "c");
    EXPECT_FALSE((*answers[0].result)->items[1].record);
    EXPECT_EQ(answers[1].call, new_caller);
    EXPECT_EQ((*answers[1].result)->items.size(), 2U) << "b and c";
}

// A relay that has just started, or has dropped old changes, does not know
// which changes a caller has missed. It must report that, or the caller never
// gets them.
// Guards against gateways that take a part of the directory's records for all,
// after their monitor has missed more than one answer holds.
TEST_F(coalesced_reads, answer_no_call_with_a_part)
{
    const auto call = add_call(5);
    (void)begin();
    auto part = read_from(5, {change("b")});
    part.partial = true;
    EXPECT_TRUE(end(part).empty());
    EXPECT_EQ(reads.calls(), 1U);
    ASSERT_TRUE(reads.next_read());
    EXPECT_LE(*reads.next_read(), now);
    const auto answers = read(read_from(6, {change("c")}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].call, call);
    EXPECT_EQ((*answers[0].result)->items.size(), 2U);
}

TEST_F(coalesced_reads, report_when_the_history_is_incomplete)
{
    add_call(4);
    auto answers = read(read_from(5, {}));
    EXPECT_EQ(answers.at(0).result.error(), directory_problem::history_gone);
    add_call(5);
    (void)read(read_from(
        5, {change("b"), change("c"), change("d"), change("e"), change("f")}));
    add_call(6);
    answers = read(read_from(10, {}));
    EXPECT_EQ(answers.at(0).result.error(), directory_problem::history_gone);
    add_call(7);
    answers = read(read_from(10, {}));
    EXPECT_EQ((*answers.at(0).result)->items.size(), 3U);
}

// The caller has received later records elsewhere than the directory returns
// here.
TEST_F(coalesced_reads, refuse_a_caller_that_is_ahead)
{
    add_call(9);
    const auto answers = read(read_from(5, {change("b")}));
    EXPECT_EQ(answers.at(0).result.error(), directory_problem::unavailable);
}

TEST_F(coalesced_reads, reread_all_when_the_history_is_gone)
{
    add_call(5);
    EXPECT_TRUE(read(tl::unexpected(directory_problem::history_gone)).empty());
    const auto second_read = begin();
    EXPECT_FALSE(second_read.from);
    const auto answers = end(newest({change("b")}, 90));
    EXPECT_EQ(answers.at(0).result.error(), directory_problem::history_gone);
    add_call(std::nullopt);
    EXPECT_EQ((*read(read_from(90, {})).at(0).result)->next_offset, 90U);
}

// The directory is unavailable. Waiting calls are refused at once, so that
// their callers can try elsewhere. Reads are retried with backoff, and only
// while calls are pending.
TEST_F(coalesced_reads, refuse_calls_at_once_when_the_directory_is_unavailable)
{
    auto last = milliseconds(0);
    add_call(5);
    for (int i = 0; i < 6; ++i) {
        const auto answers =
            read(tl::unexpected(directory_problem::unavailable));
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers[0].result.error(), directory_problem::unavailable);
        EXPECT_FALSE(reads.next_read());
        add_call(5);
        const auto pause =
            std::chrono::duration_cast<milliseconds>(*reads.next_read() - now);
        EXPECT_GE(pause, last);
        EXPECT_LE(pause, timing().max_retry_delay);
        last = pause;
    }
    EXPECT_EQ(last, timing().max_retry_delay);
}

// A connection to the directory does not respond. The calls that wait for its
// read are refused in time for their callers to try elsewhere before their
// lease ends.
TEST_F(coalesced_reads, time_out_a_read_that_hangs)
{
    add_call(5);
    (void)begin();
    const auto late_call = add_call(5);
    now = *reads.timeout_at() - milliseconds(1);
    EXPECT_TRUE(reads.expire_read(now).empty());
    now += milliseconds(1);
    const auto answers = reads.expire_read(now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_NE(answers[0].call, late_call);
    EXPECT_EQ(answers[0].result.error(), directory_problem::unavailable);
    EXPECT_EQ(reads.calls(), 1U);
}

TEST_F(coalesced_reads, hold_a_bounded_number_of_calls)
{
    for (int i = 0; i < 4; ++i)
        add_call(5);
    EXPECT_FALSE(reads.add_call(5, milliseconds(900), now));
    EXPECT_EQ(reads.refuse_all(directory_problem::leaving).size(), 4U);
    EXPECT_EQ(reads.calls(), 0U);
}

TEST_F(coalesced_reads, drop_calls_of_disconnected_callers)
{
    const auto disconnected = add_call(5);
    const auto connected = add_call(5);
    (void)begin();
    reads.remove_call(disconnected);
    const auto answers = end(read_from(5, {}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].call, connected);
}

/**
 * Simulates gateways that renew their leases through relays, in virtual time.
 * Messages are delayed, processes are suspended for seconds, and relays lose
 * the directory.
 */
class lease_simulation
{
public:
    explicit lease_simulation(unsigned seed) : random_(seed)
    {
        for (auto& each : relays_)
            each.reads.emplace(coalescer_timing());
    }

    /**
     * Returns false if a gateway held a valid lease although it did not know a
     * version that was accepted at least one lease term earlier.
     */
    bool run()
    {
        for (long at = 0; at < duration_ms; at += 50)
            this->at(at, [this] { inject_faults(); });
        for (std::size_t i = 0; i < gateways_.size(); ++i)
            at(random_below(100), [this, i] { send_call(i); });
        while (!events_.empty() && lease_respected_) {
            const auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return lease_respected_;
    }

    int renewals() const { return renewals_; }

private:
    using text_coalescer = read_coalescer<configuration_text_traits>;
    using text_page = directory_page<configuration_text_record>;

    static constexpr long duration_ms = 20000;
    static constexpr long term_ms = 4600; ///< of each lease

    struct process {
        long suspended_until = 0;
    };
    struct relay : process {
        std::optional<text_coalescer> reads;
        bool cut = false; ///< cut off from the directory
        std::map<text_coalescer::call_id,
                 std::function<void(const text_coalescer::answer&)>>
            waiting;
    };
    struct gateway : process {
        std::optional<std::uint64_t> offset;
        std::uint64_t version = 0; ///< newest one known, from 1; 0: none
        configuration_lease lease{milliseconds(term_ms)};
        std::uint64_t call = 0;
        bool call_pending = false;
    };

    long random_below(long below)
    {
        return static_cast<long>(random_() % below);
    }
    void at(long when, std::function<void()> action)
    {
        events_.emplace(std::max(when, now_), std::move(action));
    }
    /** A message delay: mostly some ms, sometimes seconds. */
    long delay()
    {
        return random_below(20) == 0 ? random_below(6000)
                                     : 1 + random_below(20);
    }
    /** Runs the action once the process is not suspended. */
    void run_when_active(process& target, std::function<void()> action)
    {
        if (target.suspended_until <= now_) {
            action();
            return;
        }
        at(target.suspended_until, [this, &target, action = std::move(action)] {
            run_when_active(target, action);
        });
    }
    boot_time boot() const { return boot_time(milliseconds(now_)); }
    time_point steady() const { return time_point(milliseconds(now_)); }

    void inject_faults()
    {
        if (random_below(40) == 0)
            accepted_.push_back(now_);
        if (random_below(60) == 0)
            relays_.at(random_below(2)).suspended_until =
                now_ + random_below(6000);
        if (random_below(60) == 0)
            gateways_.at(random_below(3)).suspended_until =
                now_ + random_below(6000);
        if (random_below(40) == 0)
            relays_.at(random_below(2)).cut = random_below(2) == 0;
        for (auto& each : gateways_)
            check(each);
    }

    void check(const gateway& each)
    {
        if (each.suspended_until > now_ || !each.lease.valid(boot()))
            return;
        const auto required_version = static_cast<std::uint64_t>(
            std::upper_bound(accepted_.begin(), accepted_.end(),
                             now_ - term_ms) -
            accepted_.begin());
        lease_respected_ = lease_respected_ && each.version >= required_version;
    }

    void send_call(std::size_t index)
    {
        auto& sender = gateways_.at(index);
        if (now_ >= duration_ms)
            return;
        const auto call = ++sender.call;
        sender.call_pending = true;
        const auto sent_at = boot();
        const auto from = sender.offset;
        auto& target_relay = relays_.at(random_below(2));
        // After a timeout the gateway calls a relay again; a late answer to
        // this call may still arrive.
        at(now_ + 1700, [this, index, call] {
            run_when_active(gateways_.at(index), [this, index, call] {
                if (gateways_.at(index).call == call &&
                    gateways_.at(index).call_pending)
                    send_call(index);
            });
        });
        at(now_ + delay(), [this, index, call, sent_at, from, &target_relay] {
            run_when_active(target_relay, [this, index, call, sent_at, from,
                                           &target_relay] {
                handle_call(index, call, sent_at, from, target_relay);
            });
        });
    }

    void handle_call(std::size_t index, std::uint64_t call, boot_time sent_at,
                     std::optional<std::uint64_t> from, relay& receiver)
    {
        const auto id =
            receiver.reads->add_call(from, milliseconds(900), steady());
        if (!id)
            return;
        receiver.waiting[*id] = [this, index, call, sent_at,
                                 from](const text_coalescer::answer& answer) {
            at(now_ + delay(), [this, index, call, sent_at, from, answer] {
                run_when_active(gateways_.at(index), [this, index, call,
                                                      sent_at, from, answer] {
                    handle_answer(index, call, sent_at, from, answer);
                });
            });
        };
        schedule_read(receiver);
    }

    void schedule_read(relay& reader)
    {
        const auto due = reader.reads->next_read();
        if (!due)
            return;
        const auto when =
            std::chrono::duration_cast<milliseconds>(due->time_since_epoch())
                .count();
        at(when, [this, &reader] {
            run_when_active(reader, [this, &reader] {
                const auto next = reader.reads->next_read();
                if (next && *next <= steady())
                    read(reader);
            });
        });
    }

    void read(relay& reader)
    {
        const auto sent = reader.reads->begin_read(steady());
        at(now_ + delay(), [this, &reader, sent] { serve_read(reader, sent); });
    }

    /**
     * Simulates the directory, which holds a read until there is a new record
     * or the read's wait has ended.
     */
    void serve_read(relay& reader, const text_coalescer::read& request)
    {
        const auto end = accepted_.size();
        const bool holds = request.from && *request.from >= end &&
                           request.wait > milliseconds(0) && !reader.cut;
        if (holds) {
            const auto step = std::min(milliseconds(50), request.wait);
            at(now_ + step.count(), [this, &reader, request, step] {
                serve_read(reader, {request.from, request.wait - step});
            });
            return;
        }
        tl::expected<text_page, directory_problem> result =
            tl::unexpected(directory_problem::unavailable);
        if (!reader.cut)
            result = records(request.from);
        at(now_ + delay(), [this, &reader, result] {
            run_when_active(reader, [this, &reader, result] {
                for (const auto& answer :
                     reader.reads->end_read(result, steady()))
                    deliver(reader, answer);
                schedule_read(reader);
            });
        });
    }

    text_page records(std::optional<std::uint64_t> from) const
    {
        text_page page;
        const auto end = accepted_.size();
        page.next_offset = end;
        for (auto offset = from ? *from : std::max<std::size_t>(end, 1) - 1;
             offset < end; ++offset) {
            page.items.push_back(
                configuration_text{std::to_string(offset + 1)});
            page.offsets.push_back(offset);
        }
        return page;
    }

    void deliver(relay& reader, const text_coalescer::answer& answer)
    {
        const auto found = reader.waiting.find(answer.call);
        if (found == reader.waiting.end())
            return;
        const auto on_answer = std::move(found->second);
        reader.waiting.erase(found);
        on_answer(answer);
    }

    void handle_answer(std::size_t index, std::uint64_t call, boot_time sent_at,
                       std::optional<std::uint64_t> from,
                       const text_coalescer::answer& answer)
    {
        auto& receiver = gateways_.at(index);
        const bool latest = receiver.call == call;
        if (answer.result && receiver.offset == from) {
            for (const auto& item : (*answer.result)->items)
                receiver.version =
                    std::max(receiver.version,
                             std::uint64_t{std::stoull(
                                 std::get<configuration_text>(item).text)});
            receiver.offset = (*answer.result)->next_offset;
            receiver.lease.renew(sent_at);
            ++renewals_;
        } else if (!answer.result && latest &&
                   answer.result.error() == directory_problem::history_gone) {
            receiver.offset.reset();
        }
        if (!latest)
            return;
        receiver.call_pending = false;
        send_call(index);
    }

    std::mt19937 random_;
    std::multimap<long, std::function<void()>> events_;
    long now_ = 0;
    std::vector<long> accepted_; ///< time at which each version was accepted
    std::array<relay, 2> relays_;
    std::array<gateway, 3> gateways_;
    bool lease_respected_ = true;
    int renewals_ = 0;
};

// Guards against a gateway that accepts a key revoked longer ago than its lease
// term, because a suspended, cut off or slow relay has renewed the lease.
TEST(leases_by_relays, never_outlive_their_term)
{
    constexpr unsigned seeds = 3000;
    int renewals = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        lease_simulation simulation(seed);
        ASSERT_TRUE(simulation.run()) << "seed " << seed;
        renewals += simulation.renewals();
    }
    EXPECT_GT(renewals, static_cast<int>(seeds) * 20) << "leases are renewed";
}

} // namespace
} // namespace cyclamenrun
