#include "fake_upstream.hpp"
#include "http_dialect.hpp"
#include "link_reactor.hpp"
#include "monitor_process.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <utility>

namespace cyclamenrun::testing_support
{
namespace
{

/** Counts feeds destroyed on the loop's thread or after the loop has ended. */
template <typename Item>
class watched_feed : public directory_feed<Item>
{
public:
    watched_feed(std::shared_ptr<link_reactor> reactor,
                 std::shared_ptr<std::atomic<int>> ended_safely)
        : reactor_(std::move(reactor)), ended_safely_(std::move(ended_safely))
    {
    }
    watched_feed(const watched_feed&) = delete;
    watched_feed& operator=(const watched_feed&) = delete;
    ~watched_feed() override
    {
        const bool loop_has_ended = !reactor_->post([] {});
        if (loop_has_ended || reactor_->on_loop_thread())
            ++*ended_safely_;
    }

    using typename directory_feed<Item>::answer_handler;
    using typename directory_feed<Item>::page_handler;

    void read_newest(time_point /*deadline*/, answer_handler /*on_answer*/,
                     page_handler /*on_page*/) override
    {
    }
    void read_from(std::uint64_t /*offset*/, milliseconds /*wait*/,
                   time_point /*deadline*/,
                   answer_handler /*on_answer*/) override
    {
    }

private:
    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<std::atomic<int>> ended_safely_;
};

// Guards against a race when a monitor stops while its loop still reads the
// directory: two threads change the loop's table of sockets, and the process
// aborts or hangs.
TEST(monitor_process, ends_its_loop_before_its_feeds)
{
    fake_upstream engine(
        [](const arrived_request& request, upstream_reply& reply) {
            reply.answer(request, 200, "{}");
        });
    const auto ended_safely = std::make_shared<std::atomic<int>>(0);
    monitor_settings settings;
    // Uses a separate host: the relay listens on the port of the monitor's
    // datagrams, which a connection of another test may occupy.
    settings.listen = {"127.0.0.9", 0};
    settings.engine = engine.address();
    settings.directory = engine.address();
    monitor_platform platform;
    platform.dialect = std::make_shared<platform::http_dialect>();
    platform.feeds = [&](const std::shared_ptr<link_reactor>& reactor,
                         const ip_endpoint&) {
        return relay_feeds{
            std::make_shared<watched_feed<configuration_text_record>>(
                reactor, ended_safely),
            std::make_shared<watched_feed<upstream_change>>(reactor,
                                                            ended_safely)};
    };
    auto process = std::make_unique<monitor_process>(settings, platform);
    ASSERT_NO_THROW(
        Poco::Net::StreamSocket(Poco::Net::SocketAddress(process->address())))
        << "the monitor has no relay listener";
    process.reset();
    EXPECT_EQ(*ended_safely, 2);
}

} // namespace
} // namespace cyclamenrun::testing_support
