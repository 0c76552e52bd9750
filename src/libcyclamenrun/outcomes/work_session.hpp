#ifndef CYCLAMENRUN_WORK_SESSION_HPP
#define CYCLAMENRUN_WORK_SESSION_HPP

#include "clock.hpp"
#include "generation_id.hpp"
#include "link.pb.h"
#include "refusal.hpp"
#include "replay_buffer.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

enum class work_state : std::uint8_t {
    waiting, ///< queued; the upstream has not received it
    running, ///< handed to the upstream
    ended,   ///< its answer or refusal is final
};

std::string_view name_of(work_state state);

/** The answer of an application runner. */
struct call_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    /** False if nothing shows that the body is whole. */
    bool confirmed_whole = true;
};

/** A work item at an agent, from its dispatch until its answer is removed. */
struct work_session {
    link::Dispatch request;
    generation_id generation;
    work_state state = work_state::waiting;
    time_point deadline;
    bool suspect = false; ///< runs alone, see poison_verdict

    time_point started_at{}; ///< valid in state `running`
    std::optional<time_point> first_token_at;
    bool settled = false; ///< has made tokens for `settling_time`

    replay_buffer replay;
    std::string finish_reason;
    std::optional<call_answer> answer; ///< of a call
    std::optional<refusal> refused;

    std::vector<std::uint64_t> readers; ///< ids of the answer's readers
    /**
     * When the work is cancelled for lack of a reader; not set while it has
     * one.
     */
    std::optional<time_point> orphan_deadline;
    /**
     * Id of the engine loss that ended the work and for which the request has a
     * poison mark; 0 if none.
     */
    std::uint64_t loss = 0;
    /** Whether an entry has acknowledged the answer. */
    bool acknowledged = false;
    /** When the answer may be removed; valid in state `ended`. */
    time_point keep_until;

    bool is_call() const { return request.kind() == link::WORK_KIND_CALL; }
    bool has_ticket() const { return request.has_ticket(); }
    std::size_t bytes_kept() const
    {
        return replay.bytes() + (answer ? answer->body.size() : 0);
    }
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_WORK_SESSION_HPP
