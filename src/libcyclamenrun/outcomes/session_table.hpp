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

/** Identifies an entry's stream that reads the answer of a work item. */
using reader_id = std::uint64_t;

/** Frames for one reader. */
struct reader_frames {
    std::vector<link::AgentFrame> frames;
    bool end = false; ///< no more frames will follow
};

/** Limits of a session_table. */
struct session_table_limits {
    std::size_t max_sessions = 0;
    std::size_t max_readers_per_session = 0;
    /** Number of tokens kept for resumption behind the slowest reader. */
    std::uint64_t replay_window_tokens = 0;
};

/**
 * The work items of an agent and the readers of their answers.
 *
 * Each reader has its own position in an answer, so an answer can be sent again
 * through another entry while an earlier stream is still open. Not thread-safe;
 * the gate's lock protects it.
 */
class session_table
{
public:
    explicit session_table(session_table_limits limits) : limits_(limits) {}

    bool full() const { return sessions_.size() >= limits_.max_sessions; }
    std::pair<work_id, work_session&> add(const link::Dispatch& request,
                                          time_point deadline);
    work_session* find(work_id work);
    const work_session* find(work_id work) const;
    /** Returns 0 if there is no such work item; so does find_generation(). */
    work_id find_request(const std::string& request_id) const;
    work_id find_generation(const generation_id& generation) const;
    void remove(work_id work);

    /**
     * Adds a reader that needs the tokens from `next_index` on. Returns a
     * refusal if the answer has too many readers or if `next_index` lies
     * outside the kept tokens.
     */
    outcome<reader_id> attach(work_id work, const std::string& request_id,
                              std::uint64_t next_index);
    /** Removes a reader. Returns its work item, or 0 for an unknown reader. */
    work_id detach(reader_id reader);
    /**
     * Returns the reader's next frames, with up to `max_bytes` of token text,
     * but at least one token if there is one. The final frame follows the last
     * token of work that has ended.
     */
    reader_frames pull(reader_id reader, std::size_t max_bytes);

    void append_token(work_session& session, const std::string& text);
    void set_answer(work_session& session, call_answer answer);

    std::size_t kept_bytes() const { return kept_bytes_; }
    std::map<work_id, work_session>& all() { return sessions_; }
    const std::map<work_id, work_session>& all() const { return sessions_; }

private:
    struct reader_position {
        work_id work = 0;
        std::string request_id;
        std::uint64_t next_index = 0;
        bool accepted_sent = false;
    };

    void trim(work_session& session);

    session_table_limits limits_;
    std::map<work_id, work_session> sessions_;
    std::unordered_map<std::string, work_id> by_request_;
    std::unordered_map<reader_id, reader_position> readers_;
    work_id last_work_ = 0;
    reader_id last_reader_ = 0;
    std::size_t kept_bytes_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SESSION_TABLE_HPP
