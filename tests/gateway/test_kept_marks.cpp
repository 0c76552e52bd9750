#include "gateway_program.hpp"
#include "kept_marks.hpp"
#include "peers.pb.h"
#include "poison_guard.hpp"

#include <atomic>
#include <random>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr const char* marks_topic = "keyed.poison";

/**
 * A gateway program that is killed and started again, and upstreams that crash
 * when they run a request with the body "deadly".
 */
class kept_marks : public testing::Test
{
protected:
    kept_marks() : settings(settings_text_without_lease(store), "kept-marks")
    {
        store.put("keyed.op", "config", configuration_text(1, "k1"));
        for (int i = 0; i < 24; ++i)
            add_upstream("u" + std::to_string(100 + i));
        start();
    }

    void add_upstream(const std::string& id)
    {
        upstreams.push_back(std::make_unique<fake_upstream>(
            [this, at = upstreams.size()](const arrived_request& request,
                                          upstream_reply& reply) {
                const bool is_deadly =
                    request.body == "deadly" ||
                    (request.body == "once" && is_deadly_once.exchange(false));
                if (!is_deadly) {
                    reply.answer(request, 200, "good");
                    return;
                }
                ++crashes;
                store_remove(at);
                upstreams[at]->crash();
            }));
        store.put("keyed.servers", id,
                  R"({"service":"app","address":")" +
                      to_string(upstreams.back()->address()) +
                      R"(","zone":"d","slots":4,"state":"ready"})");
        ids.push_back(id);
    }

    void store_remove(std::size_t at)
    {
        store.put("keyed.servers", ids[at], "");
    }

    void start()
    {
        process = std::make_unique<child_process>(
            "cyclamenrun-gateway",
            std::vector<std::string>{"--settings", settings.path()});
        (void)process->wait_for_listener("ready");
        address = process->wait_until_ready();
        EXPECT_TRUE(answers("sound", 200));
    }

    void kill_and_start()
    {
        process.reset();
        start();
    }

    unsigned status_of(const std::string& body)
    {
        test_caller caller(address);
        caller.send("POST /a/x HTTP/1.1\r\nHost: test.example\r\n"
                    "Attempt-Id: r" +
                    std::to_string(++last_id) +
                    "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 4000\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller.read().status();
    }

    /** Sends requests with this body until one gets this status. */
    bool answers(const std::string& body, unsigned status)
    {
        const auto deadline = steady_now() + std::chrono::seconds(10);
        while (steady_now() < deadline) {
            if (status_of(body) == status)
                return true;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }

    /** Waits until the store has this many marks. */
    bool store_has(std::size_t count)
    {
        const auto deadline = steady_now() + std::chrono::seconds(10);
        while (store.newest(marks_topic).size() != count) {
            if (steady_now() >= deadline)
                return false;
            std::this_thread::sleep_for(milliseconds(10));
        }
        return true;
    }

    fake_store store;
    std::atomic<int> crashes = 0;
    /** Whether the next request with the body "once" is deadly. */
    std::atomic<bool> is_deadly_once = false;
    std::vector<std::unique_ptr<fake_upstream>> upstreams;
    std::vector<std::string> ids; ///< of the upstreams
    temporary_settings_file settings;
    std::unique_ptr<child_process> process;
    std::string address; ///< for callers
    int last_id = 0;     ///< of the requests so far
};

// Guards against a request that crashes two more upstreams each time that all
// gateways are killed, since what is known of it ends with them.
TEST_F(kept_marks, outlast_the_end_of_all_gateways)
{
    (void)status_of("deadly");
    EXPECT_EQ(status_of("deadly"), 503U);
    EXPECT_TRUE(store_has(1));
    for (int i = 0; i < 10; ++i) {
        kill_and_start();
        EXPECT_EQ(status_of("deadly"), 503U);
    }
    EXPECT_EQ(crashes, 2);
}

// Guards against the same, with a kill after each first crash, before a request
// is convicted.
TEST_F(kept_marks, are_of_single_losses_too)
{
    store_remove(0);
    for (std::size_t i = 2; i < upstreams.size(); ++i)
        store_remove(i);
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(answers("sound", 200));
        (void)status_of("deadly");
        EXPECT_TRUE(store_has(1));
        add_upstream("v" + std::to_string(i));
        kill_and_start();
    }
    EXPECT_EQ(crashes, 2);
    EXPECT_EQ(status_of("deadly"), 503U);
}

