#ifndef CYCLAMENRUN_TESTS_ENGINE_RUN_HPP
#define CYCLAMENRUN_TESTS_ENGINE_RUN_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenrun::stand_in
{

/** Parameters of a request to the engine. */
struct run_parameters {
    std::string request_id;
    std::string prompt;
    std::uint64_t max_tokens = 0;
    std::int64_t priority = 0;
    std::optional<std::uint64_t> output_tokens; ///< if missing, drawn at random
    std::optional<std::uint64_t> crash_at_token; ///< the engine crashes there
};

/** The next token of a run, or its end. */
struct run_step {
    std::optional<std::string> token;
    std::string finish_reason; ///< not empty at the end
};

/**
 * One request in the engine. The engine's lock guards the public members; the
 * run's own lock guards the tokens passed to the HTTP handler.
 */
class engine_run
{
public:
    explicit engine_run(run_parameters requested)
        : parameters(std::move(requested))
    {
    }

    const run_parameters parameters;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t target_tokens = 0; ///< output length at which it ends
    std::uint64_t generated_tokens = 0;
    std::uint64_t prefill_left = 0; ///< tokens to compute before decoding
    std::uint64_t sequence = 0;     ///< arrival order
    bool active = false;            ///< in the batch, holds memory

    std::uint64_t memory_tokens() const
    {
        return prompt_tokens + generated_tokens;
    }

    void push(std::string token)
    {
        const std::lock_guard guard(lock_);
        tokens_.push_back(std::move(token));
        changed_.notify_one();
    }

    void finish(std::string reason)
    {
        const std::lock_guard guard(lock_);
        finish_reason_ = std::move(reason);
        changed_.notify_one();
    }

    /** Returns the next step; empty if none arrives within `wait`. */
    std::optional<run_step> next(std::chrono::milliseconds wait)
    {
        std::unique_lock guard(lock_);
        const auto ready = [this] {
            return !tokens_.empty() || !finish_reason_.empty();
        };
        if (!changed_.wait_for(guard, wait, ready))
            return {};
        if (tokens_.empty())
            return run_step{{}, finish_reason_};
        run_step step{std::move(tokens_.front()), {}};
        tokens_.pop_front();
        return step;
    }

private:
    std::mutex lock_;
    std::condition_variable changed_;
    std::deque<std::string> tokens_;
    std::string finish_reason_;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_ENGINE_RUN_HPP
