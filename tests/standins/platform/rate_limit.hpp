#ifndef CYCLAMENRUN_TESTS_RATE_LIMIT_HPP
#define CYCLAMENRUN_TESTS_RATE_LIMIT_HPP

#include <algorithm>
#include <chrono>
#include <mutex>

namespace cyclamenrun::stand_in
{

/** A token bucket that holds the tokens of one second. */
class rate_limit
{
public:
    explicit rate_limit(double per_second)
        : per_second_(per_second), level_(per_second)
    {
    }

    bool try_acquire()
    {
        const std::lock_guard guard(lock_);
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> passed = now - last_;
        last_ = now;
        level_ = std::min(per_second_, level_ + passed.count() * per_second_);
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    const double per_second_;
    std::mutex lock_;
    double level_;
    std::chrono::steady_clock::time_point last_ =
        std::chrono::steady_clock::now();
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_RATE_LIMIT_HPP
