#include "platform_api.hpp"

int main(int argc, char** argv)
{
    using namespace cyclamenrun::stand_in;
    platform_options options;
    std::string listen = "127.0.0.1:0";
    CLI::App app("Stand-in for the platform: logs, list of VMs, weights");
    app.add_option("--listen", listen, "IP:PORT, port 0 for any");
    app.add_option("--appends-per-second", options.appends_per_second,
                   "of all logs together");
    app.add_option("--retain-records", options.retain_records,
                   "kept of each log");
    app.add_option("--max-record-bytes", options.max_record_bytes,
                   "larger ones are refused");
    app.add_option("--list-lag-ms", options.list_lag_ms,
                   "age at which a change of a VM shows");
    app.add_option("--weights-per-second", options.weights_per_second,
                   "of all weights together");
    app.add_option("--weight-bytes", options.weight_bytes,
                   "size of each weight");
    CLI11_PARSE(app, argc, argv);
    server http;
    platform_api api(options);
    return http.run(
        listen,
        [&api](server_request& request, server_response& response) {
            api.handle(request, response);
        },
        [&api] { api.stop(); });
}
