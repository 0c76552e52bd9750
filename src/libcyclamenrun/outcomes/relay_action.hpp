#ifndef CYCLAMENRUN_RELAY_ACTION_HPP
#define CYCLAMENRUN_RELAY_ACTION_HPP

#include "generation_id.hpp"
#include "refusal.hpp"
#include "relay_request.hpp"
#include "work_session.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenrun
{

/** Number of a relay's stream, counted from 1 in the order of opening. */
using stream_number = std::uint32_t;

/** Open a stream to an agent; the stream's events carry `stream`. */
struct open_stream {
    stream_number stream = 0;
    std::string upstream;
    std::string path;
    std::string frame; ///< serialized Dispatch or Resume
};

/** Close a stream; its later events are ignored. */
struct close_stream {
    stream_number stream = 0;
};

/** Send one message without waiting for its response. */
struct send_message {
    std::string upstream;
    std::string path;
    std::string frame; ///< serialized Cancel or Acknowledge
};

/** Write tokens to the caller. */
struct write_tokens {
    stream_position first;
    std::vector<std::string> texts;
};

/** Complete the caller's answer: the generation has ended. */
struct write_end {
    generation_id generation;
    std::uint64_t token_count = 0;
    std::string finish_reason;
    std::vector<std::string> whole; ///< all tokens, in delivery_mode::whole
};

/** Write an application runner's answer to the caller. */
struct write_answer {
    call_answer answer;
};

/** Write a refusal to the caller. */
struct write_refusal {
    refusal why;
};

using relay_action =
    std::variant<open_stream, close_stream, send_message, write_tokens,
                 write_end, write_answer, write_refusal>;
using relay_actions = std::vector<relay_action>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_ACTION_HPP
