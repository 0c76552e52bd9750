#ifndef CYCLAMENRUN_DIRECTORY_RELAYS_HPP
#define CYCLAMENRUN_DIRECTORY_RELAYS_HPP

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
 * A gateway's links to the monitors that read the directory for it, and which
 * of them it asks first. On the reactor's thread only.
 */
class directory_relays : public std::enable_shared_from_this<directory_relays>
{
public:
    struct hooks {
        /** VMs with a monitor that may be heard and do not leave. */
        std::function<std::vector<relay_candidate>()> candidates;
        /** Its monitor is heard. */
        std::function<bool(const std::string& host)> heard;
        std::function<std::size_t()> gateways;
    };
    /** Empty: the monitor could not be asked. */
    using answered =
        std::function<void(const std::optional<v1::DirectoryAnswer>&)>;

    directory_relays(std::shared_ptr<link_reactor> reactor, std::string gateway,
                     std::uint16_t port, hooks on);
    ~directory_relays();
    directory_relays(const directory_relays&) = delete;
    directory_relays& operator=(const directory_relays&) = delete;

    /** Whom to ask, in this order; empty: nobody. */
    std::vector<std::string> hosts();
    /**
     * None of the monitors that could be asked is heard yet, but they are
     * about to be: no need to call the directory itself meanwhile.
     */
    bool expected() const;
    /** Whom to hear from, to know whether they can be asked. */
    std::vector<std::string> wanted();

    /** Answered once, by the deadline at the latest. */
    void ask(const std::string& host, const v1::DirectoryCall& call,
             time_point deadline, answered on_answer);

    /** It does not reach the directory: another one is asked first. */
    void without_directory(const std::string& host);
    /** Its VM leaves: another one is chosen in its place. */
    void leaves(const std::string& host);

private:
    struct known_relay {
        std::shared_ptr<link_client> link;
        /** It did not answer, and is not asked before. */
        time_point avoid_until{};
        /** It had no answer from the directory, and is asked last before. */
        time_point last_until{};
    };

    void unreachable(const std::string& host, std::string_view reason);
    void drop_unused(const std::vector<std::string>& used);

    std::shared_ptr<link_reactor> reactor_;
    std::string gateway_;
    std::uint16_t port_;
    hooks on_;
    std::map<std::string, known_relay> relays_;
    /** Since when there are monitors to ask and none of them is heard. */
    std::optional<time_point> unheard_since_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_RELAYS_HPP
