#ifndef CYCLAMENRUN_IDENTITY_CHECKS_HPP
#define CYCLAMENRUN_IDENTITY_CHECKS_HPP

#include "gateway_dialect.hpp"
#include "ip_endpoint.hpp"
#include "link_reactor.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/**
 * Asks the processes at contested addresses for their identity, by the health
 * checks of the services that claim them. Checks of one address come less and
 * less often while it stays contested, so that neither a process that answers
 * checks and rejects requests nor an entry that stays is asked in a flood. Used
 * on the reactor's thread only.
 */
class identity_checks : public std::enable_shared_from_this<identity_checks>
{
public:
    struct hooks {
        /** Health check targets of the services that claim an address. */
        std::function<std::vector<std::string>(const ip_endpoint&)> targets;
        /** False: nothing may be sent there now. */
        std::function<bool(const ip_endpoint&)> may_ask;
        std::function<bool(const ip_endpoint&)> is_contested;
        /** The process there has named its id. */
        std::function<void(const ip_endpoint&, const std::string& id)>
            identified;
        /** It has not. */
        std::function<void(const ip_endpoint&)> unverified;
    };

    identity_checks(std::shared_ptr<link_reactor> reactor,
                    std::shared_ptr<const gateway_dialect> dialect, hooks on);

    /** The address is contested; checks it as soon as it is due. */
    void check(const ip_endpoint& address);

private:
    struct address_check {
        ip_endpoint address;
        time_point next_at{};
        milliseconds interval{0}; ///< from the next check to the one after
        std::size_t checks = 0;
        bool pending = false;
    };

    void remove_expired();
    void run(const std::string& key);
    void ask(address_check& checked, const std::string& target);
    void handle_reply(const std::string& key, const call_outcome& outcome);
    /** Believes all claims once the next check is due. */
    void give_up(const std::string& key);

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<const gateway_dialect> dialect_;
    hooks on_;
    std::unordered_map<std::string, address_check> checks_; ///< by address
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_IDENTITY_CHECKS_HPP
