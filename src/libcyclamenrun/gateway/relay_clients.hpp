#ifndef CYCLAMENRUN_RELAY_CLIENTS_HPP
#define CYCLAMENRUN_RELAY_CLIENTS_HPP

#include "link_client.hpp"
#include "link_reactor.hpp"
#include "relay_choice.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun::v1
{
class DirectoryAnswer;
class DirectoryCall;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/**
 * A gateway's links to the monitors that read the directory for it (its
 * relays), and the order in which they are tried. Used on the reactor's thread
 * only.
 */
class relay_clients : public std::enable_shared_from_this<relay_clients>
{
public:
    struct hooks {
        /** VMs that are not leaving and whose monitor has not timed out. */
        std::function<std::vector<relay_candidate>()> candidates;
        /** Whether the host's monitor responds. */
        std::function<bool(const std::string& host)> responds;
        /** Number of gateways that share the relays. */
        std::function<std::size_t()> gateways;
    };
    /** Empty if the monitor could not be reached or did not answer. */
    using answer_handler =
        std::function<void(const std::optional<v1::DirectoryAnswer>&)>;

    /** `gateway`: name of this gateway; `port`: of the monitors. */
    relay_clients(std::shared_ptr<link_reactor> reactor, std::string gateway,
                  std::uint16_t port, hooks on);
    ~relay_clients();
    relay_clients(const relay_clients&) = delete;
    relay_clients& operator=(const relay_clients&) = delete;

    /**
     * Returns the relays that respond, in the order in which to try them.
     * Closes the links to monitors that are no longer used, and records since
     * when no chosen relay responds.
     */
    std::vector<std::string> usable_hosts();
    /**
     * Returns whether relays are chosen and none of them responds, but this
     * began so recently that their reports may still be on the way. The gateway
     * then waits instead of reading the directory itself.
     */
    bool awaits_first_report() const;
    /**
     * Chosen relays, whether they respond or not. The gateway subscribes to
     * their loads to detect whether they do.
     */
    std::vector<std::string> chosen_hosts();

    /** Sends a call; `on_answer` is called once, by the deadline at latest. */
    void send_call(const std::string& host, const v1::DirectoryCall& call,
                   time_point deadline, answer_handler on_answer);

    /** The host's monitor does not reach the directory: it is tried last. */
    void mark_without_directory(const std::string& host);
    /** The VM is leaving: another relay is chosen in its place. */
    void mark_leaving(const std::string& host);

private:
    struct known_relay {
        std::shared_ptr<link_client> link;
        /** Did not answer, or its VM is leaving: not used before this time. */
        time_point avoid_until{};
        /** Did not reach the directory: tried last before this time. */
        time_point demoted_until{};
    };

    void handle_unreachable(const std::string& host, std::string_view reason);
    void drop_unused(const std::vector<std::string>& used);

    std::shared_ptr<link_reactor> reactor_;
    std::string gateway_;
    std::uint16_t port_;
    hooks on_;
    std::map<std::string, known_relay> relays_;
    /** Since when relays are chosen and none of them responds. */
    std::optional<time_point> no_response_since_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_CLIENTS_HPP
