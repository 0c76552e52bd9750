#include "agent_server.hpp"

#include "link_loop.hpp"
#include "link_messages.hpp"
#include "link_server.hpp"
#include "log_event.hpp"
#include "message_reader.hpp"
#include "operator.pb.h"
#include "server_stream.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr milliseconds tick_interval{200};
constexpr milliseconds max_heartbeat_wait{60'000};

std::string make_refused_frame(const std::string& request_id,
                               const refusal& why, const link::LoadReport& load)
{
    link::AgentFrame frame;
    frame.set_request_id(request_id);
    write_message(why, *frame.mutable_refused());
    *frame.mutable_load() = load;
    return frame.SerializeAsString();
}

} // namespace

agent_server::agent_server(link_loop& loop,
                           const Poco::Net::SocketAddress& address,
                           const std::string& link_key,
                           const link_limits& limits, gate& gate,
                           agent_server_hooks hooks, clock_function clock)
    : loop_(loop), gate_(gate), hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      server_(std::make_unique<link_server>(
          loop, address, link_key, limits,
          [this](const stream_pointer& stream) { handle(stream); }))
{
    schedule_tick();
}

agent_server::~agent_server()
{
    // Timers run on the loop's thread. Clearing the flag on the same thread
    // ensures that no timer callback is running while the object is destroyed.
    std::promise<void> done;
    loop_.post([this, &done] {
        *alive_ = false;
        done.set_value();
    });
    done.get_future().wait();
    server_.reset();
}

Poco::Net::SocketAddress agent_server::address() const
{
    return server_->address();
}

void agent_server::stop_accepting()
{
    server_->stop_accepting();
}

void agent_server::handle(const stream_pointer& stream)
{
    const auto& path = stream->path();
    if (path == "/dispatch")
        dispatch(stream);
    else if (path == "/resume")
        resume(stream);
    else if (path == "/cancel")
        cancel(stream);
    else if (path == "/acknowledge")
        acknowledge(stream);
    else if (path == "/heartbeat")
        heartbeat(stream);
    else if (path == "/drain")
        drain(stream);
    else if (path == "/revisions")
        stream->respond_once(entry_revisions());
    else if (path == "/configuration")
        stream->respond_once(hooks_.configuration_state());
    else if (path == "/dump")
        stream->respond_once(hooks_.dump());
    else
        stream->respond_once({});
}

void agent_server::dispatch(const stream_pointer& stream)
{
    link::Dispatch message;
    if (!read_checked(stream->take_request(), message)) {
        stream->respond_once(make_refused_frame(
            {}, not_run(refusal_reason::protocol_error), {}));
        return;
    }
    serve_reader(stream, message.request_id(), gate_.submit(message, clock_()));
}

void agent_server::resume(const stream_pointer& stream)
{
    link::Resume message;
    if (!read_checked(stream->take_request(), message)) {
        stream->respond_once(make_refused_frame(
            {}, outcome_unknown(refusal_reason::protocol_error), {}));
        return;
    }
    serve_reader(stream, message.request_id(), gate_.resume(message, clock_()));
}

void agent_server::serve_reader(const stream_pointer& stream,
                                const std::string& request_id,
                                const outcome<reader_id>& reader)
{
    if (!reader) {
        log_event(log_severity::info, log_event_name::request_refused,
                  {{log_key::request_id, request_id},
                   {log_key::kind, reader.error().kind},
                   {log_key::reason, reader.error().reason}});
        stream->respond_once(make_refused_frame(request_id, reader.error(),
                                                gate_.load(clock_())));
        return;
    }
    const auto id = *reader;
    {
        const std::scoped_lock lock(mutex_);
        streams_[id] = stream;
    }
    stream->on_closed([this, id] {
        {
            const std::scoped_lock lock(mutex_);
            streams_.erase(id);
        }
        gate_.detach(id, clock_());
    });
    stream->respond([this, id](std::size_t max_bytes) {
        auto frames = gate_.pull(id, max_bytes, clock_());
        pulled_frames answer;
        answer.end = frames.end;
        for (const auto& frame : frames.frames)
            answer.frames.push_back(frame.SerializeAsString());
        return answer;
    });
}

void agent_server::cancel(const stream_pointer& stream)
{
    link::Cancel message;
    if (!read_checked(stream->take_request(), message)) {
        stream->respond_once({});
        return;
    }
    const auto answer = gate_.cancel(message, clock_());
    stream->respond_once(
        make_refused_frame(message.request_id(), answer, gate_.load(clock_())));
}

