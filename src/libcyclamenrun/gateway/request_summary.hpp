#ifndef CYCLAMENRUN_REQUEST_SUMMARY_HPP
#define CYCLAMENRUN_REQUEST_SUMMARY_HPP

#include "clock.hpp"
#include "exported_metrics.hpp"
#include "http_framing.hpp"
#include "log_field.hpp"
#include "request_outcome.hpp"
#include "upstream_choice.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Summary of a request at its end, for the log and the metrics. */
struct request_summary {
    request_outcome outcome = request_outcome::answered;
    unsigned status = 0;
    std::string_view reason; ///< empty: none
    std::string route;
    std::string service;
    std::string team;
    std::string upstream; ///< of the last attempt
    unsigned sends = 0;
    std::uint64_t revision = 0; ///< of the configuration that was used
    milliseconds configuration_age{0};
    std::optional<milliseconds> time_to_first_part;
    milliseconds longest_pause{0};
    milliseconds took{0};
    std::uint64_t events = 0;
    http_framing framing = http_framing::none; ///< of the last response
    /** Bytes that the last response sent after its last complete event. */
    std::size_t partial_event_bytes = 0;
};

std::vector<log_field> fields_of(const request_summary& summary);
void record_metrics(exported_metrics& metrics, const request_summary& summary);

/** Log fields of the values that decided the choice of an upstream. */
std::vector<log_field> fields_of(const placed_upstream& placed);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_SUMMARY_HPP
