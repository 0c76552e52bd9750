#include "gateway_process.hpp"
#include "http_dialect.hpp"
#include "link_reactor.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <utility>

namespace cyclamenrun::testing_support
{
namespace
{

/** Counts feeds destroyed while the loop's thread may still use them. */
template <typename Item>
class watched_feed : public directory_feed<Item>
{
public:
    watched_feed(std::shared_ptr<link_reactor> reactor,
                 std::shared_ptr<std::atomic<int>> ended_in_use)
        : reactor_(std::move(reactor)), ended_in_use_(std::move(ended_in_use))
    {
    }
    watched_feed(const watched_feed&) = delete;
    watched_feed& operator=(const watched_feed&) = delete;
    ~watched_feed() override
    {
        const bool loop_runs = reactor_->post([] {});
        if (loop_runs && !reactor_->on_loop_thread())
            ++*ended_in_use_;
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
    std::shared_ptr<std::atomic<int>> ended_in_use_;
};

// Guards against a crash of a gateway that can't listen, instead of its error:
// its parts are destroyed while its loop still serves the directory, monitors
// and peers with them.
TEST(failed_starts, end_the_loop_before_what_it_uses)
{
    // Shares its port with no other listener.
    Poco::Net::ServerSocket other;
    other.bind(Poco::Net::SocketAddress("127.0.0.1", 0), false);
    other.listen();
    const auto ended_in_use = std::make_shared<std::atomic<int>>(0);
    gateway_platform platform;
    platform.dialect = std::make_shared<platform::http_dialect>();
    platform.configurations = [&](std::shared_ptr<link_reactor> reactor,
                                  const ip_endpoint&) {
        return std::make_shared<watched_feed<configuration_record>>(
            std::move(reactor), ended_in_use);
    };
    platform.upstreams = [&](std::shared_ptr<link_reactor> reactor,
                             const ip_endpoint&) {
        return std::make_shared<watched_feed<upstream_change>>(
            std::move(reactor), ended_in_use);
    };
    gateway_settings settings;
    settings.name = "gateway-1";
    settings.listen = {"127.0.0.1", other.address().port()};
    settings.ready_listen = {"127.0.0.1", 0};
    const auto start = [&] {
        const gateway_process gateway(settings, platform, [&] {
            return settings_outcome<gateway_settings>(settings);
        });
    };
    EXPECT_THROW(start(), Poco::Exception);
    EXPECT_EQ(*ended_in_use, 0);
}

} // namespace
} // namespace cyclamenrun::testing_support
