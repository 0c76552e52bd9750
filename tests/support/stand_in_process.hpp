#ifndef CYCLAMENRUN_TESTS_STAND_IN_PROCESS_HPP
#define CYCLAMENRUN_TESTS_STAND_IN_PROCESS_HPP

#include "child_process.hpp"
#include "http_exchange.hpp"
#include "http_json.hpp"

#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun::testing_support
{

constexpr milliseconds test_limit(20000);

/** Sends one request to a process under test; throws without an answer. */
inline http_answer request_answer(const std::string& address,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body = {})
{
    http_exchange exchange(address, {}, steady_now);
    auto answer = exchange.run({method,
                                path,
                                "application/json",
                                body,
                                {},
                                steady_now() + test_limit});
    if (!answer)
        throw std::runtime_error(path + ": " + answer.error().detail);
    return std::move(*answer);
}

/** A stand-in for an external component, run as its own process. */
class stand_in_process
{
public:
    stand_in_process(const std::string& name, std::vector<std::string> options)
        : process_("stand-in-" + name, with_listen(std::move(options))),
          address_(process_.wait_for_line("listening"))
    {
    }

    const std::string& address() const { return address_; }
    child_process& process() { return process_; }

    void set_fault(const std::string& json) const
    {
        request_answer(address_, "POST", "/stand-in/fault", json);
    }

    /** The recorded events of this kind, in order. */
    std::vector<Poco::JSON::Object::Ptr> history(const std::string& kind) const
    {
        std::istringstream text(
            request_answer(address_, "GET", "/stand-in/history").body);
        std::vector<Poco::JSON::Object::Ptr> events;
        for (std::string line; std::getline(text, line);) {
            auto event = parse_json_object(line);
            if (event && json_string(*event, "event") == kind)
                events.push_back(std::move(event));
        }
        return events;
    }

    /** Waits for `count` events of this kind; throws after the limit. */
    std::vector<Poco::JSON::Object::Ptr>
    wait_for_history(const std::string& kind, std::size_t count) const
    {
        const auto deadline = steady_now() + test_limit;
        for (;;) {
            auto events = history(kind);
            if (events.size() >= count)
                return events;
            if (steady_now() >= deadline)
                throw std::runtime_error("no such event: " + kind);
        }
    }

private:
    static std::vector<std::string>
    with_listen(std::vector<std::string> options)
    {
        options.insert(options.begin(), {"--listen", "127.0.0.1:0"});
        return options;
    }

    child_process process_;
    std::string address_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_STAND_IN_PROCESS_HPP
