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

void request_trace::record(log_event_name event, std::vector<log_field> fields)
{
    step decision{std::chrono::system_clock::now(), event, std::move(fields)};
    if (!followed_id_.empty()) {
        write(decision, followed_id_);
        return;
    }
    if (first_.size() < first_steps) {
        first_.push_back(std::move(decision));
        return;
    }
    if (last_.size() == last_steps) {
        last_.pop_front();
        ++omitted_steps_;
    }
    last_.push_back(std::move(decision));
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
    for (const auto& decision : first_)
        write(decision, request_id);
    for (const auto& decision : last_)
        write(decision, request_id);
    if (omitted_steps_ > 0)
        fields.emplace_back(log_key::left_out, omitted_steps_);
    log_event_at(std::chrono::system_clock::now(), log_severity::warning, event,
                 with_id(request_id, fields));
}

void request_trace::write(const step& decision,
                          const std::string& request_id) const
{
    log_event_at(decision.at, log_severity::warning, decision.event,
                 with_id(request_id, decision.fields));
}

} // namespace cyclamenrun
