#ifndef CYCLAMENRUN_ENGINE_CLIENT_HPP
#define CYCLAMENRUN_ENGINE_CLIENT_HPP

#include "clock.hpp"
#include "http_exchange.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun
{

class cancellation;

/** A generation to run on the engine. */
struct engine_request {
    std::string request_id;
    std::string path; ///< /v1/completions or /v1/chat/completions
    std::string body; ///< JSON object; id, stream and priority are put in
    int priority = 0; ///< higher runs first
    time_point deadline;
    /** Fails with epoch_changed in any other life of the engine; 0: any. */
    std::uint64_t expected_epoch = 0;
};

struct engine_events {
    /** Called in order; the stream waits until it returns. */
    std::function<void(std::string text)> on_token;
};

struct engine_result {
    std::uint64_t tokens = 0;
    std::string finish_reason;
    std::uint64_t engine_epoch = 0;
};

enum class engine_failure : std::uint8_t {
    connect_failed,
    lost_before_answer,
    lost_mid_stream,
    bad_status,
    malformed, ///< also an answer to another request
    timed_out,
    cancelled,
    too_large,
    epoch_changed, ///< the engine has restarted
};

std::string_view name_of(engine_failure failure);

struct engine_error {
    engine_failure failure = engine_failure::connect_failed;
    int status = 0; ///< with bad_status
    /** False only if the engine can't have begun the work. */
    bool may_have_run = false;
    std::string detail;
};

/** Lags what the engine does at the moment. */
struct engine_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memory_tokens_used = 0;
    std::uint64_t memory_tokens_total = 0;
};

enum class engine_action : std::uint8_t {
    load_model,
    load_adapter,
    load_version,
    set_role,
};

std::string_view name_of(engine_action action);

/** A change of what the engine has loaded or does. */
struct engine_order {
    std::uint64_t fence = 0; ///< fencing number; an engine may refuse a lower
    engine_action action = engine_action::load_model;
    std::string value; ///< name of the model, adapter, version or role
    time_point deadline;
};

/**
 * Speaks to one model engine. Calls block, one for each thread; each has a
 * connection of its own, so none can read the answer to another.
 */
class engine_client
{
public:
    engine_client(std::string address, http_limits limits,
                  clock_function clock);

    /** Closing the connection is what ends the run at the engine. */
    tl::expected<engine_result, engine_error> run(const engine_request& request,
                                                  const engine_events& events,
                                                  cancellation& cancel);
    tl::expected<void, engine_error> cancel(const std::string& request_id,
                                            time_point deadline);
    tl::expected<void, engine_error> order(const engine_order& order);

    /** Ids of all requests that the engine holds, running or waiting. */
    tl::expected<std::vector<std::string>, engine_error>
    runs(time_point deadline);
    tl::expected<engine_load, engine_error> load(time_point deadline);

    /** Of the life of the engine that answered last; 0: none has. */
    std::uint64_t epoch() const { return epoch_; }

private:
    tl::expected<http_answer, engine_error> call(const http_request& request);
    std::uint64_t note_epoch(const http_head& head);

    std::string address_;
    http_limits limits_;
    clock_function clock_;
    std::atomic<std::uint64_t> epoch_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_CLIENT_HPP
