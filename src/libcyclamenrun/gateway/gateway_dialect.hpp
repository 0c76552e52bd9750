#ifndef CYCLAMENRUN_GATEWAY_DIALECT_HPP
#define CYCLAMENRUN_GATEWAY_DIALECT_HPP

#include "gateway_refusal.hpp"
#include "http_client.hpp"
#include "http_head.hpp"
#include "request_facts.hpp"
#include "upstream_record.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/**
 * Translates the names and formats that the callers and upstreams of a
 * deployment use. Makes no decisions. Tests substitute a dialect of their own.
 */
class gateway_dialect
{
public:
    gateway_dialect() = default;
    gateway_dialect(const gateway_dialect&) = delete;
    gateway_dialect& operator=(const gateway_dialect&) = delete;
    virtual ~gateway_dialect() = default;

    /** Parses the header fields of a caller's request. */
    virtual tl::expected<request_facts, gateway_refusal>
    read_request(const http_head& head) const = 0;

    /**
     * Returns the head of the request to an upstream: the caller's fields
     * except hop-by-hop fields and those reserved to the gateway, plus the
     * gateway's own fields.
     */
    virtual http_head upstream_head(const http_head& from_caller,
                                    const dispatch_facts& facts) const = 0;

    virtual response_facts read_response(const http_head& head) const = 0;
    /** What an upstream says of itself in the reply to any call. */
    virtual upstream_notice read_notice(const http_reply& reply) const = 0;

    /** Head of the order to copy a running generation to another engine. */
    virtual http_head move_call() const = 0;
    /** `stop_first`: stop the generation before the copy. */
    virtual std::string move_body(const std::string& request_id,
                                  const ip_endpoint& destination,
                                  bool stop_first) const = 0;
    virtual move_reply read_move(const http_reply& reply) const = 0;

    /** Head of the call that frees an unused copy. */
    virtual http_head free_copy_call(const std::string& handle) const = 0;

    /** Head of the health check that returns an upstream's identity. */
    virtual http_head health_call(const std::string& target) const = 0;
    /** Empty if the reply does not contain the identity. */
    virtual std::optional<std::string>
    read_identity(const http_reply& reply) const = 0;

    /** Head of the call that queries an engine's load. */
    virtual http_head load_call() const = 0;
    /** A reply tells the load of so long ago at most. */
    virtual milliseconds max_load_age() const = 0;
    virtual tl::expected<engine_load, call_failure>
    read_load(const http_reply& reply) const = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_DIALECT_HPP
