#ifndef REVIEW_CONFIGURATION_HPP
#define REVIEW_CONFIGURATION_HPP

#include <string>
#include <vector>

namespace review
{

/** A model service, with the figures of the sheet. */
inline std::string model_service(const std::string& name)
{
    return "{\"name\":\"" + name +
           "\",\"health_path\":\"/healthz\",\"max_conns\":232,"
           "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,"
           "\"kv_capacity\":34267,\"kv_bytes\":131072,\"link_mbps\":19000.0,"
           "\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,"
           "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
           "\"models\":[{\"name\":\"m\"}]}}";
}

/** A route of the sheet's short (resumable) or long (not resumable) streams. */
inline std::string stream_route(const std::string& name,
                                const std::string& service, bool resumable)
{
    return "{\"name\":\"" + name +
           "\",\"host\":\"ficu95.example\",\"path_prefix\":\"/" + name +
           "/\",\"type\":\"streaming\"," +
           (resumable ? "\"timeout_ms\":6000,\"objective_ms\":1500,"
                        "\"priority\":0,\"max_attempts\":2,\"resumable\":true"
                      : "\"timeout_ms\":39000,\"objective_ms\":1800,"
                        "\"priority\":1,\"max_attempts\":1,"
                        "\"resumable\":false") +
           ",\"service\":\"" + service +
           "\",\"public\":false,\"sticky\":true,\"gap_target_ms\":180}";
}

/** A service of plain runners, with the figures of the sheet. */
inline std::string plain_service(const std::string& name)
{
    return "{\"name\":\"" + name +
           "\",\"health_path\":\"/healthz\",\"max_conns\":110,"
           "\"protocol\":\"h1\",\"tls\":false}";
}

/** A route of the sheet's requests that may be repeated. */
inline std::string plain_route(const std::string& name,
                               const std::string& service, int timeout_ms)
{
    return "{\"name\":\"r-" + name +
           "\",\"host\":\"ficu95.example\",\"path_prefix\":\"/" + name +
           "/\",\"type\":\"idempotent\",\"timeout_ms\":" +
           std::to_string(timeout_ms) +
           ",\"objective_ms\":100,\"priority\":2,\"service\":\"" + service +
           "\",\"max_attempts\":2,\"public\":false,\"sticky\":false,"
           "\"resumable\":false}";
}

inline std::string tenant(const std::string& name, const std::string& keys)
{
    return "{\"name\":\"" + name + "\",\"api_keys\":[" + keys +
           "],\"priority\":1}";
}

inline std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& each : parts)
        text += (text.empty() ? "" : ",") + each;
    return text;
}

inline std::string configuration_text(
    const std::vector<std::string>& routes,
    const std::vector<std::string>& services, int version = 7,
    const std::string& tenants = tenant("huka270",
                                        "\"xd9dnn2ctnfzs989anu6\""))
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + joined(routes) +
           "],\"services\":[" + joined(services) +
           "],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000},\"tenants\":[" +
           tenants + "]}";
}

} // namespace review

#endif
