#ifndef CYCLAMENRUN_TESTS_PLATFORM_API_HPP
#define CYCLAMENRUN_TESTS_PLATFORM_API_HPP

#include "../history.hpp"
#include "../stand_in_server.hpp"
#include "listed_vms.hpp"
#include "rate_limit.hpp"
#include "stored_log.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cyclamenrun::stand_in
{

/** Options of the stand-in platform; see its --help. */
struct platform_options {
    double appends_per_second = 500;
    std::uint64_t retain_records = 100000;
    std::uint64_t max_record_bytes = 1 << 20;
    std::uint64_t list_lag_ms = 0;
    double weights_per_second = 5;
    std::uint64_t weight_bytes = 1024;
};

/**
 * Injected faults. The last two are numbers of appends still to be affected;
 * each append that reaches the log decrements both.
 */
struct platform_faults {
    bool log_out = false;                  ///< the logs are unavailable
    bool list_out = false;                 ///< the list of VMs is unavailable
    bool weights_out = false;              ///< downloads of weights fail
    std::uint64_t slow_ms = 0;             ///< delay added to each log request
    std::uint64_t lose_append_answers = 0; ///< append, but don't answer
    std::uint64_t duplicate_appends = 0;   ///< append the record twice
};

/** The HTTP API of the stand-in platform: logs, list of VMs, model weights. */
class platform_api
{
public:
    explicit platform_api(const platform_options& options);

    void handle(server_request& request, server_response& response);
    /** Ends all waits in handle(). */
    void stop();

private:
    void log(server_request& request, server_response& response,
             const std::string& name);
    void append(server_request& request, server_response& response,
                const std::string& name);
    void read(server_request& request, server_response& response,
              const std::string& name);
    void list(server_request& request, server_response& response);
    void change_vm(server_request& request, server_response& response,
                   const std::string& id);
    void weights(server_request& request, server_response& response,
                 const std::string& name);
    void set_fault(server_request& request, server_response& response);
    stored_log& log_named(const std::string& name);
    platform_faults faults() const;
    platform_faults consume_append_faults();
    void pause(std::chrono::milliseconds span);
    void record(const char* event, const std::string& name,
                std::uint64_t offset);

    const platform_options options_;
    history events_;
    listed_vms vms_;
    rate_limit append_limit_;
    rate_limit weight_limit_;
    mutable std::mutex lock_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::map<std::string, std::unique_ptr<stored_log>> logs_;
    platform_faults faults_;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_PLATFORM_API_HPP
