#ifndef CYCLAMENRUN_REPEAT_PERMIT_HPP
#define CYCLAMENRUN_REPEAT_PERMIT_HPP

#include "shared_retry_budget.hpp"

#include <optional>
#include <string>
#include <utility>

namespace cyclamenrun
{

/**
 * The claim of one request on the budget of repeats: reserved, spent for its
 * next send, or none. What is reserved and never spent returns to the budget.
 */
class repeat_permit
{
public:
    explicit repeat_permit(shared_retry_budget& budget) : budget_(budget) {}
    repeat_permit(const repeat_permit&) = delete;
    repeat_permit& operator=(const repeat_permit&) = delete;
    ~repeat_permit() { release(); }

    /** Reserves a repeat unless one is reserved or spent; false: none left. */
    bool reserve(const std::string& service, repeat_urgency urgency,
                 boot_time now)
    {
        if (spent_ || service_)
            return true;
        if (!budget_.try_reserve(service, urgency, now))
            return false;
        service_ = service;
        return true;
    }
    /** Spends what is reserved, for the next send; false if it has expired. */
    bool spend(boot_time now)
    {
        if (!spent_ && service_)
            spent_ = budget_.spend(*std::exchange(service_, std::nullopt), now);
        return spent_;
    }
    /** Uses up what was spent: the request is sent. */
    void use() { spent_ = false; }
    void release()
    {
        if (service_)
            budget_.release(*std::exchange(service_, std::nullopt));
        spent_ = false;
    }

private:
    shared_retry_budget& budget_;
    std::optional<std::string> service_; ///< set while a repeat is reserved
    bool spent_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REPEAT_PERMIT_HPP
