#ifndef CYCLAMENRUN_STREAM_ORIGINS_HPP
#define CYCLAMENRUN_STREAM_ORIGINS_HPP

#include "clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenrun::v1
{
class PeerMessage;
class StreamOrigin;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/** Where a stream began: only upstreams of this kind may continue it. */
struct stream_origin {
    std::string service;
    std::string version; ///< of the software; empty: its upstream named none

    bool operator==(const stream_origin&) const = default;
};

/**
 * Knows where streams began, by the id of the request that brought their first
 * event. A gateway that begins a stream tells a few others, chosen by a hash of
 * the id, so that any gateway can ask them when a caller resumes the stream.
 */
class stream_origins
{
public:
    struct hooks {
        std::function<std::string()> own_host;
        /** Other gateways that are known. */
        std::function<std::vector<std::string>()> hosts;
        std::function<void(const std::string& host, v1::PeerMessage)> send;
        /** Calls a function after this time. */
        std::function<void(milliseconds, std::function<void()>)> post_after;
    };
    /** Called once; empty if nobody knows, or the id has several origins. */
    using handler = std::function<void(std::optional<stream_origin>)>;

    /** To be called before all else in a fleet that exchanges messages. */
    void set_hooks(hooks on) { on_ = std::move(on); }

    /** Records the first event of a stream here and at a few gateways. */
    void record(const std::string& id, const stream_origin& origin,
                time_point now);
    /** Finds an origin here, or else asks the gateways that should know it. */
    void find(const std::string& id, time_point now, handler on_found);
    /** Handles what a gateway tells or asks, and returns the answer to it. */
    std::optional<v1::PeerMessage> handle(const std::string& host,
                                          const v1::PeerMessage& message,
                                          time_point now);

    std::size_t size() const { return known_.size(); }

private:
    struct known_origin {
        stream_origin origin;
        bool ambiguous = false; ///< streams of different origin used the id
        time_point expires_at;
    };
    struct question {
        std::vector<handler> handlers;
        std::set<std::string> unanswered; ///< hosts that were asked
        std::uint64_t number = 0;         ///< of the question
    };

    const known_origin* find_known(const std::string& id, time_point now) const;
    void store(const std::string& id, const stream_origin& origin,
               bool ambiguous, time_point now);
    void remove_expired(time_point now);
    /** The gateways that should know the id, this one perhaps included. */
    std::vector<std::string> holders(const std::string& id,
                                     std::size_t count) const;
    void ask(const std::string& id);
    void repeat_question(const std::string& id, std::uint64_t number);
    void end_question(const std::string& id);
    void handle_answer(const std::string& host, const v1::StreamOrigin& told,
                       time_point now);

    hooks on_;
    std::unordered_map<std::string, known_origin> known_;
    /** Ids in the order in which they expire. */
    std::deque<std::pair<time_point, std::string>> expiries_;
    std::unordered_map<std::string, question> questions_;
    std::uint64_t last_question_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STREAM_ORIGINS_HPP
