#ifndef CYCLAMENRUN_HTTP_HEAD_HPP
#define CYCLAMENRUN_HTTP_HEAD_HPP

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

/** Field names compare without regard to case. */
bool same_field_name(std::string_view left, std::string_view right);

/** Start line and fields of one HTTP/1.1 message, in their order. */
struct http_head {
    std::string method; ///< of a request
    std::string target; ///< of a request, as it was sent
    unsigned status = 0;
    std::string reason; ///< of a response
    std::vector<http_field> fields;
    /** The peer keeps the connection open after this message. */
    bool keep_alive = true;
    bool chunked = false;
    /** Neither a length nor chunks: the body ends with the connection. */
    bool ends_with_connection = false;

    /** Value of the first field of that name. */
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
};

/** Whether one of the comma-separated words of `list` is `word`. */
bool has_list_word(std::string_view list, std::string_view word);

/** A status by which an answer says that all went well. */
inline bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

/** A field that concerns one connection only and is never passed on. */
bool is_hop_by_hop(std::string_view name);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_HEAD_HPP
