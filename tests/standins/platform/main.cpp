#include "platform_api.hpp"

int main(int argc, char** argv)
{
    using namespace cyclamenrun::stand_in;
    platform_options options;
    std::string listen = "127.0.0.1:0";
    CLI::App app("Stand-in for the platform: logs, list of VMs, weights");
    app.add_option("--listen", listen,
                   "IP:PORT to listen on; port 0 picks a free one");
    app.add_option("--appends-per-second", options.appends_per_second,
                   "append rate limit over all logs");
    app.add_option("--retain-records", options.retain_records,
                   "number of records kept per log");
    app.add_option("--max-record-bytes", options.max_record_bytes,
                   "larger records are refused with 413");
    app.add_option("--list-lag-ms", options.list_lag_ms,
                   "delay until a change of the VM list is visible");
    app.add_option("--weights-per-second", options.weights_per_second,
                   "download rate limit over all weights");
    app.add_option("--weight-bytes", options.weight_bytes,
                   "size of each weight in bytes");
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
