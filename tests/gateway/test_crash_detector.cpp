#include "crash_detector.hpp"

#include "../support/own_host.hpp"
#include "fake_upstream.hpp"
#include "link_loop.hpp"

#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenrun::testing_support
{
namespace
{

class crash_detectors : public testing::Test
{
protected:
    crash_detectors()
        : upstream([](const arrived_request&,
                      upstream_reply& reply) { reply.wait_for_close(); },
                   own_host(1))
    {
        record.id = "u1";
        record.service = "app";
        record.address = upstream.address();
        run([this] {
            detector = std::make_shared<crash_detector>(
                loop->reactor(),
                [this](const upstream_record&, const lost_request& request) {
                    const std::scoped_lock lock(mutex);
                    crashed.push_back(request.id);
                });
        });
    }

    ~crash_detectors() override
    {
        run([this] { detector->stop(); });
        loop.reset();
    }

    /** Runs a task on the loop's thread and waits for its end. */
    void run(const std::function<void()>& task) const
    {
        std::promise<void> done;
        loop->post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    void lose(const std::string& request) const
    {
        run([&] { detector->record_loss(record, {request}); });
    }

    std::vector<std::string> reported()
    {
        const std::scoped_lock lock(mutex);
        return crashed;
    }

    /** Waits until that many requests were reported; at most two seconds. */
    bool wait_for_reports(std::size_t count)
    {
        const auto deadline = steady_now() + std::chrono::seconds(2);
        while (reported().size() < count && steady_now() < deadline)
            std::this_thread::sleep_for(milliseconds(1));
        return reported().size() == count;
    }

    static void wait(milliseconds time) { std::this_thread::sleep_for(time); }

    fake_upstream upstream;
    upstream_record record;
    std::unique_ptr<link_loop> loop = std::make_unique<link_loop>();
    std::shared_ptr<crash_detector> detector;
    std::mutex mutex;
    std::vector<std::string> crashed; ///< ids of the reported requests
};

// Guards against a crash that is not seen, since an earlier loss at the same
// upstream has just been found to be no crash.
TEST_F(crash_detectors, see_a_crash_after_a_check_that_found_the_upstream_alive)
{
    for (const int pause_ms : {0, 5, 30, 100, 300}) {
        lose("reset");
        wait(milliseconds(pause_ms));
    }
    EXPECT_TRUE(reported().empty());
    upstream.crash();
    lose("crashed");
    ASSERT_TRUE(wait_for_reports(1));
    EXPECT_EQ(reported().back(), "crashed");
}

// Guards against one connection for each request of an upstream that breaks
// many connections, and lives.
TEST_F(crash_detectors, check_an_upstream_rarely_however_many_requests_it_loses)
{
    run([this] {
        for (int i = 0; i < 500; ++i)
            detector->record_loss(record, {std::to_string(i)});
    });
    wait(milliseconds(300));
    EXPECT_TRUE(reported().empty());
    EXPECT_LE(upstream.connections(), 3U);
}

// Guards against a crash that counts for the first of its requests only.
TEST_F(crash_detectors, report_all_requests_of_an_upstream_that_has_crashed)
{
    upstream.crash();
    run([this] {
        for (int i = 0; i < 20; ++i)
            detector->record_loss(record, {std::to_string(i)});
    });
    EXPECT_TRUE(wait_for_reports(20));
    lose("late");
    EXPECT_TRUE(wait_for_reports(21));
}

// Guards against a request that ends inside its own call: a crash that is known
// already would be reported before check() has returned.
TEST_F(crash_detectors, report_a_known_crash_after_the_call_has_returned)
{
    upstream.crash();
    lose("crashed");
    ASSERT_TRUE(wait_for_reports(1));
    bool in_call = true;
    std::promise<bool> reported_inside;
    run([&] {
        detector->check(record, [&](upstream_liveness) {
            reported_inside.set_value(in_call);
        });
        in_call = false;
    });
    EXPECT_FALSE(reported_inside.get_future().get());
}

// Guards against a healthy process that is taken for crashed since its
// predecessor under the same id was.
TEST_F(crash_detectors, start_anew_with_another_process_under_the_same_id)
{
    upstream.crash();
    lose("crashed");
    ASSERT_TRUE(wait_for_reports(1));
    const fake_upstream successor(
        [](const arrived_request&, upstream_reply& reply) {
            reply.wait_for_close();
        },
        own_host(1));
    record.address = successor.address();
    record.started_ms = 7;
    lose("reset");
    wait(milliseconds(100));
    EXPECT_EQ(reported().size(), 1U);
}

} // namespace
} // namespace cyclamenrun::testing_support
