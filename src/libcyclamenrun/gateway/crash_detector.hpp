#ifndef CYCLAMENRUN_CRASH_DETECTOR_HPP
#define CYCLAMENRUN_CRASH_DETECTOR_HPP

#include "link_reactor.hpp"
#include "lost_run.hpp"
#include "tcp_connection.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** What a check of an upstream has found. */
enum class upstream_liveness : std::uint8_t {
    alive,
    crashed,
    unknown,   ///< its host did not respond
    unchecked, ///< no check could be made
};

/** A request whose connection to an upstream broke. */
struct lost_request {
    std::string id;
    lost_run run = {};
    std::string prompt_parts = {}; ///< their ids, for logs
};

/**
 * Finds out whether an upstream that broke a connection has crashed. A network
 * fault, a full upstream and a faulty one break connections too. An upstream
 * has crashed if its host refuses a new connection; one that accepts it lives,
 * and one that does not respond may be cut off.
 *
 * A check answers for the questions before it began: the upstream may crash
 * while it accepts the connection, or right after. Questions after that wait
 * for the next check. One upstream is checked at most once in a short while,
 * however many of its requests are lost. Used on the reactor's thread only.
 */
class crash_detector : public std::enable_shared_from_this<crash_detector>
{
public:
    /** Called for each lost request of an upstream that has crashed. */
    using crash_handler =
        std::function<void(const upstream_record&, const lost_request&)>;

    using result_handler = std::function<void(upstream_liveness)>;

    crash_detector(std::shared_ptr<link_reactor> reactor,
                   crash_handler on_crash);

    void record_loss(const upstream_record& upstream, lost_request request);
    /**
     * Finds out whether an upstream that ended a connection has crashed.
     * `on_result` is called once, from the reactor, unless stop() is called.
     */
    void check(const upstream_record& upstream, result_handler on_result);
    /** Ends all checks without a result. */
    void stop();

private:
    /** The connection that checks one upstream, and who waits for it. */
    struct upstream_check {
        upstream_record upstream;
        std::vector<result_handler> checked; ///< asked before the check began
        std::vector<result_handler> waiting; ///< asked since
        std::shared_ptr<tcp_connection> connection; ///< null between checks
        bool crashed = false;
        time_point expires_at; ///< of a crash that was found
        time_point next_check{};
    };

    /** As check(); a result that is known is reported inside the call. */
    void check_now(const upstream_record& upstream, result_handler on_result);
    void start_check(const std::string& upstream_id);
    void schedule_check(const std::string& upstream_id);
    void handle_alive(const std::string& upstream_id);
    void handle_refused(const std::string& upstream_id);
    void handle_no_answer(const std::string& upstream_id,
                          const std::weak_ptr<tcp_connection>& connection);
    void end_connection(upstream_check& ended);
    static void answer(const std::vector<result_handler>& handlers,
                       upstream_liveness result);
    void remove_expired();

    std::shared_ptr<link_reactor> reactor_;
    crash_handler on_crash_;
    std::unordered_map<std::string, upstream_check> checks_; ///< by upstream id
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CRASH_DETECTOR_HPP
