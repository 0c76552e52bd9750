#include "input_budget.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Part of a VM's memory that messages may take. The rest is for the program,
 * its tables, the spare capacity of growing buffers, and sockets.
 */
constexpr std::size_t memory_part = 4;
/** Below this, not even a few ordinary requests fit. */
constexpr std::size_t min_limit = std::size_t(4) << 20;
/** Readers that can wait at once before each gets less. */
constexpr std::size_t waiting_readers = 16;

} // namespace

std::string_view name_of(input_excess excess)
{
    switch (excess) {
    case input_excess::exchange:
        return "exchange";
    case input_excess::process:
        return "process";
    }
    return "process";
}

std::size_t input_limit(std::uint64_t memory_mb)
{
    if (memory_mb == 0)
        return input_budget::default_limit;
    return std::max(min_limit, (memory_mb << 20) / memory_part);
}

std::size_t input_budget::output_limit() const
{
    const auto shared = shared_limit();
    const auto left = shared > held_ ? shared - held_ : 0;
    return std::clamp(left / waiting_readers, min_output, max_output);
}

std::optional<input_excess> input_account::change(std::size_t from,
                                                  std::size_t to)
{
    held_ = held_ - from + to;
    budget_->held_ = budget_->held_ - from + to;
    if (to <= from)
        return std::nullopt;
    if (held_ > budget_->exchange_limit())
        return input_excess::exchange;
    const auto limit = held_ <= input_budget::small_exchange
                           ? budget_->limit()
                           : budget_->shared_limit();
    if (need_ == input_need::ordinary && budget_->held() > limit)
        return input_excess::process;
    return std::nullopt;
}

held_bytes::held_bytes(held_bytes&& other) noexcept
    : account_(std::move(other.account_)),
      bytes_(std::exchange(other.bytes_, 0))
{
}

held_bytes& held_bytes::operator=(held_bytes&& other) noexcept
{
    if (this == &other)
        return *this;
    update(0);
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

held_bytes::~held_bytes()
{
    update(0);
}

std::optional<input_excess> held_bytes::update(std::size_t bytes)
{
    if (!account_ || bytes == bytes_)
        return std::nullopt;
    return account_->change(std::exchange(bytes_, bytes), bytes);
}

} // namespace cyclamenrun
