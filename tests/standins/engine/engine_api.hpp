#ifndef CYCLAMENRUN_TESTS_ENGINE_API_HPP
#define CYCLAMENRUN_TESTS_ENGINE_API_HPP

#include "../stand_in_server.hpp"
#include "engine_core.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace cyclamenrun::stand_in
{

/** The HTTP API of the stand-in engine; injects faults into its answers. */
class engine_api
{
public:
    engine_api(engine_core& core, history& events);

    void handle(server_request& request, server_response& response);

private:
    void complete(server_request& request, server_response& response);
    void stream(server_request& request, server_response& response,
                engine_run& run, bool chat);
    void answer_unstreamed(server_request& request, server_response& response,
                           engine_run& run, bool chat);
    void cancel(server_request& request, server_response& response);
    void order(server_request& request, server_response& response);
    void runs(server_response& response);
    void load(server_response& response);
    void cache_events(server_request& request, server_response& response);
    void set_fault(server_request& request, server_response& response);

    engine_core& core_;
    history& events_;
    const std::uint64_t epoch_; ///< random; differs after a restart
    std::mutex fence_lock_;
    std::uint64_t highest_fence_ = 0; ///< highest fencing number of an order
    std::atomic<std::uint64_t> end_at_token_ = 0; ///< cuts streams; 0: off
    std::atomic<int> refuse_status_ = 0; ///< refuses generations; 0: off
    /** Rest that refusals ask for, in seconds; 0: off. */
    std::atomic<std::uint64_t> rest_s_ = 0;
    std::atomic<bool> foreign_id_ = false; ///< streams carry a wrong request id
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_ENGINE_API_HPP
