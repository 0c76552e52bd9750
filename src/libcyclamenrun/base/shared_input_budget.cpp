#include "shared_input_budget.hpp"

#include <utility>

namespace cyclamenrun
{

std::size_t shared_input_budget::limit() const
{
    const std::scoped_lock lock(mutex_);
    return budget_->limit();
}

std::size_t shared_input_budget::held() const
{
    const std::scoped_lock lock(mutex_);
    return budget_->held();
}

shared_held_bytes::shared_held_bytes(
    std::shared_ptr<shared_input_budget> budget)
    : budget_(std::move(budget))
{
    if (budget_)
        account_.emplace(budget_->budget_);
}

shared_held_bytes::~shared_held_bytes()
{
    update(0);
}

std::optional<input_excess> shared_held_bytes::update(std::size_t bytes)
{
    if (!account_)
        return std::nullopt;
    const std::scoped_lock lock(budget_->mutex_);
    return account_->change(account_->held(), bytes);
}

} // namespace cyclamenrun
