#include "request_trace.hpp"

#include "log_event.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

std::vector<log_field> with_id(const std::string& request_id,
                               const std::vector<log_field>& fields)
{
    std::vector<log_field> all{{log_key::request_id, request_id}};
    all.insert(all.end(), fields.begin(), fields.end());
    return all;
}

} // namespace

void request_trace::note(log_event_name event, std::vector<log_field> fields)
{
    step noted{std::chrono::system_clock::now(), event, std::move(fields)};
    if (!followed_.empty()) {
        write(noted, followed_);
        return;
    }
    if (first_.size() < first_steps) {
        first_.push_back(std::move(noted));
        return;
    }
    if (last_.size() == last_steps) {
        last_.pop_front();
        ++left_out_;
    }
    last_.push_back(std::move(noted));
}

void request_trace::end(const std::string& request_id, log_severity severity,
                        log_event_name event,
                        std::vector<log_field> fields) const
{
    if (severity == log_severity::info && !late_) {
        log_event_at(std::chrono::system_clock::now(), severity, event,
                     with_id(request_id, fields));
        return;
    }
    for (const auto& noted : first_)
        write(noted, request_id);
    for (const auto& noted : last_)
        write(noted, request_id);
    if (left_out_ > 0)
        fields.emplace_back(log_key::left_out, left_out_);
    log_event_at(std::chrono::system_clock::now(), log_severity::warning, event,
                 with_id(request_id, fields));
}

void request_trace::write(const step& noted,
                          const std::string& request_id) const
{
    log_event_at(noted.at, log_severity::warning, noted.event,
                 with_id(request_id, noted.fields));
}

} // namespace cyclamenrun
