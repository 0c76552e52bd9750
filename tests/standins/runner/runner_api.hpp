#ifndef CYCLAMENRUN_TESTS_RUNNER_API_HPP
#define CYCLAMENRUN_TESTS_RUNNER_API_HPP

#include "../history.hpp"
#include "../stand_in_server.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace cyclamenrun::stand_in
{

/** Faults to inject into the next calls. */
struct runner_faults {
    std::uint64_t lose_answers = 0; ///< number of calls to leave unanswered
    std::uint64_t late_ms = 0;      ///< added to the usual delay
    std::uint64_t error_status = 0; ///< 0: off
    std::string rest;      ///< seconds for which calls are rejected; empty: off
    bool leaving = false;  ///< answers say that the runner leaves
    bool unframed = false; ///< answers have neither a length nor chunks
};

/**
 * The HTTP API of a stand-in application runner. A call takes effect at once;
 * its answer follows after the delay. The history has a `run` event for each
 * effect and an `answered` event for each answer sent.
 */
class runner_api
{
public:
    explicit runner_api(std::chrono::milliseconds delay) : delay_(delay) {}

    void handle(server_request& request, server_response& response);
    /** Ends all waits in handle(). */
    void stop();

private:
    void call(server_request& request, server_response& response);
    void set_fault(server_request& request, server_response& response);
    std::uint64_t count_run();
    runner_faults consume_faults();
    void wait(std::chrono::milliseconds span);
    void record(const char* event, const std::string& request_id,
                std::uint64_t run);

    const std::chrono::milliseconds delay_;
    history events_;
    std::mutex lock_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::uint64_t runs_ = 0;
    runner_faults faults_;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_RUNNER_API_HPP
