#include "daemon_main.hpp"
#include "gateway_process.hpp"
#include "http_dialect.hpp"
#include "record_parser.hpp"
#include "store_feed.hpp"

#include <malloc.h>

using namespace cyclamenrun;

namespace
{

/**
 * Buffers from this size are returned to the operating system when they are
 * released. The allocator's own threshold grows with the buffers that it has
 * seen: the peak of 24 incomplete requests was 23 MB, where 16 were held.
 */
constexpr int returned_buffer_bytes = 128 << 10;

} // namespace

int main(int argc, char** argv)
{
    gateway_settings settings;
    std::string settings_file;
    daemon_program program;
    program.name = "cyclamenrun-gateway";
    program.description = "Forwards callers' requests to upstreams.";
    program.default_settings = default_gateway_settings;
    program.read_settings = [&](const std::string& file) {
        settings_file = file;
        return read_gateway_settings(file).map([&](gateway_settings read) {
            settings = std::move(read);
            return log_settings_of(settings);
        });
    };
    program.serve = [&](const signal_waiter& stop) {
        ::mallopt(M_MMAP_THRESHOLD, returned_buffer_bytes);
        gateway_platform platform;
        platform.dialect = std::make_shared<platform::http_dialect>();
        platform.configurations = platform::make_configuration_feed;
        platform.upstreams = platform::make_upstream_feed;
        platform.marks = platform::make_mark_log;
        platform.read_configuration = platform::read_configuration;
        gateway_process process(settings, platform, [&] {
            return read_gateway_settings(settings_file);
        });
        announce_listener("ready", process.ready_address());
        return serve_until_stopped(process, stop);
    };
    return daemon_main(program, argc, argv);
}
