#ifndef CYCLAMENRUN_RELAY_REQUEST_HPP
#define CYCLAMENRUN_RELAY_REQUEST_HPP

#include "clock.hpp"
#include "generation_id.hpp"
#include "link.pb.h"
#include "suspected_work.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** How an answer is delivered to its caller. */
enum class delivery_mode : std::uint8_t {
    stream, ///< token by token; the work may be rerun until the first token
    whole,  ///< at once, when complete; the work may be rerun until then
};

/** A caller's request after validation. */
struct relay_request {
    std::string id;
    link::WorkKind kind = link::WORK_KIND_GENERATION;
    delivery_mode delivery = delivery_mode::stream;
    std::string team;
    std::uint32_t team_weight = 1;
    std::string service;
    std::string path;
    std::string body;
    time_point deadline;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /** Hashes of the service and the prompt or body, and of prompt parts. */
    suspected_work work;
    std::vector<std::uint64_t> prefix_blocks; ///< see prefix_blocks_of()
    bool idempotent = true;
    std::optional<link::Ticket> ticket;
    /** Set when the caller resumes: the last token that it has received. */
    std::optional<stream_position> resume_after;
};

/** The upstream chosen for a request, and its agent's incarnation. */
struct route_target {
    std::string upstream;
    std::uint64_t incarnation = 0; ///< 0: not known yet

    bool operator==(const route_target&) const = default;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_REQUEST_HPP
