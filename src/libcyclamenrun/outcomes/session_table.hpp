#ifndef CYCLAMENRUN_SESSION_TABLE_HPP
#define CYCLAMENRUN_SESSION_TABLE_HPP

#include "link.pb.h"
#include "refusal.hpp"
#include "work_session.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

using work_id = std::uint64_t;

/** One entry's stream that reads the answer of a piece of work. */
using reader_id = std::uint64_t;

/** Frames for one reader. */
struct reader_frames {
    std::vector<link::AgentFrame> frames;
    bool end = false;
};

/** Bounds of a session_table. */
struct session_limits {
    std::size_t max_sessions = 0;
    std::size_t max_readers_per_session = 0;
    /** Tokens that stay resumable behind the slowest reader. */
    std::uint64_t replay_window_tokens = 0;
};

/**
 * The work an agent knows of, and who reads the answers.
 *
 * Each reader has a place of its own in an answer, so that an answer can be
 * sent again through another entry while an earlier stream still hangs.
 * Not thread-safe: the gate's lock covers it.
 */
class session_table
{
public:
    explicit session_table(session_limits limits) : limits_(limits) {}

    bool full() const { return sessions_.size() >= limits_.max_sessions; }
    std::pair<work_id, work_session&> add(const link::Dispatch& request,
                                          time_point deadline);
    work_session* find(work_id work);
    const work_session* find(work_id work) const;
    /** 0 if there is none. */
    work_id find_request(const std::string& request_id) const;
    work_id find_generation(const generation_id& generation) const;
    void forget(work_id work);

    /**
     * Adds a reader that lacks the tokens from `next_index` on. Refused if
     * these aren't there, or not any more.
     */
    outcome<reader_id> attach(work_id work, const std::string& request_id,
                              std::uint64_t next_index);
    /** The work whose reader this was, 0 if it was none any more. */
    work_id detach(reader_id reader);
    reader_frames pull(reader_id reader, std::size_t max_bytes);

    void append_token(work_session& session, const std::string& text);
    void set_answer(work_session& session, call_answer answer);

    std::size_t kept_bytes() const { return kept_bytes_; }
    std::map<work_id, work_session>& all() { return sessions_; }
    const std::map<work_id, work_session>& all() const { return sessions_; }

private:
    struct reading {
        work_id work = 0;
        std::string request_id;
        std::uint64_t next_index = 0;
        bool accepted_sent = false;
    };

    void trim(work_session& session);

    session_limits limits_;
    std::map<work_id, work_session> sessions_;
    std::unordered_map<std::string, work_id> by_request_;
    std::unordered_map<reader_id, reading> readers_;
    work_id last_work_ = 0;
    reader_id last_reader_ = 0;
    std::size_t kept_bytes_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SESSION_TABLE_HPP
