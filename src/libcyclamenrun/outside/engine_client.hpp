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
    /** JSON object; run() adds request_id, stream and priority. */
    std::string body;
    int priority = 0; ///< higher runs first
    time_point deadline;
    /** Fails with epoch_changed if the engine's epoch differs; 0: any epoch. */
    std::uint64_t expected_epoch = 0;
};

/** Callbacks during a generation. */
struct engine_events {
    /** Called for each token in order; reading waits until it returns. */
    std::function<void(std::string text)> on_token;
};

/** The end of a complete generation. */
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
    malformed, ///< includes an answer to another request
    timed_out,
    cancelled,
    too_large,
    epoch_changed, ///< the engine has restarted
};

std::string_view name_of(engine_failure failure);

struct engine_error {
    engine_failure failure = engine_failure::connect_failed;
    int status = 0; ///< with bad_status
    /** False only if the engine can't have started the work. */
    bool may_have_run = false;
    std::string detail;
    std::optional<milliseconds> rest = {}; ///< that the engine asks for
};

/** Load as the engine reports it, which lags its actual load. */
struct engine_load_report {
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

/** An order to change what the engine has loaded, or its role. */
struct engine_order {
    /**
     * Fencing number; an engine may refuse an order whose number is lower than
     * one it has accepted.
     */
    std::uint64_t fence = 0;
    engine_action action = engine_action::load_model;
    std::string value; ///< name of the model, adapter, version or role
    time_point deadline;
};

/**
 * HTTP client of one model engine. Calls block. Several threads may call at
 * the same time; each call has its own connection, so that it can't read the
 * answer to another call.
 */
class engine_client
{
public:
    engine_client(std::string address, exchange_limits limits,
                  clock_function clock);

    /**
     * Sets a handler of what the engine says of itself in any answer. Call it
     * before the first request; it is called on the threads of the requests.
     */
    void on_notice(notice_handler handler) { on_notice_ = std::move(handler); }

    /** Runs a generation. The engine ends the run if the connection closes. */
    tl::expected<engine_result, engine_error> run(const engine_request& request,
                                                  const engine_events& events,
                                                  cancellation& cancel);
    tl::expected<void, engine_error> cancel(const std::string& request_id,
                                            time_point deadline);
    tl::expected<void, engine_error> order(const engine_order& order);

    /** Returns the ids of all requests at the engine, running or waiting. */
    tl::expected<std::vector<std::string>, engine_error>
    runs(time_point deadline);
    tl::expected<engine_load_report, engine_error> load(time_point deadline);

    /**
     * The engine's epoch, which changes when it restarts, from its last answer
     * that contains one; 0: none so far.
     */
    std::uint64_t epoch() const { return epoch_; }

private:
    tl::expected<http_answer, engine_error> call(const http_request& request);
    /** Records the epoch and the notice of an answer; returns the epoch. */
    std::uint64_t record_head(const answer_head& head);

    std::string address_;
    exchange_limits limits_;
    clock_function clock_;
    notice_handler on_notice_;
    std::atomic<std::uint64_t> epoch_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_CLIENT_HPP
