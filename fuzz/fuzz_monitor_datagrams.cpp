/**
 * Fuzzes datagrams between gateways and monitors. One input holds several
 * datagrams, each preceded by a length byte. Requests to a monitor and notices
 * are passed to its decisions, which must stay within their bounds for any
 * input.
 */
#include "copy_turns.hpp"
#include "load.pb.h"
#include "start_queue.hpp"

#include <cstdlib>
#include <string_view>

using namespace cyclamenrun;

namespace
{

void check(bool condition)
{
    if (!condition)
        std::abort();
}

/** The decisions of a monitor on a monotonic clock. */
class decisions
{
public:
    void handle(const v1::MonitorRequest& request)
    {
        now_ += milliseconds(1 + request.turn_tokens() % 100);
        if (!request.turn_wanted().empty())
            (void)turns_.request_turn({request.turn_wanted(), request.gateway(),
                                       request.turn_tokens()},
                                      now_);
        turns_.end(request.turn_ended());
        if (request.has_start_wanted())
            handle_start_request(request.start_wanted());
        starts_.end(request.start_ended());
    }

    void handle(const v1::MonitorNotice& notice)
    {
        engine_status status;
        status.running = notice.load().running();
        status.queued = notice.load().queued();
        status.memory_used = notice.load().memory_used();
        status.memory_total = notice.load().memory_total();
        now_ += milliseconds(50);
        starts_.update_status(status, notice.load().leaving(), now_);
        const auto granted = starts_.grant_starts(now_);
        check(granted.empty() || !starts_.leaving());
        check(!starts_.leaving() || !starts_.has_room_for_copy(0));
    }

    void check_bounds()
    {
        check(starts_.waiting() <= max_waiting_starts);
        const auto next = starts_.next_event(now_);
        check(!next || *next > now_);
        const auto holder = turns_.holder(now_);
        check(!holder || turns_.request_turn(*holder, now_));
    }

private:
    void handle_start_request(const v1::StartWanted& wanted)
    {
        start_request request;
        request.id = wanted.id();
        request.gateway = "g";
        request.team = wanted.team();
        request.prompt_tokens = wanted.prompt_tokens();
        request.output_tokens = wanted.output_tokens();
        request.first_due =
            now_ + milliseconds(wanted.first_due_ms() % (1 << 30));
        starts_.set_slots(wanted.slots());
        starts_.request_start(request, now_);
        (void)starts_.is_passed_over(request, now_);
    }

    time_point now_{std::chrono::hours(1)};
    copy_turns turns_;
    start_queue starts_;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    decisions monitor;
    while (!rest.empty()) {
        const auto length = static_cast<unsigned char>(rest.front());
        rest.remove_prefix(1);
        const auto bytes = rest.substr(0, length);
        rest.remove_prefix(bytes.size());
        v1::MonitorRequest request;
        if (request.ParseFromArray(bytes.data(),
                                   static_cast<int>(bytes.size())))
            monitor.handle(request);
        v1::MonitorNotice notice;
        if (notice.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            monitor.handle(notice);
        monitor.check_bounds();
    }
    return 0;
}
