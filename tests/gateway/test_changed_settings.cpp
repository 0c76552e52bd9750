#include "gateway_program.hpp"

#include <csignal>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway program whose settings file changes while it serves. */
class changed_settings : public gateway_program
{
protected:
    void put_into(fake_store& other, bool with_upstream) const
    {
        other.put("keyed.op", "config", configuration_text(1, "k1"));
        if (with_upstream)
            other.put("keyed.servers", "i-1",
                      R"({"service":"app","address":")" +
                          to_string(upstream.address()) +
                          R"(","zone":"d","slots":4,"version":"v1",)"
                          R"("state":"ready"})");
    }

    /** Sends requests for some time; returns the number of other answers. */
    int count_failures_for(milliseconds time)
    {
        int failures = 0;
        const auto end = steady_now() + time;
        test_caller caller(address);
        while (steady_now() < end) {
            caller.send(request_text("k1"));
            const auto answer = caller.read();
            if (!answer.whole || answer.status() != 200)
                ++failures;
            if (!answer.whole || answer.field("Connection") == "close")
                caller = test_caller(address);
            std::this_thread::sleep_for(milliseconds(5));
        }
        return failures;
    }
};

// Guards against upstreams that are taken for gone when the store has been
// down and another takes its place: their records may have expired meanwhile,
// and are renewed within two seconds.
TEST_F(changed_settings, upstreams_outlast_an_outage_that_ends_at_another_store)
{
    fake_store other;
    put_into(other, false);
    store.set_fault_mode(fake_store::fault_mode::disconnecting);
    ASSERT_TRUE(wait_for_log("directory_lost"));
    settings.write(gateway_settings_text(other));
    process->signal(SIGHUP);
    ASSERT_TRUE(wait_for_log("settings_reloaded"));
    while (other.count_of("/log-newest?topic=keyed.servers") == 0)
        std::this_thread::sleep_for(milliseconds(1));
    EXPECT_EQ(count_failures_for(milliseconds(600)), 0);
    put_into(other, true);
    EXPECT_EQ(count_failures_for(milliseconds(2500)), 0);
}

// Guards against requests and streams that a series of reloads ends.
TEST_F(changed_settings, requests_end_whole_across_a_series_of_reloads)
{
    answer_stream = [](const arrived_request& request, upstream_reply& reply) {
        reply.begin_stream(request);
        for (int id = 1; id <= 30; ++id) {
            reply.event(id);
            std::this_thread::sleep_for(milliseconds(50));
        }
        reply.end_stream();
    };
    fake_store other;
    put_into(other, true);
    std::atomic<bool> ended = false;
    std::thread reloads([&] {
        for (int i = 0; !ended; ++i) {
            if (i % 3 == 1)
                settings.write("name = 7\n");
            else
                settings.write(
                    gateway_settings_text(i % 2 == 0 ? other : store));
            process->signal(SIGHUP);
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    test_caller stream(address);
    stream.send(request_text("k1", "/s/x"));
    EXPECT_EQ(count_failures_for(milliseconds(2000)), 0);
    const auto answer = stream.read();
    ended = true;
    reloads.join();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status(), 200U);
}

// Guards against a process that keeps an old setting until a signal comes:
// only a changed address of the store was noticed without one.
TEST_F(changed_settings, any_change_is_noticed_without_a_signal)
{
    auto text = gateway_settings_text(store);
    const std::string old = "grace_s = 5";
    text.replace(text.find(old), old.size(), "grace_s = 6");
    settings.write(text);
    EXPECT_TRUE(wait_for_log("settings_reloaded"));
}

// Guards against a stop that a second SIGTERM or a reload cuts short.
TEST_F(changed_settings, a_request_ends_whole_when_signals_come_in_a_stop)
{
    may_answer = false;
    test_caller caller(address);
    caller.send(request_text("k1"));
    upstream.wait_for(2);
    for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGHUP}) {
        process->signal(signal);
        std::this_thread::sleep_for(milliseconds(150));
    }
    may_answer = true;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(process->wait(), 0);
}

// Guards against a start that a signal to reload ends.
TEST_F(changed_settings, a_process_that_is_told_to_reload_at_once_starts)
{
    temporary_settings_file own(gateway_settings_text(store), "second");
    child_process second("cyclamenrun-gateway", {"--settings", own.path()});
    second.wait_for_listener("ready");
    for (int i = 0; i < 20; ++i)
        second.signal(SIGHUP);
    test_caller caller(second.wait_until_ready());
    second.signal(SIGTERM);
    EXPECT_EQ(second.wait(), 0);
}

} // namespace
} // namespace cyclamenrun::testing_support