// Guards against a sound request that is suspected after a restart, as a loss
// of which it was cleared is still kept.
TEST_F(kept_marks, are_removed_when_a_request_is_cleared)
{
    for (std::size_t i = 1; i < upstreams.size(); ++i)
        store_remove(i);
    std::this_thread::sleep_for(milliseconds(500));
    is_deadly_once = true;
    EXPECT_NE(status_of("once"), 200U);
    EXPECT_TRUE(store_has(1));
    add_upstream("v");
    EXPECT_TRUE(answers("once", 200));
    EXPECT_TRUE(store_has(0));
    kill_and_start();
    EXPECT_EQ(status_of("once"), 200U);
    EXPECT_EQ(crashes, 1);
}

// Guards against the loss of what another writer keeps there.
TEST_F(kept_marks, leave_other_records_alone)
{
    (void)status_of("deadly");
    EXPECT_TRUE(store_has(1));
    store.put(marks_topic, "foreign", "no marks");
    kill_and_start();
    EXPECT_EQ(status_of("deadly"), 503U);
    EXPECT_TRUE(store_has(2));
}

// Guards against marks that are taken for kept: the store's answer names no
// offset, so it has not acknowledged them.
TEST_F(kept_marks, are_written_until_the_store_acknowledges_them)
{
    store.acknowledges = false;
    (void)status_of("deadly");
    const auto deadline = steady_now() + std::chrono::seconds(10);
    while (store.count_of("/log-append") < 3 && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(10));
    EXPECT_GE(store.count_of("/log-append"), 3U);
    EXPECT_LE(store.count_of("/log-append"), 10U);
    store.acknowledges = true;
    std::this_thread::sleep_for(milliseconds(3000));
    const auto acknowledged = store.count_of("/log-append");
    std::this_thread::sleep_for(milliseconds(3000));
    EXPECT_EQ(store.count_of("/log-append"), acknowledged);
}

// Guards against a gateway that serves nothing, since it can't read the marks.
TEST_F(kept_marks, that_can_not_be_read_stop_no_request)
{
    store.put(marks_topic, "unreadable", std::string(300, '\xff'));
    kill_and_start();
    EXPECT_EQ(status_of("sound"), 200U);
}

// Guards against marks that a restart makes younger or older, and against
// records that are taken for marks.
TEST(kept_mark_texts, keep_keys_and_ages)
{
    const mark_key key{mark_kind::clearance, 0xc0ffee};
    EXPECT_EQ(mark_key_text(key), "part-0000000000c0ffee");
    EXPECT_EQ(read_mark_key(mark_key_text(key)), key);
    const mark_key request{mark_kind::request, ~std::uint64_t(0)};
    EXPECT_EQ(read_mark_key(mark_key_text(request)), request);
    for (const auto* text : {"", "request-", "request-1", "part-xyz",
                             "request-00000000000000001", "other-1"})
        EXPECT_FALSE(read_mark_key(text)) << text;
    link::PoisonMark mark;
    mark.set_fingerprint(7);
    mark.set_age_ms(100);
    const auto text = kept_marks_text({mark}, 50'000);
    const auto read = read_kept_marks(text, 53'000);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->front().age_ms(), 3100U);
    // The time of day may have been set back.
    EXPECT_EQ(read_kept_marks(text, 1000)->front().age_ms(), 100U);
    EXPECT_FALSE(read_kept_marks("", 1000));
    EXPECT_FALSE(read_kept_marks("no marks", 1000));
}

// Guards against a crash that is taken for an earlier one of the same upstream
// id, which the gateways have heard of only from the store.
TEST(kept_mark_texts, tell_the_crashes_of_one_id_apart)
{
    std::mt19937_64 random(1);
    const time_point now(std::chrono::hours(2));
    const auto marks_of_crash = [&](std::int64_t started_ms) {
        poison_guard guard(random);
        guard.record_start("u", started_ms);
        lost_run run;
        run.work = suspected_work(7);
        run.lost_at = run.sent_at = now;
        guard.record_crash("u", run, now);
        return guard.lasting_marks({mark_kind::request, 7}, now);
    };
    v1::PeerMessage kept;
    for (const auto& mark : marks_of_crash(1000))
        *kept.add_marks() = mark;
    poison_guard restarted(random);
    restarted.merge(kept, now);
    EXPECT_FALSE(restarted.is_poison(suspected_work(7), now));
    for (const auto& mark : marks_of_crash(2000))
        *kept.add_marks() = mark;
    restarted.merge(kept, now);
    EXPECT_TRUE(restarted.is_poison(suspected_work(7), now));
}

} // namespace
} // namespace cyclamenrun::testing_support
