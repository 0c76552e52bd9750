#include "gateway_fixture.hpp"

#include <atomic>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr std::size_t kib = 1024;

/** A gateway whose configuration changes while requests are in flight. */
class changed_configurations : public gateway_fixture
{
protected:
    ~changed_configurations() override
    {
        may_end = true;
        gateway.reset();
        upstreams.clear();
    }

    void start_with(const gateway_limits& limits)
    {
        start(false);
        apply(with(limits));
        const auto respond = [this](const arrived_request& request,
                                    upstream_reply& reply) {
            answer(request, reply);
        };
        add("u1", respond);
        add("m1", respond, "model");
    }

    /** The next version of the configuration, with these limits. */
    gateway_configuration with(const gateway_limits& limits)
    {
        auto next = configuration();
        next.version = ++applied_version;
        next.limits = limits;
        return next;
    }

    void answer(const arrived_request& request, upstream_reply& reply) const
    {
        const bool streams = request.head.target.starts_with("/gen/");
        if (streams) {
            reply.begin_stream(request);
            reply.event(1);
        }
        while (waits && !may_end)
            std::this_thread::sleep_for(milliseconds(1));
        if (!streams) {
            reply.answer(request, 200, "hello");
            return;
        }
        reply.event(2);
        reply.end_stream();
    }

    /**
     * Returns the statuses of a plain request and of a stream that run while
     * `change` is made; 0 for an answer that is not whole.
     */
    std::pair<unsigned, unsigned>
    statuses_across(const std::function<void()>& change)
    {
        start_with({});
        waits = true;
        test_caller plain(gateway->address());
        test_caller stream(gateway->address());
        plain.send(request("/plain/x"));
        upstreams[0]->wait_for(1);
        stream.send(request("/gen/x"));
        EXPECT_TRUE(stream.wait_for_body(event_text(1)));
        change();
        may_end = true;
        const auto read = [](test_caller& caller) {
            const auto answer = caller.read();
            return answer.whole ? answer.status() : 0U;
        };
        const auto first = read(plain);
        return {first, read(stream)};
    }

    std::atomic<bool> waits = false;
    std::atomic<bool> may_end = false;
    std::uint64_t applied_version = 0;
};

constexpr std::pair<unsigned, unsigned> both_whole{200, 200};

gateway_limits small_limits()
{
    gateway_limits limits;
    limits.header_bytes = 1 * kib;
    limits.body_bytes = 1 * kib;
    return limits;
}

// Guards against requests that the configuration allows and that are refused
// since their connection was opened under a lower limit on bodies.
TEST_F(changed_configurations, a_higher_limit_on_bodies_holds_at_kept_callers)
{
    start_with(small_limits());
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    EXPECT_EQ(caller.read().status(), 200U);
    apply(with({}));
    caller.send(request("/plain/x", "k1", "", std::string(8 * kib, 'x')));
    EXPECT_EQ(caller.read().status(), 200U);
}

// The same for heads, on a connection that has had no request yet.
TEST_F(changed_configurations, a_higher_limit_on_heads_holds_at_open_callers)
{
    start_with(small_limits());
    test_caller caller(gateway->address());
    // The connection is accepted before the configuration changes.
    while (state().find("\"connections\":1,") == std::string::npos)
        std::this_thread::sleep_for(milliseconds(1));
    apply(with({}));
    caller.send(request("/plain/x", "k1",
                        "X-Own: " + std::string(4 * kib, 'x') + "\r\n"));
    EXPECT_EQ(caller.read().status(), 200U);
}

// Guards against connections that are read for ever under the limits with
// which they were opened.
TEST_F(changed_configurations, a_lower_limit_on_bodies_holds_at_kept_callers)
{
    start_with({});
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    EXPECT_EQ(caller.read().status(), 200U);
    apply(with(small_limits()));
    caller.send(request("/plain/x", "k1", "", std::string(8 * kib, 'x')));
    EXPECT_EQ(caller.read().status(), 413U);
}

