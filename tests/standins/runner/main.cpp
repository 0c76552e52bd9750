#include "runner_api.hpp"

int main(int argc, char** argv)
{
    using namespace cyclamenrun::stand_in;
    std::string listen = "127.0.0.1:0";
    std::uint64_t delay_ms = 5;
    CLI::App app("Stand-in for an application runner");
    app.add_option("--listen", listen,
                   "IP:PORT to listen on; port 0 picks a free one");
    app.add_option("--delay-ms", delay_ms, "duration of a call in ms");
    CLI11_PARSE(app, argc, argv);
    server http;
    runner_api api{std::chrono::milliseconds(delay_ms)};
    return http.run(
        listen,
        [&api](server_request& request, server_response& response) {
            api.handle(request, response);
        },
        [&api] { api.stop(); });
}
