#ifndef CYCLAMENRUN_SERVED_REQUEST_HPP
#define CYCLAMENRUN_SERVED_REQUEST_HPP

#include "gateway_routes.hpp"
#include "http_session.hpp"
#include "request_admission.hpp"
#include "request_facts.hpp"
#include "request_profile.hpp"
#include "suspected_work.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** What is known of one request of a caller while it is served. */
struct served_request {
    caller_request request;
    std::shared_ptr<const gateway_routes> routes = {};
    milliseconds configuration_age{0}; ///< at the admission
    request_facts facts = {};
    suspected_work work = {};
    /** Upstreams were lost under it: it runs where it has few neighbours. */
    bool solo = false;
    admitted_request admitted = {};
    request_profile profile = {};
    std::string service = {}; ///< empty until one is picked
    /**
     * Software version of the stream, fixed by its first event, which an
     * earlier request of the caller may have brought; empty until then.
     */
    std::optional<std::string> version = {};
    /** Ids of the upstreams that it was sent to; the last is the latest. */
    std::vector<std::string> tried = {};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SERVED_REQUEST_HPP
