#ifndef CYCLAMENRUN_CALLER_REQUEST_HPP
#define CYCLAMENRUN_CALLER_REQUEST_HPP

#include "clock.hpp"
#include "config.pb.h"
#include "refusal.hpp"
#include "relay_request.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** The headers of a caller's request that an entry reads. */
struct caller_headers {
    std::string authorization;
    std::string request_id;
    std::string deadline_ms;
    std::string delivery;
    std::string ticket;
    std::string idempotent;
    std::string last_event_id;
};

/** Limits on a caller's prompt and deadline. */
struct caller_limits {
    std::size_t max_prompt_bytes = std::size_t{512} << 10U;
    milliseconds default_deadline{600'000};
    milliseconds max_deadline{3'600'000};
};

/** The format of a generation request and of its response. */
enum class completion_format : std::uint8_t { completions, chat };

/** The fields of a generation request's body. */
struct completion_body {
    std::string service; ///< the `model` member
    std::string prompt;  ///< all text that the engine reads
    /**
     * Fingerprints of the parts of the prompt that other requests may share:
     * all messages or paragraphs but the last.
     */
    std::vector<std::uint64_t> shared_parts;
    std::uint32_t max_tokens = 0; ///< 0: not set
    bool stream = false;
};

outcome<completion_body> parse_completion_body(completion_format format,
                                               const std::string& body,
                                               const caller_limits& limits);

/**
 * Makes the request that the relay runs; `service` is the current configuration
 * of the requested service.
 */
outcome<relay_request>
make_completion_request(completion_format format, const completion_body& parsed,
                        const std::string& body, const caller_headers& headers,
                        const v1::Service& service, const caller_limits& limits,
                        time_point now);

outcome<relay_request> make_call_request(const std::string& body,
                                         const caller_headers& headers,
                                         const v1::Service& service,
                                         const caller_limits& limits,
                                         time_point now);

outcome<relay_request> make_resume_request(const caller_headers& headers,
                                           const caller_limits& limits,
                                           time_point now);

/**
 * True if the id is printable ASCII without spaces, not empty, and not longer
 * than `max_bytes`.
 */
bool is_usable_id(const std::string& caller_id, std::size_t max_bytes);

/**
 * Estimates a prompt's tokens; the entry does not have the engine's tokenizer.
 */
std::uint32_t estimate_tokens(std::size_t bytes);

/**
 * Chained hashes of the prompt's first blocks of about 64 tokens, 64 blocks at
 * most. Two prompts have equal hashes for the blocks of their common prefix.
 */
std::vector<std::uint64_t> prefix_blocks_of(const std::string& prompt);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CALLER_REQUEST_HPP
