#include "engine_api.hpp"

int main(int argc, char** argv)
{
    using namespace cyclamenrun::stand_in;
    engine_options options;
    std::string listen = "127.0.0.1:0";
    CLI::App app("Stand-in for a model engine");
    app.add_option("--listen", listen,
                   "IP:PORT to listen on; port 0 picks a free one");
    app.add_option("--step-ms", options.step_ms, "time between tokens in ms");
    app.add_option(
        "--memory-tokens", options.memory_tokens,
        "memory in tokens for prompts and outputs of active requests");
    app.add_option("--prefill-tokens-per-step", options.prefill_tokens_per_step,
                   "prompt tokens computed per step");
    app.add_option("--max-batch", options.max_batch,
                   "maximum number of requests in the batch");
    app.add_option("--median-output-tokens", options.median_output_tokens,
                   "median of the random output lengths");
    app.add_option("--seed", options.seed, "seed of the random output lengths");
    app.add_option("--load-lag-ms", options.load_lag_ms,
                   "age of the sample that /v1/load returns");
    app.add_option("--cache-blocks", options.cache_blocks,
                   "maximum number of cached prompt blocks");
    app.add_option("--cache-lag-ms", options.cache_lag_ms,
                   "minimum age of the events that /v1/cache_events returns");
    app.add_option("--cache-gap", options.cache_gap,
                   "every Nth cache event is lost; 0: none");
    app.add_flag("--ignore-fence", options.ignore_fence,
                 "accept orders with an old fencing number");
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
