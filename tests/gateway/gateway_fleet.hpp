#ifndef CYCLAMENRUN_TESTS_GATEWAY_FLEET_HPP
#define CYCLAMENRUN_TESTS_GATEWAY_FLEET_HPP

#include "gateway_fixture.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/** Several gateways on loopback that use the same upstreams. */
class gateway_fleet : public gateway_fixture
{
protected:
    ~gateway_fleet() override;

    /** Starts that many gateways without upstreams. */
    void start_fleet(std::size_t count);
    /** Starts gateway `index` again; it has lost all it knew. */
    void restart(std::size_t index);
    /** Adds an upstream to all gateways and waits until they know it. */
    fake_upstream& add_to_all(const std::string& id,
                              fake_upstream::script respond,
                              const std::string& service = "app");
    /** Removes crashed upstreams from the directory of all gateways. */
    void remove_crashed();
    /** Sends a request to a gateway and returns its answer. */
    caller_answer send_to(std::size_t index, const std::string& path,
                          const std::string& body,
                          const std::string& extra_fields = "");
    /** Ends a gateway for good. */
    void stop(std::size_t index);
    void remove_from_all(const std::string& id);
    std::string state_of(std::size_t index);
    /**
     * Waits until the state of all gateways contains the text; false after the
     * time in which gateways must learn from each other.
     */
    bool all_learn(const std::string& text);

    std::size_t size() const { return nodes_.size(); }

    /** Rate of cold upstreams of the service `app`; empty: not limited. */
    std::optional<double> cold_rate;
    /** Of the upstreams that are added from now on. */
    std::optional<time_point> cold_until;

private:
    struct node {
        gateway_settings settings;
        std::unique_ptr<gateway_process> process;
        std::shared_ptr<pushed_feed<configuration_record>> configurations;
        std::shared_ptr<pushed_feed<upstream_change>> changes;
    };

    void start_node(node& started);
    bool wait_for_state(std::size_t index, const std::string& text);

    std::vector<std::unique_ptr<node>> nodes_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_GATEWAY_FLEET_HPP
