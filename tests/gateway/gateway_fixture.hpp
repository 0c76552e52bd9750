#ifndef CYCLAMENRUN_TESTS_GATEWAY_FIXTURE_HPP
#define CYCLAMENRUN_TESTS_GATEWAY_FIXTURE_HPP

#include "fake_upstream.hpp"
#include "gateway_process.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/** A directory feed whose records a test adds. */
template <typename Item>
class pushed_feed : public directory_feed<Item>
{
public:
    using typename directory_feed<Item>::answer_handler;
    using typename directory_feed<Item>::page_handler;

    explicit pushed_feed(std::shared_ptr<link_reactor> reactor)
        : reactor_(std::move(reactor))
    {
    }

    /** Appends a record, which the feed's follower receives. Thread-safe. */
    void push(Item item)
    {
        reactor_->post([this, item = std::move(item)] {
            items_.push_back(item);
            answer_waiting();
        });
    }

    void read_newest(time_point, answer_handler on_answer,
                     page_handler) override
    {
        on_answer(directory_page<Item>{items_, items_.size()});
    }
    void read_from(std::uint64_t offset, milliseconds, time_point,
                   answer_handler on_answer) override
    {
        from_ = offset;
        waiting_ = std::move(on_answer);
        answer_waiting();
    }

private:
    void answer_waiting()
    {
        if (!waiting_ || items_.size() <= from_)
            return;
        directory_page<Item> page;
        for (auto offset = from_; offset < items_.size(); ++offset) {
            page.items.push_back(items_[offset]);
            page.offsets.push_back(offset);
        }
        page.next_offset = items_.size();
        const auto answer = std::exchange(waiting_, nullptr);
        answer(std::move(page));
    }

    std::shared_ptr<link_reactor> reactor_;
    std::vector<Item> items_;
    std::uint64_t from_ = 0;
    answer_handler waiting_;
};

/** A response as a caller has read it. */
struct caller_answer {
    http_head head;
    std::string body;
    bool whole = false;     ///< received to its end
    bool malformed = false; ///< the response has bytes that don't parse

    unsigned status() const { return head.status; }
    std::string field(const std::string& name) const
    {
        return std::string(head.find(name).value_or(""));
    }
};

/** A caller's connection to the gateway. */
class test_caller
{
public:
    explicit test_caller(const std::string& address);
    /** `receive_buffer`: bytes that the operating system keeps unread. */
    test_caller(const std::string& address, int receive_buffer);

    void send(const std::string& bytes);
    /** Sends no more, but goes on reading. */
    void end_sending() { socket_.shutdownSend(); }
    /** Reads one response, or the part of it that arrives. */
    caller_answer read();
    /** Reads until the body contains the text; false if it never does. */
    bool wait_for_body(const std::string& text);
    void disconnect() { socket_.close(); }

private:
    bool receive();
    void start();

    Poco::Net::StreamSocket socket_;
    caller_answer answer_;
    std::unique_ptr<http_reader> reader_;
};

/**
 * A complete gateway on loopback, with fake upstreams and a directory whose
 * records the test adds. Routes: /plain/ is not idempotent, /safe/ is, /gen/
 * streams and is not resumable, /res/ streams and is resumable.
 */
class gateway_fixture : public testing::Test
{
protected:
    gateway_fixture();
    ~gateway_fixture() override;

    /** Starts the gateway, without a configuration if not `configured`. */
    void start(bool configured = true);
    /** Adds an upstream and waits until the gateway knows it. */
    fake_upstream& add(const std::string& id, fake_upstream::script respond,
                       const std::string& service = "app",
                       const std::string& host = "127.0.0.1");
    void publish_record(const upstream_record& record);
    void remove_upstream(const std::string& id);
    void drain(const std::string& id);
    void apply(gateway_configuration configuration);
    /**
     * Begins or ends the evacuation of a failure domain, and waits until the
     * gateway knows it.
     */
    void evacuate(const std::string& failure_domain, bool evacuated = true);
    gateway_configuration configuration() const;
    /** Waits until the gateway knows `count` upstreams. */
    void wait_for_upstreams(std::size_t count);

    /** The bytes of a request with a new id. */
    std::string request(const std::string& path, const std::string& key = "k1",
                        const std::string& extra_fields = "",
                        const std::string& body = "hello");
    caller_answer send_request(const std::string& path,
                               const std::string& key = "k1");
    /** Returns the gateway's state dump. */
    std::string state();
    /** Returns the status with which the gateway answers /readyz. */
    unsigned readiness();

    gateway_settings settings;
    std::unique_ptr<gateway_process> gateway;
    std::vector<std::unique_ptr<fake_upstream>> upstreams;
    std::vector<upstream_record> records;
    std::shared_ptr<pushed_feed<configuration_record>> configurations;
    std::shared_ptr<pushed_feed<upstream_change>> changes;
    /** Failure domain of the upstreams that are added from now on. */
    std::string domain = "d1";
    /** Software version of the upstreams that are added from now on. */
    std::string version;
    /** Start of the upstreams that are added from now on; 0: not named. */
    std::int64_t started_ms = 0;
    int last_id = 0; ///< of the requests so far
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_GATEWAY_FIXTURE_HPP
