/**
 * Datagrams between gateways and monitors, several in one input, each behind
 * a byte with its length. Those to a monitor go to its decisions, which must
 * stay within their bounds whatever a stranger sends.
 */
#include "copy_turns.hpp"
#include "load.pb.h"
#include "start_queue.hpp"

#include <cstdlib>
#include <string_view>

using namespace cyclamenrun;

namespace
{

void check(bool sound)
{
    if (!sound)
        std::abort();
}

/** What a monitor decides, in a time that only goes on. */
class decisions
{
public:
    void take(const v1::MonitorRequest& request)
    {
        now_ += milliseconds(1 + request.turn_tokens() % 100);
        if (!request.turn_wanted().empty())
            (void)turns_.ask({request.turn_wanted(), request.gateway(),
                              request.turn_tokens()},
                             now_);
        turns_.end(request.turn_ended());
        if (request.has_start_wanted())
            take_start(request.start_wanted());
        starts_.end(request.start_ended());
    }

    void take(const v1::MonitorNotice& notice)
    {
        engine_view view;
        view.running = notice.load().running();
        view.queued = notice.load().queued();
        view.memory_used = notice.load().memory_used();
        view.memory_total = notice.load().memory_total();
        now_ += milliseconds(50);
        starts_.take_view(view, notice.load().leaving(), now_);
        const auto given = starts_.give(now_);
        check(given.empty() || !starts_.leaving());
        check(!starts_.leaving() || !starts_.has_room_for_copy(0));
    }

    void check_bounds()
    {
        check(starts_.waiting() <= most_waiting_starts);
        const auto next = starts_.next_event(now_);
        check(!next || *next > now_);
        const auto holder = turns_.holder(now_);
        check(!holder || turns_.ask(*holder, now_));
    }

private:
    void take_start(const v1::StartWanted& wanted)
    {
        start_request asked;
        asked.id = wanted.id();
        asked.gateway = "g";
        asked.team = wanted.team();
        asked.prompt_tokens = wanted.prompt_tokens();
        asked.output_tokens = wanted.output_tokens();
        asked.first_due =
            now_ + milliseconds(wanted.first_due_ms() % (1 << 30));
        starts_.set_slots(wanted.slots());
        starts_.ask(asked, now_);
        (void)starts_.is_passed_over(asked, now_);
    }

    time_point now_{std::chrono::hours(1)};
    copy_turns turns_;
    start_queue starts_;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::string_view left(reinterpret_cast<const char*>(data), size);
    decisions monitor;
    while (!left.empty()) {
        const auto length = static_cast<unsigned char>(left.front());
        left.remove_prefix(1);
        const auto bytes = left.substr(0, length);
        left.remove_prefix(bytes.size());
        v1::MonitorRequest request;
        if (request.ParseFromArray(bytes.data(),
                                   static_cast<int>(bytes.size())))
            monitor.take(request);
        v1::MonitorNotice notice;
        if (notice.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            monitor.take(notice);
        monitor.check_bounds();
    }
    return 0;
}
