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

/** What goes wrong with the next calls. */
struct runner_faults {
    std::uint64_t lose_answers = 0; ///< so many are closed unanswered
    std::uint64_t late_ms = 0;      ///< on top of the delay
    std::uint64_t error_status = 0; ///< 0: none
};

/**
 * Takes effect at once, then waits and answers: its history has a `run` for
 * each effect and an `answered` for each answer sent.
 */
class runner_api
{
public:
    explicit runner_api(std::chrono::milliseconds delay) : delay_(delay) {}

    void handle(server_request& request, server_response& response);
    void stop();

private:
    void call(server_request& request, server_response& response);
    void set_fault(server_request& request, server_response& response);
    std::uint64_t count_run();
    runner_faults take_faults();
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
