#include "agent_process.hpp"
#include "daemon_main.hpp"

#include <malloc.h>

using namespace cyclamenrun;

namespace
{

/** Buffers of this size or more are mapped, and unmapped when freed. */
constexpr int mapped_buffer_bytes = 128 << 10;

} // namespace

int main(int argc, char** argv)
{
    // Otherwise the allocator raises the bound and each thread keeps the
    // buffers of the longest answers that it has read.
    ::mallopt(M_MMAP_THRESHOLD, mapped_buffer_bytes);
    agent_settings settings;
    daemon_program program;
    program.name = "cyclamenrun-agent";
    program.description = "Controls access to one upstream.";
    program.default_settings = default_agent_settings;
    program.read_settings = [&](const std::string& file) {
        return read_agent_settings(file).map([&](agent_settings read) {
            settings = std::move(read);
            return log_settings_of(settings);
        });
    };
    program.serve = [&](const signal_waiter& stop) {
        agent_process process(settings);
        return serve_until_stopped(process, stop);
    };
    return daemon_main(program, argc, argv);
}
