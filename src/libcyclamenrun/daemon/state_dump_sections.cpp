#include "state_dump_sections.hpp"

#include "build_info.hpp"
#include "metrics.hpp"
#include "process_settings.hpp"
#include "rejected_messages.hpp"

namespace cyclamenrun
{

namespace
{

using Poco::JSON::Object;

void set_quantile(Object& object, const char* name,
                  const std::optional<double>& quantile)
{
    if (quantile)
        object.set(name, *quantile);
}

Object::Ptr to_json(const metric_row& row, const metric_summary& summary)
{
    Object::Ptr object(new Object);
    object->set("unit", std::string(row.unit));
    object->set("count", summary.count);
    object->set("mean", summary.mean);
    object->set("max", summary.maximum);
    object->set("recent_count", summary.recent_count);
    set_quantile(*object, "recent_p50", summary.recent_p50);
    set_quantile(*object, "recent_p99", summary.recent_p99);
    return object;
}

} // namespace

void add_process_section(state_dump& dump, const process_settings& settings,
                         std::string_view role, clock_function clock)
{
    const auto start = clock();
    dump.add_section("process", [name = settings.name, region = settings.region,
                                 domain = settings.failure_domain,
                                 role = std::string(role), start,
                                 clock = std::move(clock)](Object& object) {
        using std::chrono::duration_cast;
        const auto uptime = duration_cast<milliseconds>(clock() - start);
        object.set("name", name);
        object.set("role", role);
        object.set("region", region);
        object.set("failure_domain", domain);
        object.set("version", std::string(build_version));
        object.set("uptime_ms", static_cast<std::int64_t>(uptime.count()));
    });
}

void add_rejected_messages_section(state_dump& dump)
{
    dump.add_section("rejected_messages", [](Object& object) {
        for (const auto& [kind, count] : process_rejected_messages().counts())
            object.set(kind.first + " " + std::string(name_of(kind.second)),
                       count);
    });
}

void add_metrics_section(state_dump& dump, const metrics& recorded_metrics,
                         clock_function clock)
{
    dump.add_section("metrics", [&recorded_metrics,
                                 clock = std::move(clock)](Object& object) {
        const auto now = clock();
        for (const auto& row : metric_table()) {
            const auto summary = recorded_metrics.summary(row.id, now);
            if (summary.count != 0)
                object.set(std::string(row.name), to_json(row, summary));
        }
    });
}

} // namespace cyclamenrun
