#include "../support/free_port.hpp"
#include "copy_turn_search.hpp"

#include "http_dialect.hpp"
#include "paused_loops.hpp"
#include "scripted_monitor.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace cyclamenrun::testing_support
{
namespace
{

using notice = std::optional<v1::MonitorNotice>;

/** How a monitor answers requests for copy turns. */
enum class answer : std::uint8_t { given, waits, refused, none };

scripted_monitor::script always(answer kind)
{
    return [kind](const v1::MonitorRequest& request) -> notice {
        v1::MonitorNotice reply;
        if (request.turn_wanted().empty() || kind == answer::none)
            return std::nullopt;
        if (kind == answer::given)
            reply.set_turn_given(request.turn_wanted());
        else if (kind == answer::waits)
            reply.set_turn_waits(request.turn_wanted());
        else
            reply.set_turn_refused(request.turn_wanted());
        return reply;
    };
}

bool ends_turn(const v1::MonitorRequest& request)
{
    return !request.turn_ended().empty();
}

/** A monitor on a simulated loop, that replies after a delay. */
class simulated_monitor
{
public:
    simulated_monitor(const paused_loops::loop& loop, const std::string& host,
                      std::uint16_t port, scripted_monitor::script respond,
                      milliseconds delay)
        : loop_(loop), respond_(std::move(respond)), delay_(delay),
          socket_(std::make_shared<datagram_socket>(
              loop, ip_endpoint{host, port},
              [this](const ip_endpoint& from, std::string_view bytes) {
                  receive(from, bytes);
              }))
    {
        socket_->start();
    }

    bool received(bool (*matches)(const v1::MonitorRequest&)) const
    {
        return std::any_of(received_.begin(), received_.end(), matches);
    }

private:
    void receive(const ip_endpoint& from, std::string_view bytes)
    {
        v1::MonitorRequest request;
        if (!request.ParseFromArray(bytes.data(),
                                    static_cast<int>(bytes.size())))
            return;
        received_.push_back(request);
        const auto reply = respond_(request);
        if (!reply)
            return;
        loop_->post_at(
            loop_->now() + delay_,
            [socket = socket_, from, text = reply->SerializeAsString()] {
                socket->send(from, text);
            });
    }

    paused_loops::loop loop_;
    scripted_monitor::script respond_;
    milliseconds delay_;
    std::shared_ptr<datagram_socket> socket_;
    std::vector<v1::MonitorRequest> received_;
};

/**
 * Engines on separate hosts with monitors, and the search of a destination
 * among them, on virtual time.
 */
class copy_turn_searches : public testing::Test
{
protected:
    copy_turn_searches() : port(free_port())
    {
        context = std::make_unique<gateway_context>(
            gateway_loop, std::make_shared<platform::http_dialect>(),
            upstream_registry::hooks(), retry_budget_settings(), std::nullopt,
            1);
        monitor_link::hooks on;
        on.load = [](const ip_endpoint&, const engine_load&) {};
        on.identity = [](const ip_endpoint&, const std::string&) {};
        on.gateways = [](unsigned) {};
        on.hosts = [] { return std::set<std::string>(); };
        on.health_target = [] { return std::string(); };
        context->monitors = std::make_shared<monitor_link>(
            gateway_loop, ip_endpoint{"127.0.0.1", 0}, port, "g",
            std::move(on));
        context->monitors->start();
    }

    ~copy_turn_searches() override
    {
        search.reset();
        loops.stop();
    }

    simulated_monitor& add(const std::string& host,
                           scripted_monitor::script respond,
                           milliseconds delay = milliseconds(0))
    {
        upstream_record record;
        record.id = "on-" + host;
        record.service = "model";
        record.failure_domain = "of-" + host;
        record.address = {host, 80};
        record.slots = 8;
        engines.push_back(record);
        context->upstreams.apply({record.id, record}, {}, false);
        monitors.push_back(std::make_unique<simulated_monitor>(
            monitor_loop, host, port, std::move(respond), delay));
        return *monitors.back();
    }

    void begin()
    {
        copy_turn_search::hooks on;
        on.candidates = [this](const std::vector<std::string>& exclude,
                               std::size_t count) {
            std::vector<upstream_record> left;
            for (const auto& each : engines) {
                if (left.size() < count &&
                    !context->choice.is_evacuated(each) &&
                    std::find(exclude.begin(), exclude.end(), each.id) ==
                        exclude.end())
                    left.push_back(each);
            }
            return left;
        };
        on.cost = [this](const upstream_record& engine) {
            return engine.id == cheapest ? 0.0 : 1.0;
        };
        on.found = [this](const upstream_record& to) { result = to.id; };
        on.none = [this] { result = "none"; };
        search = std::make_shared<copy_turn_search>(*context, "r1", 100,
                                                    std::move(on));
        search->start();
    }

    std::string wait_for_result()
    {
        const auto deadline = loops.now() + std::chrono::seconds(10);
        while (result.empty() && loops.now() < deadline)
            run_for(milliseconds(1));
        run_for(milliseconds(5));
        return result;
    }

    void run_for(milliseconds time) { loops.run_until(loops.now() + time); }

    std::uint16_t port;
    paused_loops loops;
    paused_loops::loop gateway_loop = loops.add();
    paused_loops::loop monitor_loop = loops.add();
    std::unique_ptr<gateway_context> context;
    std::shared_ptr<copy_turn_search> search;
    std::vector<upstream_record> engines;
    std::vector<std::unique_ptr<simulated_monitor>> monitors;
    std::string cheapest;
    std::string result;
};

// Guards against copies that queue while other links are idle: many generations
// leave at once and select the same destination, and the reclaim notice expires
// while they wait.
TEST_F(copy_turn_searches, use_an_engine_whose_link_is_free)
{
    const auto& busy = add("127.0.0.2", always(answer::waits));
    const auto& idle = add("127.0.0.3", always(answer::given));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
    EXPECT_TRUE(busy.received(ends_turn))
        << "the turn at the busy link was not released";
    EXPECT_FALSE(idle.received(ends_turn));
    search->end();
    run_for(milliseconds(5));
    EXPECT_TRUE(idle.received(ends_turn));
}

TEST_F(copy_turn_searches, use_the_better_of_two_turns)
{
    const auto& other = add("127.0.0.2", always(answer::given));
    add("127.0.0.3", always(answer::given), milliseconds(3));
    cheapest = "on-127.0.0.3";
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
    EXPECT_TRUE(other.received(ends_turn));
}

// Guards against the worse of two engines when the gateway pauses after the
// first grant: the second one has arrived, and was not read.
TEST_F(copy_turn_searches, use_the_better_of_two_turns_after_a_pause)
{
    add("127.0.0.2", always(answer::given));
    add("127.0.0.3", always(answer::given), milliseconds(3));
    cheapest = "on-127.0.0.3";
    begin();
    run_for(milliseconds(2));
    ASSERT_TRUE(result.empty());
    loops.pause(gateway_loop, loops.now(), milliseconds(50));
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
}

// Guards against a search that ends at the first refusals, which come from
// engines that leave or have filled up.
TEST_F(copy_turn_searches, continue_after_refusals)
{
    for (const auto* host :
         {"127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5", "127.0.0.6"})
        add(host, always(answer::refused));
    add("127.0.0.7", always(answer::given));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.7");
}

TEST_F(copy_turn_searches, end_when_all_have_refused)
{
    add("127.0.0.2", always(answer::refused));
    add("127.0.0.3", always(answer::refused));
    begin();
    EXPECT_EQ(wait_for_result(), "none");
}

// Guards against waiting while the links of all requested engines are busy.
TEST_F(copy_turn_searches, request_more_engines_while_links_are_busy)
{
    for (const auto* host :
         {"127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5"})
        add(host, always(answer::waits));
    add("127.0.0.6", always(answer::given));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.6");
}

// Guards against a copy to an engine that leaves, when the directory reports it
// before the engine's monitor does.
TEST_F(copy_turn_searches, use_no_engine_that_leaves)
{
    add("127.0.0.2", always(answer::given));
    add("127.0.0.3", always(answer::given));
    cheapest = "on-127.0.0.2";
    auto leaving = engines.front();
    leaving.draining = true;
    context->upstreams.apply({leaving.id, leaving}, {}, false);
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
}

// Guards against a copy to an engine whose failure domain is evacuated after
// its turn was granted, and against a search that holds such turns for ever.
TEST_F(copy_turn_searches, use_no_engine_of_an_evacuated_domain)
{
    const auto& granted = add("127.0.0.2", always(answer::given));
    const auto& waiting = add("127.0.0.3", always(answer::waits));
    begin();
    run_for(milliseconds(3));
    ASSERT_TRUE(result.empty());
    (void)context->evacuated.update(
        {{"of-127.0.0.2", true}, {"of-127.0.0.3", true}}, true, 1);
    EXPECT_EQ(wait_for_result(), "none");
    EXPECT_TRUE(granted.received(ends_turn));
    EXPECT_TRUE(waiting.received(ends_turn));
}

// Guards against a process that ends by a corrupted heap: a search without
// candidates reports inside start(), its owner drops it, and start() goes on.
TEST_F(copy_turn_searches, report_that_there_is_none_after_start_has_returned)
{
    bool in_start = true;
    bool inside_start = false;
    copy_turn_search::hooks on;
    on.candidates = [](const std::vector<std::string>&, std::size_t) {
        return std::vector<upstream_record>();
    };
    on.none = [&] {
        inside_start = in_start;
        result = "none";
        search.reset();
    };
    search =
        std::make_shared<copy_turn_search>(*context, "r1", 100, std::move(on));
    search->start();
    in_start = false;
    EXPECT_EQ(wait_for_result(), "none");
    EXPECT_FALSE(inside_start);
    // The timers of a search that was dropped have no effect.
    run_for(milliseconds(200));
}

// Guards against a result for an owner that has ended the search meanwhile.
TEST_F(copy_turn_searches, report_nothing_after_their_end)
{
    begin();
    search->end();
    run_for(milliseconds(200));
    EXPECT_TRUE(result.empty());
}

// Guards against a failed move when the monitor of the only engine has crashed:
// a copy that competes with others is better than none.
TEST_F(copy_turn_searches, use_an_engine_without_a_monitor_as_a_last_resort)
{
    add("127.0.0.2", always(answer::none));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.2");
}

} // namespace
} // namespace cyclamenrun::testing_support
