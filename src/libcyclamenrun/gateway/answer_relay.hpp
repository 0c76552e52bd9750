#ifndef CYCLAMENRUN_ANSWER_RELAY_HPP
#define CYCLAMENRUN_ANSWER_RELAY_HPP

#include "answer_integrity.hpp"
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
 * Writes the one answer of a request to its caller, from the responses of one
 * or more upstreams. A stream is relayed event by event and continues where the
 * previous response ended; any other answer is buffered until it is complete.
 * Measures the latency that the caller sees: the time to the first part and the
 * pauses between parts.
 */
class answer_relay
{
public:
    /** Result of relaying a piece of a response. */
    struct progress {
        bool relayed = false; ///< bytes were written to the caller
        /** Pause before this part, if it exceeded the target. */
        std::optional<milliseconds> late_pause;
        bool was_first = false; ///< it was the first part of the answer
        /** Time since the previous part, or since the request's arrival. */
        milliseconds pause{0};
        std::uint64_t events = 0; ///< events with an id in this part
    };

    answer_relay(std::shared_ptr<answer_writer> writer, time_point arrived)
        : writer_(std::move(writer)), last_part_at_(arrived)
    {
    }

    /**
     * Sets the shape of the answer and its latency targets (zero: no target)
     * once the request is admitted. `last_event_id`: last event that the caller
     * already has.
     */
    void set_route(const gateway_route& route,
                   std::optional<std::uint64_t> last_event_id);

    /**
     * Prepares for another response, from a new run or from the engine to which
     * the generation moved.
     */
    void prepare_next_response();
    /** Releases what is held of a response that is lost. */
    void drop_response()
    {
        std::string().swap(body_);
        events_.restart();
    }
    /** Handles the head of the current response. */
    void handle_head(http_head&& head, const response_facts& facts);
    /**
     * Relays or buffers bytes of the current response's body. Fails if an event
     * is missing, if one or a buffered answer is too large, or if events
     * without content follow each other.
     */
    tl::expected<progress, event_problem> handle_body(std::string_view bytes,
                                                      time_point now);

    /** Records how the receipt of the current response ended. */
    void end_response(receipt_end how);
    /** Records that the current response's sender crashed or was stopped. */
    void record_sender_stop() { receipt_.sender_stopped = true; }
    /** What is known of the current response, which has ended. */
    answer_integrity integrity() const { return integrity_of(receipt_); }
    /** How the answer may end with the current response. */
    caller_ending ending() const
    {
        return ending_for(integrity(), begun_framing_);
    }

    // Exactly one of these ends the answer. The first two require that ending()
    // delivers it.

    /** Writes the current response, which was buffered. */
    progress deliver(time_point now);
    /** Ends the answer after a relayed response. */
    void finish(time_point now);
    /** Writes an answer of the gateway itself. */
    void refuse(http_head head, std::string_view body);
    /** Ends the answer so that the caller sees that it is incomplete. */
    void abort();
    /** Drops the writer of a caller that has disconnected. */
    void drop_writer() { writer_.reset(); }

    /** True once part of the answer was written to the caller. */
    bool begun() const { return begun_framing_.has_value(); }
    /** True if the current response is relayed as it arrives. */
    bool relaying() const { return relaying_; }
    /** Status of the current response. */
    unsigned status() const { return head_.status; }
    const response_facts& facts() const { return facts_; }
    std::optional<std::uint64_t> last_event_id() const
    {
        return events_.last_id();
    }
    /** Framing of the current response. */
    http_framing framing() const { return receipt_.framing; }
    /** Bytes of the current response after its last complete event. */
    std::size_t partial_event_bytes() const
    {
        return events_.remainder().size();
    }
    /** Number of events with an id that were relayed. */
    std::uint64_t events() const { return events_.events(); }
    /** From the request's arrival to the first part of its answer. */
    std::optional<milliseconds> time_to_first_part() const
    {
        return time_to_first_part_;
    }
    milliseconds longest_pause() const { return longest_pause_; }

    /** Bytes that the caller has not taken yet. */
    std::size_t unsent_bytes() const
    {
        return writer_ ? writer_->unsent_bytes() : 0;
    }
    /** Sets a one-shot callback for when no more than that are left. */
    void on_drained(std::size_t low_water, std::function<void()> drained);
    /** Memory that is held of the current response. */
    std::size_t buffer_bytes() const
    {
        return body_.capacity() + events_.buffer_bytes();
    }

private:
    /** Whether the current response can be passed on at all. */
    bool is_deliverable() const
    {
        return facts_.sealed || !is_success(head_.status);
    }
    void begin();
    progress write_part(std::string_view bytes, time_point now);
    /** Records the pause before a part; returns it if it is late. */
    std::optional<milliseconds> record_part(milliseconds pause, time_point now);
    milliseconds pause_until(time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - last_part_at_);
    }

    std::shared_ptr<answer_writer> writer_;
    bool is_stream_ = false;
    milliseconds first_target_{0};
    milliseconds pause_target_{0};

    http_head head_;
    answer_receipt receipt_{.framing = http_framing::none};
    response_facts facts_;
    std::string body_;
    event_splitter events_;
    bool relaying_ = false;
    /** Framing of the part that the caller has; empty: it has none. */
    std::optional<http_framing> begun_framing_;
    time_point last_part_at_; ///< arrival of the request before the first part
    std::optional<milliseconds> time_to_first_part_;
    milliseconds longest_pause_{0};
};

/**
 * Answers up to this size are buffered until they are complete, so that the
 * request can be retried if the upstream fails; plain services answer 800 B on
 * average.
 */
inline constexpr std::size_t max_buffered_answer_bytes = std::size_t(256) << 10;

/** Answers other than successes are buffered up to this size. */
inline constexpr std::size_t max_error_answer_bytes = std::size_t(4) << 20;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ANSWER_RELAY_HPP
