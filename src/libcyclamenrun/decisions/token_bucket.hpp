#ifndef CYCLAMENRUN_TOKEN_BUCKET_HPP
#define CYCLAMENRUN_TOKEN_BUCKET_HPP

#include "clock.hpp"

#include <algorithm>

namespace cyclamenrun
{

/**
 * Tokens that accrue at a rate up to a capacity. Taking may lead into debt.
 * The rate and the capacity may differ at each call.
 */
class token_bucket
{
public:
    token_bucket() = default;
    token_bucket(double tokens, time_point now)
        : tokens_(tokens), filled_at_(now)
    {
    }

    /** Tokens at a time; `rate`: accrued per second since the last fill. */
    double tokens_at(double rate, double capacity, time_point now) const
    {
        const double elapsed =
            std::chrono::duration<double>(now - filled_at_).count();
        return std::min(tokens_ + elapsed * rate, capacity);
    }
    void fill(double rate, double capacity, time_point now)
    {
        tokens_ = tokens_at(rate, capacity, now);
        filled_at_ = now;
    }
    void take(double tokens) { tokens_ -= tokens; }
    double tokens() const { return tokens_; }

private:
    double tokens_ = 0;
    time_point filled_at_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TOKEN_BUCKET_HPP
