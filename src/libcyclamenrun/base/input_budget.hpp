#ifndef CYCLAMENRUN_INPUT_BUDGET_HPP
#define CYCLAMENRUN_INPUT_BUDGET_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** Which bound on held bytes is exceeded. */
enum class input_excess : std::uint8_t {
    exchange, ///< that of one exchange
    process,  ///< that of all exchanges of the process
};

std::string_view name_of(input_excess excess);

/**
 * Counts the bytes that a process holds of messages that it receives and
 * passes on: received and not parsed, parsed and not complete, or not yet taken
 * by their reader. Used on the reactor's thread only.
 */
class input_budget
{
public:
    /** `limit`: bytes of all exchanges together. */
    explicit input_budget(std::size_t limit = default_limit) : limit_(limit) {}
    input_budget(const input_budget&) = delete;
    input_budget& operator=(const input_budget&) = delete;

    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }

    /** Bytes that one exchange may hold. */
    std::size_t exchange_limit() const { return limit_ / 2; }
    /**
     * Bytes beyond which only small exchanges grow, so that ordinary requests
     * are served while a few large messages fill the rest.
     */
    std::size_t shared_limit() const { return limit_ / 4 * 3; }
    /**
     * Bytes that may wait for one reader before their sender is paused. Less
     * is allowed to each the more is held.
     */
    std::size_t output_limit() const;

    /** For a process whose settings name no limit on its memory. */
    static constexpr std::size_t default_limit = std::size_t(32) << 20;
    /** Exchanges that hold no more than this are small. */
    static constexpr std::size_t small_exchange = std::size_t(128) << 10;
    /** Bounds of output_limit(). */
    static constexpr std::size_t max_output = std::size_t(256) << 10;
    static constexpr std::size_t min_output = std::size_t(16) << 10;

private:
    friend class input_account;

    std::size_t limit_;
    std::size_t held_ = 0;
};

/**
 * Returns the limit of a process on a VM with `memory_mb` megabytes; 0:
 * unknown.
 */
std::size_t input_limit(std::uint64_t memory_mb);

/** Whether a process can do without the messages of an account. */
enum class input_need : std::uint8_t {
    ordinary,
    /**
     * Counted, but not subject to the bound of the process: without its
     * configuration a gateway serves nobody. The number of such accounts is
     * fixed, and each has bounds of its own.
     */
    essential,
};

/** The bytes that one exchange holds, or one connection between exchanges. */
class input_account
{
public:
    explicit input_account(std::shared_ptr<input_budget> budget,
                           input_need need = input_need::ordinary)
        : budget_(std::move(budget)), need_(need)
    {
    }
    input_account(const input_account&) = delete;
    input_account& operator=(const input_account&) = delete;

    /**
     * Counts a holder's bytes, `from` so far and `to` now. Returns the bound
     * that is exceeded if they have grown; they are counted all the same.
     */
    std::optional<input_excess> change(std::size_t from, std::size_t to);
    std::size_t held() const { return held_; }

private:
    std::shared_ptr<input_budget> budget_;
    input_need need_;
    std::size_t held_ = 0;
};

/** The bytes of one holder, counted in an account until its destruction. */
class held_bytes
{
public:
    held_bytes() = default;
    explicit held_bytes(std::shared_ptr<input_account> account)
        : account_(std::move(account))
    {
    }
    held_bytes(held_bytes&& other) noexcept;
    held_bytes& operator=(held_bytes&& other) noexcept;
    ~held_bytes();

    /** Sets the number of bytes; see input_account::change(). */
    std::optional<input_excess> update(std::size_t bytes);
    /** Null for bytes that are not counted. */
    const std::shared_ptr<input_account>& account() const { return account_; }

private:
    std::shared_ptr<input_account> account_;
    std::size_t bytes_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_INPUT_BUDGET_HPP
