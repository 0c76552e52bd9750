#ifndef CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP
#define CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP

#include "boot_clock.hpp"
#include "clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

struct retry_budget_settings {
    /** Repeats allowed for each request in the window. */
    double share = 0.2;
    /** Additional repeats allowed in a window, over all gateways. */
    double extra = 50;
    milliseconds window{10000};
};

/** Which repeats go first while the budget is short. */
enum class repeat_urgency : std::uint8_t {
    /** The caller can return: it is refused, or resumes its stream. */
    deferrable,
    urgent, ///< a generation that nobody can resume would be lost
};

/**
 * This process's part of the budget of repeats of a service, which all gateways
 * share. A repeat is any send of a request that may have arrived at an upstream
 * before. Each is reserved when it is decided and spent before it is sent.
 *
 * A bucket for each service: each request adds `share`, and a part of `extra`
 * flows in with time; what is unspent is kept up to another part of `extra`.
 * Both parts are divided by the number of gateways. So in any window the
 * repeats of all gateways are at most those kept at its start, those that flow
 * in and those earned in it: `extra` and `share` of its requests. A process
 * starts with an empty bucket, since its predecessor may have spent a full one.
 *
 * A gateway that is short borrows from others. What is lent takes the lender's
 * place for kept repeats until the loan expires, so that the sum holds.
 *
 * Not thread-safe, no I/O.
 */
class shared_retry_budget
{
public:
    /** `started`: start of this process. */
    shared_retry_budget(retry_budget_settings settings, boot_time started)
        : settings_(settings), started_(started)
    {
    }

    /** Sets the number of gateways that share the budget. */
    void set_gateway_count(unsigned count, boot_time now);
    /** Number of gateways that divides the fixed part. */
    unsigned divisor() const;

    void record_request(const std::string& service, boot_time now);
    /** Repeats left, less those that are reserved. */
    double remaining(const std::string& service, boot_time now);
    /** Reserves one repeat; false if the budget has none for it. */
    bool try_reserve(const std::string& service, repeat_urgency urgency,
                     boot_time now);
    void release(const std::string& service);
    /** Spends a reserved repeat; false if its loan has expired. */
    bool spend(const std::string& service, boot_time now);

    /** Services whose urgent repeats were refused lately. */
    std::vector<std::string> short_services(boot_time now) const;
    /** Urgent repeats of a service that were refused lately. */
    unsigned shortage(const std::string& service, boot_time now) const;
    /** Lends up to `wanted` to another gateway and returns how much. */
    double lend(const std::string& service, double wanted, boot_time now);
    /** Adds what another gateway has lent on a request sent then. */
    void borrow(const std::string& service, double amount,
                boot_time requested_at, boot_time now);

private:
    struct timed_amount {
        double amount = 0;
        boot_time until;
    };
    struct bucket {
        double level = 0; ///< earned, unspent; reserved ones included
        boot_time refilled_at;
        unsigned reserved = 0;
        std::vector<timed_amount> borrowed;
        std::vector<timed_amount> lent;
        std::vector<boot_time> refusals; ///< of urgent repeats
    };

    bucket& bucket_of(const std::string& service, boot_time now);
    void refill(bucket& refilled, boot_time now) const;
    /** Adds what is earned, as far as there is room. */
    void add(bucket& filled, double amount) const;
    double capacity() const;
    static double total(const bucket& counted);
    static double available(const bucket& counted);

    retry_budget_settings settings_;
    boot_time started_; ///< when all buckets were empty
    unsigned gateway_count_ = 1;
    std::unordered_map<std::string, bucket> buckets_;
};

/** Time after which a loan can't be spent, from its request on. */
inline constexpr milliseconds loan_time{1000};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP
