#ifndef CYCLAMENRUN_SHARED_INPUT_BUDGET_HPP
#define CYCLAMENRUN_SHARED_INPUT_BUDGET_HPP

#include "input_budget.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>

namespace cyclamenrun
{

/** An input_budget that the threads of a process share. */
class shared_input_budget
{
public:
    /** `limit`: bytes of all exchanges together. */
    explicit shared_input_budget(
        std::size_t limit = input_budget::default_limit)
        : budget_(std::make_shared<input_budget>(limit))
    {
    }
    shared_input_budget(const shared_input_budget&) = delete;
    shared_input_budget& operator=(const shared_input_budget&) = delete;

    std::size_t limit() const;
    std::size_t held() const;

private:
    friend class shared_held_bytes;

    mutable std::mutex mutex_;
    std::shared_ptr<input_budget> budget_;
};

/**
 * The bytes that one exchange holds, counted until its destruction. Used by one
 * thread at a time.
 */
class shared_held_bytes
{
public:
    /** `budget`: null if the bytes are not counted. */
    explicit shared_held_bytes(std::shared_ptr<shared_input_budget> budget);
    ~shared_held_bytes();
    shared_held_bytes(const shared_held_bytes&) = delete;
    shared_held_bytes& operator=(const shared_held_bytes&) = delete;

    /** Sets the number of bytes; see input_account::change(). */
    std::optional<input_excess> update(std::size_t bytes);

private:
    std::shared_ptr<shared_input_budget> budget_;
    std::optional<input_account> account_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_INPUT_BUDGET_HPP
