#ifndef CYCLAMENRUN_ANSWER_RELAY_HPP
#define CYCLAMENRUN_ANSWER_RELAY_HPP

#include "answer_writer.hpp"
#include "clock.hpp"
#include "event_splitter.hpp"
#include "gateway_configuration.hpp"
#include "request_facts.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * The one answer that a caller gets, whichever number of upstreams' responses
 * it is made of: a stream is passed on event by event and goes on where the
 * last response ended, any other answer is held until it is whole. Measures
 * what the caller sees: the time to the first part and the pauses.
 */
class answer_relay
{
public:
    /** What a piece of a response came to. */
    struct progress {
        bool passed_on = false; ///< something went to the caller
        /** Time without a part, if it was longer than the target. */
        std::optional<milliseconds> late_by_pause;
        bool was_first = false;
    };

    answer_relay(std::shared_ptr<answer_writer> writer, time_point arrived)
        : writer_(std::move(writer)), last_part_at_(arrived)
    {
    }

    /** Known once the request was admitted; zero times: no target. */
    void expect(const gateway_route& route,
                std::optional<std::uint64_t> last_event_id);

    /** A further response follows, from a new run or from where one moved. */
    void next_response();
    void take_head(http_head&& head, const response_facts& facts);
    tl::expected<progress, event_order_problem>
    take_body(std::string_view bytes, time_point now);

    // The end, one of these.

    /** The response at hand, which was held. */
    progress deliver(time_point now);
    /** The response at hand was passed on as it came, and is whole. */
    void finish(time_point now);
    void refuse(http_head head, std::string_view body);
    /** The caller must see that its answer is cut. */
    void abort();
    /** The caller has gone. */
    void forget() { writer_.reset(); }

    /** Part of an answer has gone to the caller. */
    bool begun() const { return begun_; }
    /** The response at hand goes out as it comes. */
    bool passing() const { return passing_; }
    unsigned status() const { return head_.status; }
    const response_facts& facts() const { return facts_; }
    std::optional<std::uint64_t> last_event_id() const
    {
        return events_.last_id();
    }
    std::uint64_t events() const { return events_.events(); }
    /** From the request's arrival to the first part of its answer. */
    std::optional<milliseconds> first_after() const { return first_after_; }
    milliseconds longest_pause() const { return longest_pause_; }

    /** More waits for the caller than it should. */
    bool caller_is_slow() const;
    void on_drained(std::function<void()> drained);

private:
    progress pass(std::string_view bytes, time_point now);
    std::optional<milliseconds> note_part(time_point now);

    std::shared_ptr<answer_writer> writer_;
    bool is_stream_ = false;
    milliseconds first_target_{0};
    milliseconds pause_target_{0};

    http_head head_;
    response_facts facts_;
    std::string body_;
    event_splitter events_;
    bool passing_ = false;
    bool begun_ = false;
    time_point last_part_at_; ///< before the first: of the arrival
    std::optional<milliseconds> first_after_;
    milliseconds longest_pause_{0};
};

/** An answer up to this size is held until it is whole, so that one that
 * breaks off can be asked for again; plain services answer 800 B on average. */
inline constexpr std::size_t held_answer_bytes = std::size_t(256) << 10;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ANSWER_RELAY_HPP