// Guards against a request that is refused midway: it began under a
// configuration that allows it.
TEST_F(changed_configurations, limits_that_fall_do_not_end_a_begun_request)
{
    start_with({});
    test_caller caller(gateway->address());
    const auto text = request("/plain/x", "k1", "", std::string(8 * kib, 'x'));
    caller.send(text.substr(0, 4 * kib));
    std::this_thread::sleep_for(milliseconds(50));
    auto limits = small_limits();
    limits.idle_timeout = milliseconds(100);
    limits.header_timeout = milliseconds(100);
    apply(with(limits));
    std::this_thread::sleep_for(milliseconds(400));
    caller.send(text.substr(4 * kib));
    EXPECT_EQ(caller.read().status(), 200U);
}

// Guards against connections closed while their callers take them for open:
// callers reuse them within the newest idle timeout.
TEST_F(changed_configurations, a_longer_idle_timeout_holds_at_idle_callers)
{
    gateway_limits limits;
    limits.idle_timeout = milliseconds(600);
    start_with(limits);
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    EXPECT_EQ(caller.read().status(), 200U);
    apply(with({}));
    std::this_thread::sleep_for(milliseconds(1300));
    caller.send(request("/plain/x"));
    EXPECT_EQ(caller.read().status(), 200U);
}

// Guards against connections closed within the idle timeout under which they
// became idle, which their callers rely on.
TEST_F(changed_configurations, a_shorter_idle_timeout_leaves_idle_callers_alone)
{
    start_with({});
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    EXPECT_EQ(caller.read().status(), 200U);
    gateway_limits limits;
    limits.idle_timeout = milliseconds(300);
    apply(with(limits));
    std::this_thread::sleep_for(milliseconds(900));
    caller.send(request("/plain/x"));
    EXPECT_EQ(caller.read().status(), 200U);
}

// The following guard against requests in flight that a change of the
// configuration or of the upstreams cuts.

TEST_F(changed_configurations, requests_end_whole_when_their_route_goes)
{
    EXPECT_EQ(statuses_across([this] {
                  auto next = with({});
                  next.routes.erase(next.routes.begin());
                  std::erase_if(next.routes, [](const auto& route) {
                      return route.path_prefix == "/gen/";
                  });
                  apply(next);
              }),
              both_whole);
}

TEST_F(changed_configurations, requests_end_whole_when_their_key_goes)
{
    EXPECT_EQ(statuses_across([this] {
                  auto next = with({});
                  next.teams.clear();
                  apply(next);
              }),
              both_whole);
}

TEST_F(changed_configurations, requests_end_whole_when_their_service_goes)
{
    EXPECT_EQ(statuses_across([this] {
                  auto next = with({});
                  next.services.erase(next.services.begin());
                  for (auto& route : next.routes)
                      for (auto& choice : route.services)
                          choice.service = "other";
                  apply(next);
              }),
              both_whole);
}

TEST_F(changed_configurations, requests_end_whole_when_timeouts_fall)
{
    EXPECT_EQ(statuses_across([this] {
                  gateway_limits limits = small_limits();
                  limits.idle_timeout = milliseconds(100);
                  limits.header_timeout = milliseconds(100);
                  auto next = with(limits);
                  for (auto& route : next.routes)
                      route.timeout = milliseconds(100);
                  apply(next);
                  std::this_thread::sleep_for(milliseconds(600));
              }),
              both_whole);
}

TEST_F(changed_configurations, requests_end_whole_when_upstreams_get_new_ids)
{
    EXPECT_EQ(statuses_across([this] {
                  for (auto record : records) {
                      record.id += "-next";
                      ++record.started_ms;
                      publish_record(record);
                  }
                  wait_for_upstreams(4);
                  remove_upstream("u1");
                  remove_upstream("m1");
                  std::this_thread::sleep_for(milliseconds(200));
              }),
              both_whole);
}

TEST_F(changed_configurations, requests_end_whole_when_upstreams_are_unlisted)
{
    EXPECT_EQ(statuses_across([this] {
                  drain("u1");
                  drain("m1");
                  std::this_thread::sleep_for(milliseconds(50));
                  remove_upstream("u1");
                  remove_upstream("m1");
                  std::this_thread::sleep_for(milliseconds(200));
              }),
              both_whole);
}

} // namespace
} // namespace cyclamenrun::testing_support
