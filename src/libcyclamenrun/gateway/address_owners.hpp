#ifndef CYCLAMENRUN_ADDRESS_OWNERS_HPP
#define CYCLAMENRUN_ADDRESS_OWNERS_HPP

#include "clock.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/**
 * Which of the upstreams that claim an address is the one that listens there.
 * Several entries of the directory may name one address: those of a process and
 * of its predecessors, and those of other writers. The owner is derived from
 * the claims that stand now and from who responded last, so that whatever is
 * withdrawn has no effect any more.
 *
 * An address is contested while nothing tells which of its claims is true: its
 * owner is then the one that started last, and whoever asks the process there
 * for its identity settles it.
 */
class address_owners
{
public:
    /** Whether a service is configured; claims of others do not count. */
    using service_filter = std::function<bool(const std::string& service)>;

    /** `is_configured` may be empty: all services are. */
    explicit address_owners(service_filter is_configured)
        : is_configured_(std::move(is_configured))
    {
    }

    /**
     * The directory lists a process with this address. Replaces an earlier
     * claim of its id. Returns the address of that claim if it is another one.
     */
    std::optional<ip_endpoint> claim(const upstream_record& record,
                                     time_point now);
    /** The directory no longer lists the upstream, which may go on. */
    void record_removal(const std::string& id);
    /** The upstream is no longer known. */
    void withdraw(const std::string& id);

    /** The process at the address has named its identity. */
    void record_responder(const ip_endpoint& address, const std::string& id,
                          time_point now);
    /**
     * The process at the upstream's address rejected a request as meant for
     * another.
     */
    void record_misdirected(const std::string& id, time_point now);
    /**
     * The process at the address can't be asked. All claims are believed until
     * a request is rejected.
     */
    void record_unverified(const ip_endpoint& address);

    /** Id of the owner; empty: the address has none. */
    std::string owner(const ip_endpoint& address) const;
    /** Whether requests sent to the upstream would be rejected. */
    bool is_superseded(const std::string& id) const;
    bool is_contested(const ip_endpoint& address) const;
    /** Ids of all that claim the address. */
    std::vector<std::string> claimants(const ip_endpoint& address) const;
    std::vector<ip_endpoint> addresses() const;

private:
    struct address_claim {
        std::string id;
        std::string service;
        std::int64_t started_ms = 0;
        time_point claimed_at;
        bool listed = true;
        /** Set since it rejected a request, until it names its identity. */
        std::optional<time_point> misdirected_at = {};
    };
    struct responder {
        std::string id;
        time_point at;
    };
    struct claimed_address {
        ip_endpoint address;
        std::vector<address_claim> claims; ///< in the order of their arrival
        std::optional<responder> responded;
        bool unverified = false;
    };

    bool counts(const address_claim& claim) const
    {
        return !is_configured_ || is_configured_(claim.service);
    }
    address_claim* find_claim(const std::string& id);
    const claimed_address* find(const ip_endpoint& address) const;
    /**
     * The claim that started last, of those made after a time; listed ones go
     * first.
     */
    const address_claim*
    latest_claim(const claimed_address& at,
                 const std::optional<time_point>& after) const;
    /** The latest claim of another process than the one that responded. */
    const address_claim* newer_claim(const claimed_address& at) const;
    std::string owner_of(const claimed_address& at) const;

    service_filter is_configured_;
    std::unordered_map<std::string, claimed_address> addresses_;
    std::unordered_map<std::string, std::string> address_of_; ///< by id
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ADDRESS_OWNERS_HPP
