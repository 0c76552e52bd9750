#ifndef CYCLAMENRUN_TESTS_SURGE_WATCHERS_HPP
#define CYCLAMENRUN_TESTS_SURGE_WATCHERS_HPP

#include "gateway_fixture.hpp"

#include <Poco/Exception.h>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace cyclamenrun::testing_support
{

/** Checks readiness as the balancer does, until it is destroyed. */
class readiness_checks
{
public:
    explicit readiness_checks(std::string address)
        : address_(std::move(address)), thread_([this] { run(); })
    {
    }
    ~readiness_checks() { stop(); }
    readiness_checks(const readiness_checks&) = delete;
    readiness_checks& operator=(const readiness_checks&) = delete;

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    int checks() const { return checks_; }
    /** Checks without a 200 within a second. */
    int misses() const { return misses_; }

private:
    void run()
    {
        while (!stopping_) {
            const auto began = steady_now();
            ++checks_;
            if (!ready() || steady_now() - began > milliseconds(1000))
                ++misses_;
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
    bool ready() const
    {
        try {
            test_caller balancer(address_);
            balancer.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            return balancer.read().status() == 200;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    std::string address_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> checks_ = 0;
    std::atomic<int> misses_ = 0;
    std::thread thread_;
};

/** A caller that sends request after request on one connection. */
class kept_caller
{
public:
    kept_caller(const std::string& address,
                std::function<std::string()> next_request)
        : caller_(address), next_request_(std::move(next_request))
    {
        send();
        thread_ = std::thread([this] { run(); });
    }
    ~kept_caller() { stop(); }
    kept_caller(const kept_caller&) = delete;
    kept_caller& operator=(const kept_caller&) = delete;

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    int requests() const { return requests_; }
    int failures() const { return failures_; }

private:
    void run()
    {
        while (!stopping_) {
            std::this_thread::sleep_for(milliseconds(50));
            send();
        }
    }
    void send()
    {
        ++requests_;
        try {
            caller_.send(next_request_());
            const auto answer = caller_.read();
            if (answer.status() != 200 || !answer.whole)
                ++failures_;
        } catch (const Poco::Exception&) {
            ++failures_;
        }
    }

    test_caller caller_;
    std::function<std::string()> next_request_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> requests_ = 0;
    std::atomic<int> failures_ = 0;
    std::thread thread_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_SURGE_WATCHERS_HPP
