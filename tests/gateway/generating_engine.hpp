#ifndef CYCLAMENRUN_TESTS_GENERATING_ENGINE_HPP
#define CYCLAMENRUN_TESTS_GENERATING_ENGINE_HPP

#include "clock.hpp"
#include "fake_upstream.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace cyclamenrun::testing_support
{

/** Returns the events from `first` to `last` as upstreams send them. */
inline std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event_text(id);
    return text;
}

/**
 * An engine that streams until it receives a stop order, which is a copy order
 * marked as the last one. For a request that resumes from memory it sends the
 * events after the caller's last one.
 */
class generating_engine
{
public:
    static constexpr int last_event = 12;

    void respond(const arrived_request& request, upstream_reply& reply)
    {
        if (request.head.target == "/kv-move" ||
            request.head.target == "/report")
            std::this_thread::sleep_for(milliseconds(reply_delay_ms));
        if (request.head.target == "/kv-move") {
            handle_order(request, reply);
            return;
        }
        if (request.head.target == "/report") {
            reply.answer(request, 200, report());
            return;
        }
        if (request.head.method == "DELETE") {
            reply.answer(request, 200, "{}");
            return;
        }
        stream(request, reply);
    }

    /** Pauses the stream before this event until the value changes. */
    std::atomic<int> hold_before = 1000;
    /** Closes the connection of a new run in the middle of this event. */
    std::atomic<int> break_before = 1000;
    /** Resets the connection of a new run before this event, and runs on. */
    std::atomic<int> lose_before = 1000;
    /** Orders find no run, also while it goes on. */
    std::atomic<bool> denies_runs = false;
    /** By how much orders and queries wait before they are executed. */
    std::atomic<int> reply_delay_ms = 0;
    /** Reports tell the state of so long ago. */
    std::atomic<int> report_lag_ms = 0;
    /** Start of the process that reports name; 0: they name none. */
    std::atomic<std::int64_t> started_ms = 0;
    /** Ends a run whose connection was reset. */
    std::atomic<bool> ends_lost_runs = false;
    /** True while a run whose connection was reset goes on. */
    std::atomic<bool> runs_on = false;
    /** Streams end with their connection. */
    std::atomic<bool> unframed = false;
    /** Streams say that the engine leaves. */
    std::atomic<bool> says_leaving = false;
    /** If false, copy orders are rejected. */
    std::atomic<bool> has_room = true;
    /** Number of stop orders that are executed without a reply. */
    std::atomic<int> lost_stop_answers = 0;
    /** Number of stop orders that are lost before execution. */
    std::atomic<int> lost_stop_orders = 0;
    /** Number of copy orders received, including stop orders. */
    std::atomic<int> orders = 0;
    /** Called before the reply to a copy order, which closes its connection. */
    std::function<void()> on_copied;
    /** Called when a stop order arrives, before the reply. */
    std::function<void()> on_stop;
    /** Called when a request arrives that resumes a stream. */
    std::function<void()> on_resume;

private:
    void handle_order(const arrived_request& request, upstream_reply& reply)
    {
        ++orders;
        const bool stop =
            request.body.find("\"last\":true") != std::string::npos;
        if (run_over_ || denies_runs) {
            reply.answer(request, 404, "{}");
            return;
        }
        if (!has_room) {
            reply.answer(request, 503, "{}");
            return;
        }
        if (stop && lost_stop_orders-- > 0) {
            reply.reset();
            return;
        }
        if (stop) {
            stopped_ = true;
            if (on_stop)
                on_stop();
            wait_until([&] { return ended_.load(); });
        }
        if (stop && lost_stop_answers-- > 0) {
            stopped_ = false;
            hold_before = 1000;
            reply.reset();
            return;
        }
        const bool closes = !stop && on_copied;
        if (closes)
            on_copied();
        reply.answer(request, 200, R"({"handle":"h1","created":3})",
                     closes ? "Connection: close\r\n" : "");
        if (closes)
            reply.close();
    }

    std::string report() const
    {
        const auto as_of = steady_now() - milliseconds(report_lag_ms);
        const bool is_listed = runs_on && began_at_.load() <= as_of;
        const auto start = started_ms == 0
                               ? std::string()
                               : "\"born\":" + std::to_string(started_ms) + ",";
        return "{" + start +
               R"("active":0,"queued":0,"kv_used":0,"kv_total":1000,"runs":[)" +
               (is_listed ? "[\"" + lost_id_ + "\",10,3,5]" : std::string()) +
               "]}";
    }

    /** Goes on without a caller until an order or the test ends the run. */
    void run_on(const arrived_request& request, upstream_reply& reply)
    {
        lost_id_ = request.field("Attempt-Id");
        runs_on = true;
        reply.reset();
        wait_until([&] { return stopped_ || ends_lost_runs; });
        runs_on = false;
        run_over_ = !stopped_;
        ended_ = true;
    }

    void stream(const arrived_request& request, upstream_reply& reply)
    {
        const auto from = request.field("Last-Event-Id");
        const int first = from.empty() ? 1 : std::stoi(from) + 1;
        if (from.empty())
            began_at_ = steady_now();
        else if (on_resume)
            on_resume();
        ended_ = false;
        run_over_ = false;
        if (unframed)
            reply.begin_unframed(request);
        else
            reply.begin_stream(request, says_leaving ? leaving_field : "");
        for (int id = first; id <= last_event; ++id) {
            wait_until([&] { return id < hold_before || stopped_; });
            if (from.empty() && id >= lose_before) {
                run_on(request, reply);
                return;
            }
            if (stopped_ || (from.empty() && id >= break_before)) {
                // An incomplete event, which no caller may receive. A stream
                // without framing ends after an event, as if it were complete.
                if (!unframed)
                    reply.send("8\r\nid: 99\nd\r\n");
                reply.close();
                run_over_ = !stopped_;
                ended_ = true;
                return;
            }
            reply.event(id);
        }
        reply.end_stream();
        run_over_ = true;
        ended_ = true;
    }

    /** Waits up to ten seconds, so that a failing test ends as well. */
    template <typename Condition>
    static void wait_until(Condition condition)
    {
        const auto deadline = steady_now() + std::chrono::seconds(10);
        while (!condition() && steady_now() < deadline)
            std::this_thread::sleep_for(milliseconds(1));
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<bool> ended_ = true;
    std::atomic<bool> run_over_ = false; ///< not by an order
    std::string lost_id_;                ///< of the run that goes on
    std::atomic<time_point> began_at_{}; ///< of the last new run
};

/** The script of an upstream that is this engine. */
inline fake_upstream::script
script_of(const std::shared_ptr<generating_engine>& engine)
{
    return [engine](const arrived_request& request, upstream_reply& reply) {
        engine->respond(request, reply);
    };
}

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_GENERATING_ENGINE_HPP
