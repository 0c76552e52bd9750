#ifndef CYCLAMENRUN_GATEWAY_DIALECT_HPP
#define CYCLAMENRUN_GATEWAY_DIALECT_HPP

#include "gateway_refusal.hpp"
#include "http_call.hpp"
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
 * Names and formats that callers and upstreams of a deployment use. It
 * translates and decides nothing; tests put a dialect of their own in its
 * place.
 */
class gateway_dialect
{
public:
    gateway_dialect() = default;
    gateway_dialect(const gateway_dialect&) = delete;
    gateway_dialect& operator=(const gateway_dialect&) = delete;
    virtual ~gateway_dialect() = default;

    virtual tl::expected<request_facts, gateway_refusal>
    read_request(const http_head& head) const = 0;

    /**
     * The head that an upstream gets: the caller's without what concerns one
     * connection or is not the caller's to set, and the gateway's own.
     */
    virtual http_head upstream_head(const http_head& from_caller,
                                    const dispatch_facts& facts) const = 0;

    virtual response_facts read_response(const http_head& head) const = 0;

    /** Orders an engine to copy a running generation to another engine. */
    virtual http_head move_call() const = 0;
    virtual std::string move_body(const std::string& request_id,
                                  const ip_endpoint& destination,
                                  bool stop_first) const = 0;
    virtual move_reply read_move(const http_reply& reply) const = 0;

    /** Frees a copy that will not be used. */
    virtual http_head free_copy_call(const std::string& handle) const = 0;

    /** Asks an upstream at the target of its service's health who it is. */
    virtual http_head health_call(const std::string& target) const = 0;
    /** Empty: the reply does not tell. */
    virtual std::optional<std::string>
    read_identity(const http_reply& reply) const = 0;

    /** Asks an engine for its load. */
    virtual http_head load_call() const = 0;
    virtual tl::expected<engine_load, call_failure>
    read_load(const http_reply& reply) const = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_DIALECT_HPP
