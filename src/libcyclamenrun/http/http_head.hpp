#ifndef CYCLAMENRUN_HTTP_HEAD_HPP
#define CYCLAMENRUN_HTTP_HEAD_HPP

#include "http_framing.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

struct http_field {
    std::string name;
    std::string value;

    bool operator==(const http_field&) const = default;
};

/** Compares field names, ignoring ASCII case. */
bool same_field_name(std::string_view left, std::string_view right);

/** Start line and fields of one HTTP/1.1 message, fields in message order. */
struct http_head {
    std::string method;  ///< requests only
    std::string target;  ///< requests only, verbatim
    unsigned status = 0; ///< responses only
    std::string reason;  ///< responses only
    std::vector<http_field> fields;
    /** The peer keeps the connection open after this message. */
    bool keep_alive = true;
    bool chunked = false;
    /** Neither a length nor chunked: the body ends with the connection. */
    bool ends_with_connection = false;

    /** Returns the value of the first field of that name. */
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /** Framing of a response's body. */
    http_framing body_framing() const;
};

/** Whether the comma-separated `list` contains `word`, ignoring ASCII case. */
bool has_list_word(std::string_view list, std::string_view word);

/**
 * Whether `status` may stand in a response. 101 may not: it answers a request
 * for an upgrade, which no process here makes.
 */
inline bool is_valid_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status < 600 && status != switching_protocols;
}

/** Whether another head follows the one with this valid status. */
inline bool is_interim(unsigned status)
{
    return status < 200;
}

/** Whether `status` is 2xx. */
inline bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

/** Whether the field applies to one connection only and is not forwarded. */
bool is_hop_by_hop(std::string_view name);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_HEAD_HPP
