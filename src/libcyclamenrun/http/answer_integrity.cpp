#include "answer_integrity.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

/** Both in the order of their enums. */
constexpr std::array<std::string_view, 3> integrity_names{
    "whole", "unconfirmed", "broken_off"};
constexpr std::array<std::string_view, 5> ending_names{
    "with_length", "with_last_chunk", "with_connection", "reset", "unanswered"};

} // namespace

std::string_view name_of(answer_integrity integrity)
{
    return integrity_names.at(static_cast<std::size_t>(integrity));
}

std::string_view name_of(caller_ending ending)
{
    return ending_names.at(static_cast<std::size_t>(ending));
}

answer_integrity integrity_of(const answer_receipt& receipt)
{
    if (receipt.inside_event || receipt.end == receipt_end::broken)
        return answer_integrity::broken_off;
    if (receipt.end == receipt_end::framed)
        return answer_integrity::whole;
    return receipt.framing == http_framing::connection &&
                   !receipt.sender_stopped
               ? answer_integrity::unconfirmed
               : answer_integrity::broken_off;
}

caller_ending ending_for(answer_integrity integrity,
                         std::optional<http_framing> begun)
{
    if (integrity == answer_integrity::broken_off)
        return begun ? caller_ending::reset : caller_ending::unanswered;
    const bool whole = integrity == answer_integrity::whole;
    if (!begun)
        return whole ? caller_ending::with_length
                     : caller_ending::with_connection;
    if (*begun == http_framing::connection)
        return caller_ending::with_connection;
    return whole ? caller_ending::with_last_chunk : caller_ending::reset;
}

} // namespace cyclamenrun
