#ifndef CYCLAMENRUN_DIRECTORY_RELAY_HPP
#define CYCLAMENRUN_DIRECTORY_RELAY_HPP

#include "directory_messages.hpp"
#include "exported_metrics.hpp"
#include "link_server.hpp"
#include "relayed_calls.hpp"

#include <memory>

namespace cyclamenrun
{

/** The directory feeds that a monitor reads on behalf of gateways. */
struct relay_feeds {
    std::shared_ptr<configuration_text_feed> configurations;
    std::shared_ptr<upstream_feed> upstreams;
};

/** Caches the serialized form of a page that answers several calls. */
template <typename Item>
class encoded_answer
{
public:
    using shared_page = std::shared_ptr<const directory_page<Item>>;

    std::string
    bytes_of(const tl::expected<shared_page, directory_problem>& result)
    {
        if (!result)
            return refusal_bytes(result.error());
        if (page_ != *result) {
            page_ = *result;
            bytes_ = page_bytes(*page_);
        }
        return bytes_;
    }

private:
    shared_page page_;
    std::string bytes_;
};

/**
 * Reads the directory on behalf of gateways, in a monitor. Calls of several
 * gateways share a read, and without a pending call nothing is read. Calls are
 * handled on the loop's thread, and leave() must be called there.
 */
class directory_relay
{
public:
    /** Throws Poco::Exception if it can't listen. */
    directory_relay(link_loop& loop, const ip_endpoint& listen,
                    const relay_feeds& feeds, exported_metrics& metrics);
    directory_relay(const directory_relay&) = delete;
    directory_relay& operator=(const directory_relay&) = delete;
    ~directory_relay();

    ip_endpoint address() const;
    /** The VM is leaving: refuses all calls, so gateways use another relay. */
    void leave();

private:
    void handle_stream(const std::shared_ptr<server_stream>& stream);

    std::shared_ptr<relayed_calls<configuration_text_traits>> configurations_;
    std::shared_ptr<relayed_calls<upstream_record_traits>> upstreams_;
    encoded_answer<configuration_text_record> encoded_configurations_;
    encoded_answer<upstream_change> encoded_upstreams_;
    std::unique_ptr<link_server> server_;
};

/** Path of the streams that carry gateways' directory calls. */
inline constexpr std::string_view directory_path = "/directory";

/** Limits for both ends; they detect a frozen peer within a second. */
link_limits directory_link_limits();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_RELAY_HPP
