#include "gateway_program.hpp"

#include <gmock/gmock.h>

namespace cyclamenrun::testing_support
{
namespace
{

using testing::HasSubstr;

/** The gateway program, whose only upstream is in the failure domain "d". */
class evacuating_program : public gateway_program
{
protected:
    void evacuate() { store.put("keyed.op", "evacuate/d", "1"); }
    void end_evacuation() { store.put("keyed.op", "evacuate/d", ""); }

    caller_answer send_request()
    {
        test_caller caller(address);
        caller.send(request_text("k1"));
        return caller.read();
    }

    /** Waits until callers are refused for the evacuation. */
    bool wait_until_evacuated()
    {
        const auto deadline = steady_now() + std::chrono::seconds(10);
        while (steady_now() < deadline) {
            if (send_request().body.find("evacuated") != std::string::npos)
                return true;
            std::this_thread::sleep_for(milliseconds(10));
        }
        return false;
    }

    /** Sends requests for a while; returns how many reached the upstream. */
    std::size_t count_arrived(milliseconds time)
    {
        const auto before = upstream.arrived().size();
        const auto end = steady_now() + time;
        while (steady_now() < end) {
            EXPECT_EQ(send_request().status(), 503U);
            std::this_thread::sleep_for(milliseconds(10));
        }
        return upstream.arrived().size() - before;
    }
};

// Guards against an evacuation that is missed since no configuration comes with
// it, whose value can't be read, or that is taken for an unreadable
// configuration.
TEST_F(evacuating_program, follows_records_with_any_value)
{
    store.put("keyed.op", "evacuate/other", "{}");
    store.put("keyed.op", "evacuate/d", "\xff\xfe no json");
    ASSERT_TRUE(wait_until_evacuated());
    EXPECT_EQ(count_arrived(milliseconds(300)), 0U);
    const auto refused = send_request();
    EXPECT_EQ(refused.status(), 503U);
    EXPECT_GE(std::stod(refused.field("Retry-After")), 1.0);
    EXPECT_TRUE(wait_for_log(R"("event":"domain_evacuated","failure_domain":)"
                             R"("d")"));
    test_caller metrics(process->wait_for_listener("metrics"));
    metrics.send("GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n");
    EXPECT_THAT(metrics.read().body,
                HasSubstr("cyclamenrun_evacuated_domains 2"));
    end_evacuation();
    wait_for_answer("k1", 200);
    EXPECT_TRUE(wait_for_log(R"("event":"evacuation_ended","failure_domain":)"
                             R"("d")"));
    EXPECT_THAT(process->output(), Not(HasSubstr("record_unreadable")));
}

// Guards against a process that starts and sends before it knows what is
// evacuated.
TEST_F(evacuating_program, learns_them_from_its_first_read)
{
    evacuate();
    ASSERT_TRUE(wait_until_evacuated());
    process->signal(SIGKILL);
    process = std::make_unique<child_process>(
        "cyclamenrun-gateway",
        std::vector<std::string>{"--settings", settings.path()});
    ready_address = process->wait_for_listener("ready");
    address = process->wait_until_ready();
    EXPECT_EQ(count_arrived(milliseconds(300)), 0U);
    EXPECT_TRUE(wait_until_evacuated());
    end_evacuation();
    wait_for_answer("k1", 200);
}

// Guards against an evacuation that ends with an outage of the store, before or
// after the lease.
TEST_F(evacuating_program, keeps_them_while_the_store_is_unavailable)
{
    using fault_mode = fake_store::fault_mode;
    evacuate();
    ASSERT_TRUE(wait_until_evacuated());
    for (const auto failure :
         {fault_mode::unresponsive, fault_mode::disconnecting}) {
        store.set_fault_mode(failure);
        EXPECT_EQ(count_arrived(milliseconds(2000)), 0U);
        store.set_fault_mode(fault_mode::healthy);
        EXPECT_TRUE(wait_until_evacuated());
    }
    EXPECT_EQ(count_arrived(milliseconds(300)), 0U);
}

// Guards against a begin or an end that is missed since the store has deleted
// its record: the history is gone, and the whole list has no removed keys.
TEST_F(evacuating_program, rereads_all_when_the_history_is_gone)
{
    const auto lose_history_after = [this](const auto& change) {
        store.set_fault_mode(fake_store::fault_mode::busy);
        change();
        store.put("keyed.op", "other", "1");
        store.drop_history();
        store.set_fault_mode(fake_store::fault_mode::healthy);
    };
    lose_history_after([this] { evacuate(); });
    EXPECT_TRUE(wait_until_evacuated());
    EXPECT_EQ(count_arrived(milliseconds(300)), 0U);
    lose_history_after([this] { end_evacuation(); });
    wait_for_answer("k1", 200);
}

// Guards against an evacuation that a replica which lags cancels: its list of
// the newest records is from before, and is read since the history is gone.
TEST_F(evacuating_program, keeps_them_when_a_list_is_stale)
{
    evacuate();
    ASSERT_TRUE(wait_until_evacuated());
    const auto lists = store.count_of("/log-newest?topic=keyed.op");
    store.set_newest_as_of(1);
    store.put("keyed.op", "other", "1");
    store.set_fault_mode(fake_store::fault_mode::busy);
    store.put("keyed.op", "other", "2");
    store.drop_history();
    store.set_fault_mode(fake_store::fault_mode::healthy);
    EXPECT_EQ(count_arrived(milliseconds(500)), 0U);
    EXPECT_GT(store.count_of("/log-newest?topic=keyed.op"), lists);
    store.set_newest_as_of(std::nullopt);
    EXPECT_TRUE(wait_until_evacuated());
    EXPECT_EQ(count_arrived(milliseconds(300)), 0U);
    end_evacuation();
    wait_for_answer("k1", 200);
}

// Guards against an evacuation that is lost on a page of its own: the store
// lists its newest records on several pages.
TEST_F(evacuating_program, reads_them_from_all_pages)
{
    store.set_page_size(1);
    store.set_fault_mode(fake_store::fault_mode::busy);
    for (const auto* domain : {"b", "c", "d", "e"})
        store.put("keyed.op", std::string("evacuate/") + domain, "1");
    store.drop_history();
    store.set_fault_mode(fake_store::fault_mode::healthy);
    EXPECT_TRUE(wait_until_evacuated());
    EXPECT_EQ(count_arrived(milliseconds(200)), 0U);
}

} // namespace
} // namespace cyclamenrun::testing_support
