#ifndef CYCLAMENRUN_ENGINE_OUTLOOK_HPP
#define CYCLAMENRUN_ENGINE_OUTLOOK_HPP

#include "clock.hpp"
#include "reading_speed.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A generation that wants to start at an engine. */
struct start_request {
    std::string id;
    std::string gateway; ///< who asks, and is told
    std::string team;    ///< empty: none
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; ///< expected
    /** Its first part is on time until then. */
    time_point first_due{};
};

/** What an engine holds with a generation that may start there. */
struct given_place {
    std::size_t slots_taken = 0;
    std::uint64_t memory_taken = 0; ///< tokens
};

/** A generation that has begun and is in an engine's memory. */
struct held_generation {
    std::string id;
    std::uint64_t memory_tokens = 0;
};

/** What an engine says of itself. */
struct engine_view {
    std::uint32_t running = 0;  ///< those included whose prompt is being read
    std::uint32_t starting = 0; ///< of these: no token yet
    std::uint32_t queued = 0;
    std::uint32_t next_tokens = 0; ///< prompt of the first that is queued
    std::uint64_t memory_used = 0; ///< tokens that can't yield
    std::uint64_t memory_total = 0;
    std::vector<held_generation> generations;
};

/**
 * What one engine has to do and to hold: its latest word, and the starts that
 * were given since, which count at once. No I/O; one thread.
 */
class engine_outlook
{
public:
    /** The engine's word; some of the starts given are in it by now. */
    void take_view(const engine_view& view, time_point now);

    /** The generation may start now. */
    void give(const start_request& start, time_point now);
    bool was_given(const std::string& id) const;
    /** It has ended, or its start is not used. */
    void forget(const std::string& id);

    bool known() const { return view_.memory_total > 0; }
    std::uint64_t memory_total() const { return view_.memory_total; }
    /** Generations that run there or will. */
    std::size_t taken_slots() const;
    /** What it holds with all that was given. */
    given_place place() const;
    /** Time in which the engine reads the prompts that it has yet to read. */
    milliseconds unread(time_point now) const;
    double tokens_read_per_ms() const { return speed_.tokens_per_ms(); }
    /** Time in which it reads so many tokens. */
    milliseconds reading_time(std::uint64_t tokens) const;
    /** Memory that each team's generations hold or were given, in tokens. */
    std::map<std::string, std::uint64_t> memory_by_team() const;
    /** The prompt fits, and what is running has room to grow. */
    bool has_memory_for(const start_request& wanted) const;

private:
    struct given_start {
        start_request who;
        time_point given_at;
        time_point reading_since; ///< the epoch: it waits for its turn
    };

    void move_begun(time_point now);
    void drop_unseen(time_point now);
    void note_reading(time_point now);
    double planned_memory() const;
    /** Null: it did not start here by this monitor's word. */
    const start_request* find_begun(const std::string& id) const;
    /**
     * Memory that is left free so that what runs can grow until one of them
     * ends. While none ends, `n` generations that each have `m` tokens left
     * on average grow by `g` together with the probability exp(-g / m), and
     * the engine preempts one if they need more than is free. Each start
     * risks that once; what is left free costs g / memory of all starts.
     * The sum of both is least at g = m ln(loss * memory / m).
     */
    double room_to_grow(const start_request& wanted) const;
    double expected_left(const held_generation& held,
                         const start_request& wanted) const;

    engine_view view_;
    time_point viewed_at_{};
    std::deque<given_start> given_; ///< that have not begun, in their order
    std::vector<start_request> begun_;
    double mean_prompt_ = 0; ///< of the starts given, in tokens
    reading_speed speed_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_OUTLOOK_HPP
