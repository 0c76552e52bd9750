#ifndef CYCLAMENRUN_ENGINE_STREAM_HPP
#define CYCLAMENRUN_ENGINE_STREAM_HPP

#include "engine_client.hpp"
#include "sse_parser.hpp"

#include <optional>
#include <string>

namespace cyclamenrun
{

/** Converts the events of one engine stream to tokens and a result. */
class engine_stream
{
public:
    engine_stream(std::string request_id, const engine_events& events);

    /** Returns false once the stream has ended, complete or with error(). */
    bool handle_event(const sse_event& event);

    bool finished() const { return done_; }
    const std::optional<engine_error>& error() const { return error_; }
    const engine_result& result() const { return result_; }

private:
    bool fail(std::string detail);

    std::string request_id_;
    const engine_events& events_;
    engine_result result_;
    std::optional<engine_error> error_;
    bool done_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_STREAM_HPP
