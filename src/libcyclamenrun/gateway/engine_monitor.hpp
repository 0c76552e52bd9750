#ifndef CYCLAMENRUN_ENGINE_MONITOR_HPP
#define CYCLAMENRUN_ENGINE_MONITOR_HPP

#include "copy_turns.hpp"
#include "datagram_socket.hpp"
#include "exported_metrics.hpp"
#include "gateway_dialect.hpp"
#include "http_call.hpp"
#include "start_queue.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cyclamenrun::v1
{
class EngineLoad;
class MonitorNotice;
class MonitorRequest;
class StartWanted;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

struct engine_monitor_settings {
    ip_endpoint engine;
    ip_endpoint listen;
    /** Time between two looks at the engine. */
    milliseconds interval{100};
};

/**
 * A monitor's work: looks at the engine of its own VM, where that is fresh
 * and free, tells the gateways that have asked, and gives them turns to copy
 * generations from it. Guards against the two
 * ways in which gateways would learn of a load otherwise: from the directory,
 * seconds late, and by asking each engine from each gateway, whose number of
 * calls grows with both.
 */
class engine_monitor : public std::enable_shared_from_this<engine_monitor>
{
public:
    engine_monitor(const std::shared_ptr<link_reactor>& reactor,
                   std::shared_ptr<const gateway_dialect> dialect,
                   const engine_monitor_settings& settings,
                   exported_metrics& metrics);

    ip_endpoint address() const { return socket_->address(); }
    void start();
    /** Called once when the engine is first seen to leave. */
    void on_leaving(std::function<void()> call) { leaving_ = std::move(call); }
    std::size_t gateways() const { return gateways_.size(); }

private:
    /** A gateway that has asked for something of late. */
    struct known_gateway {
        ip_endpoint address;
        time_point forget_at;
        time_point loads_until{}; ///< it wants to be told the load
    };

    void take_request(const ip_endpoint& from, std::string_view bytes);
    known_gateway* know(const ip_endpoint& from, const std::string& name);
    void take_subscription(known_gateway& gateway);
    std::size_t listeners() const;
    void take_turn(const ip_endpoint& from, const std::string& gateway,
                   const v1::MonitorRequest& request);
    void give_turn();
    void take_start(const ip_endpoint& from, const std::string& gateway,
                    const v1::StartWanted& wanted);
    void give_starts();
    void give_starts_later();
    void send_given(const std::string& gateway, const std::string& id);

    /** Learns the id of the engine that answers now. */
    void identify();
    void take_identity(const call_outcome& outcome);
    bool is_identifying() const;
    void write_identity(v1::MonitorNotice& notice) const;

    void look();
    void look_later();
    void take(const call_outcome& outcome);
    void measure(const engine_load& load);
    void tell(const engine_load& load);
    std::string load_notice(const engine_load& load) const;
    void write_load(const engine_load& load, v1::EngineLoad& message) const;
    /** Beside what else the notice says, if the load is known. */
    void write_load_now(v1::MonitorNotice& notice) const;
    void forget_silent();

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<const gateway_dialect> dialect_;
    engine_monitor_settings settings_;
    std::shared_ptr<datagram_socket> socket_;
    std::shared_ptr<http_caller> engine_;
    std::shared_ptr<http_caller> identity_;
    std::string health_target_;
    std::string engine_id_; ///< empty: not known
    time_point identify_at_{};
    std::map<std::string, known_gateway> gateways_;
    copy_turns turns_;
    start_queue starts_;
    time_point give_due_{}; ///< of the next look at who may start
    std::optional<engine_load> last_load_; ///< empty: it does not answer
    std::string last_told_;
    time_point tell_again_at_{};
    time_point tell_next_at_{};
    bool told_leaving_ = false;
    std::function<void()> leaving_;
    exported_metrics& metrics_;
    time_point next_look_{};
    time_point looked_at_{};
    bool engine_known_ = true;
};

/**
 * Least time between two tellings of a load. With many gateways each hears
 * less often, so that a monitor sends 125 datagrams a second at most: without
 * it their number grows with gateways times engines, 13,500 a second at 27
 * gateways and 50 engines. News that the engine leaves does not wait.
 */
milliseconds tell_spacing(std::size_t gateways);

/** Gateways that a monitor tells; more are not listened to. */
inline constexpr std::size_t most_gateways = 512;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_MONITOR_HPP
