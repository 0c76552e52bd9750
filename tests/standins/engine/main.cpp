#include "engine_api.hpp"

int main(int argc, char** argv)
{
    using namespace cyclamenrun::stand_in;
    engine_options options;
    std::string listen = "127.0.0.1:0";
    CLI::App app("Stand-in for a model engine");
    app.add_option("--listen", listen, "IP:PORT, port 0 for any");
    app.add_option("--step-ms", options.step_ms, "time between tokens");
    app.add_option("--memory-tokens", options.memory_tokens,
                   "room for prompts and outputs in decode");
    app.add_option("--prefill-tokens-per-step", options.prefill_tokens_per_step,
                   "speed of prompts");
    app.add_option("--max-batch", options.max_batch, "requests at once");
    app.add_option("--median-output-tokens", options.median_output_tokens,
                   "of the hidden lengths");
    app.add_option("--seed", options.seed, "of the hidden lengths");
    app.add_option("--load-lag-ms", options.load_lag_ms,
                   "age of what /v1/load tells");
    app.add_option("--cache-blocks", options.cache_blocks,
                   "blocks of prompts that are held");
    app.add_option("--cache-lag-ms", options.cache_lag_ms,
                   "age of what /v1/cache_events tells");
    app.add_option("--cache-gap", options.cache_gap,
                   "each so-many-th cache event is lost; 0: none");
    app.add_flag("--ignore-fence", options.ignore_fence,
                 "obey orders with an old fencing number");
    CLI11_PARSE(app, argc, argv);
    server http;
    history events;
    engine_core core(options, events);
    engine_api api(core, events);
    return http.run(
        listen,
        [&api](server_request& request, server_response& response) {
            api.handle(request, response);
        },
        [&core] { core.stop(); });
}