void agent_server::acknowledge(const stream_pointer& stream)
{
    link::Acknowledge message;
    if (read_checked(stream->take_request(), message))
        gate_.acknowledge(message, clock_());
    stream->respond_once({});
}

void agent_server::drain(const stream_pointer& stream)
{
    link::Drain message;
    const auto now = clock_();
    if (!read_checked(stream->take_request(), message)) {
        stream->respond_once({});
        return;
    }
    log_event(log_severity::info, log_event_name::drain_started);
    if (message.reclaim_in_ms() == 0)
        gate_.drain(now);
    else
        gate_.reclaim(now + milliseconds(message.reclaim_in_ms()), now);
    stream->respond_once(gate_.load(now).SerializeAsString());
}

void agent_server::heartbeat(const stream_pointer& stream)
{
    // The deadline is the time of arrival until the wait is added below.
    pending_heartbeat pending{stream, {}, clock_()};
    if (!read_checked(stream->take_request(), pending.request)) {
        stream->respond_once({});
        return;
    }
    hooks_.apply_configuration(pending.request);
    entry_revisions_.record({pending.request.entry(), process_role::entry,
                             pending.request.failure_domain()},
                            pending.request.config_revision(),
                            pending.deadline);
    gate_.merge_marks(
        {pending.request.marks().begin(), pending.request.marks().end()},
        pending.deadline);
    const auto longest = static_cast<std::uint64_t>(max_heartbeat_wait.count());
    pending.deadline +=
        milliseconds(std::min(pending.request.wait_ms(), longest));
    {
        const std::scoped_lock lock(mutex_);
        heartbeats_.push_back(std::move(pending));
    }
    answer_heartbeats();
}

void agent_server::answer_heartbeats()
{
    std::list<pending_heartbeat> due;
    const auto now = clock_();
    {
        const std::scoped_lock lock(mutex_);
        for (auto next = heartbeats_.begin(); next != heartbeats_.end();) {
            const auto current = next++;
            if (now >= current->deadline || has_changes(current->request))
                due.splice(due.end(), heartbeats_, current);
        }
    }
    for (const auto& pending : due)
        pending.stream->respond_once(
            reply_to(pending.request).SerializeAsString());
}

bool agent_server::has_changes(const link::Heartbeat& request) const
{
    return request.known_change() != gate_.load_change() ||
           request.known_revision() != hooks_.configuration_revision() ||
           request.marks_seen() != gate_.marks_version();
}

link::HeartbeatReply
agent_server::reply_to(const link::Heartbeat& request) const
{
    link::HeartbeatReply reply;
    *reply.mutable_load() = gate_.load(clock_());
    reply.set_config_revision(hooks_.configuration_revision());
    reply.set_load_change(gate_.load_change());
    reply.set_marks_version(gate_.marks_version());
    // A version later than the current one comes from an earlier incarnation
    // of this agent, so the entry gets all marks.
    const auto seen =
        request.marks_seen() > reply.marks_version() ? 0 : request.marks_seen();
    for (auto& mark : gate_.marks_since(seen, clock_()))
        *reply.add_marks() = std::move(mark);
    return reply;
}

std::string agent_server::entry_revisions() const
{
    v1::ListRevisionsResponse response;
    for (auto& row : entry_revisions_.list(clock_()))
        *response.add_processes() = std::move(row);
    return response.SerializeAsString();
}

void agent_server::wake(reader_id reader)
{
    stream_pointer stream;
    {
        const std::scoped_lock lock(mutex_);
        const auto found = streams_.find(reader);
        if (found == streams_.end())
            return;
        stream = found->second.lock();
    }
    if (stream)
        stream->wake();
}

void agent_server::on_state_changed()
{
    loop_.post([this, alive = alive_] {
        if (*alive)
            answer_heartbeats();
    });
}

void agent_server::schedule_tick()
{
    loop_.post_at(clock_() + tick_interval, [this, alive = alive_] {
        if (!*alive)
            return;
        const auto missed = loop_.reactor()->missed();
        const auto missed_now = missed - std::exchange(missed_, missed);
        if (missed_now > duration::zero())
            gate_.record_missed(missed_now);
        gate_.tick(clock_());
        answer_heartbeats();
        schedule_tick();
    });
}

} // namespace cyclamenrun
