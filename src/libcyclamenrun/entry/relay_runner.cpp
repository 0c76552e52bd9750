#include "relay_runner.hpp"

#include "agent_links.hpp"
#include "awake_clock.hpp"
#include "caller_writer.hpp"
#include "client_stream.hpp"
#include "message_reader.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Interval between checks whether a waiting caller has disconnected. */
constexpr milliseconds caller_check_interval{250};

client_handlers handlers_for(const std::shared_ptr<relay_mailbox>& mailbox,
                             stream_number stream)
{
    client_handlers handlers;
    handlers.on_frame = [mailbox, stream](std::string frame) {
        mailbox->put({stream, false, false, std::move(frame)});
    };
    handlers.on_end = [mailbox, stream](stream_end end) {
        // The relay ignores a stream's end after the stream's final frame.
        mailbox->put({stream, true, end.clean || end.request_may_have_run, {}});
    };
    return handlers;
}

/**
 * Whether an action may be performed after the caller has disconnected. An
 * acknowledgement may not: the caller did not get its answer and can resume,
 * so the agent must keep the answer.
 */
bool allowed_after_disconnect(const relay_action& action)
{
    const auto* message = std::get_if<send_message>(&action);
    return std::holds_alternative<close_stream>(action) ||
           (message != nullptr && message->path != "/acknowledge");
}

} // namespace

relay_runner::relay_runner(agent_links& links, relay_runner_hooks hooks,
                           clock_function clock)
    : links_(links), hooks_(std::move(hooks)), clock_(std::move(clock))
{
}

relay_result relay_runner::run(relay& relay, caller_writer& writer)
{
    run_state state{relay, writer, std::make_shared<relay_mailbox>(),
                    {},    {},     {}};
    perform(state, relay.start(clock_()));
    awake_clock awake(clock_());
    while (!relay.done()) {
        const auto now = clock_();
        const auto wake_at =
            std::min(relay.next_event(), now + caller_check_interval);
        const auto missed_before = awake.missed();
        awake.begin_wait(now, wake_at);
        const auto event = state.mailbox->take(wake_at);
        awake.end_wait(clock_());
        relay.record_missed(awake.missed() - missed_before);
        if (event) {
            handle_event(state, *event);
        } else if (writer.is_disconnected()) {
            state.result.caller_disconnected = true;
            perform(state, relay.on_caller_disconnected(clock_()));
        }
        if (!relay.done() && clock_() >= relay.next_event())
            perform(state, relay.on_time(clock_()));
    }
    record_completion(state);
    for (const auto& [number, stream] : state.streams)
        stream->cancel();
    state.result.attempts = relay.attempts();
    return state.result;
}

void relay_runner::handle_event(run_state& state, const relay_event& event)
{
    if (event.lost) {
        state.streams.erase(event.stream);
        perform(state, state.relay.on_stream_lost(
                           event.stream, event.request_may_have_run, clock_()));
        return;
    }
    link::AgentFrame frame;
    if (!read_checked(event.frame, frame)) {
        // The relay rejects a frame with another request's id, so an
        // unparsable frame is passed to it as one.
        frame.Clear();
        frame.set_request_id("unparsable");
    }
    if (frame.has_load())
        hooks_.load(frame.load());
    perform(state, state.relay.on_frame(event.stream, frame, clock_()));
    // The agent may send more only after the frame has been written to the
    // caller, so that tokens for a slow caller stay at the agent.
    const auto stream = state.streams.find(event.stream);
    if (stream != state.streams.end())
        stream->second->consumed(event.frame.size());
}

void relay_runner::perform(run_state& state, const relay_actions& actions)
{
    for (const auto& action : actions) {
        if (state.result.caller_disconnected &&
            !allowed_after_disconnect(action))
            return;
        std::visit([&](const auto& one) { perform(state, one); }, action);
    }
}

void relay_runner::perform(run_state& state, const open_stream& action)
{
    record_completion(state);
    const auto agent = hooks_.find_agent(action.upstream);
    if (!agent) {
        state.mailbox->put({action.stream, true, false, {}});
        return;
    }
    if (action.path == "/dispatch") {
        state.dispatched_to = action.upstream;
        hooks_.dispatched(state.relay.request(), action.upstream);
    }
    const auto stream = links_.open(*agent, action.path, action.frame,
                                    handlers_for(state.mailbox, action.stream));
    if (stream)
        state.streams[action.stream] = stream;
}

void relay_runner::perform(run_state& state, const close_stream& action)
{
    const auto stream = state.streams.find(action.stream);
    if (stream == state.streams.end())
        return;
    stream->second->cancel();
    state.streams.erase(stream);
}

void relay_runner::perform(run_state&, const send_message& action)
{
    if (const auto agent = hooks_.find_agent(action.upstream))
        links_.send(*agent, action.path, action.frame);
}

void relay_runner::perform(run_state& state, const write_tokens& action)
{
    if (!state.result.first_token_at)
        state.result.first_token_at = clock_();
    state.result.tokens += action.texts.size();
    hooks_.tokens_sent(state.relay.request().team, action.texts.size());
    if (state.writer.tokens(action))
        return;
    state.result.caller_disconnected = true;
    perform(state, state.relay.on_caller_disconnected(clock_()));
}

void relay_runner::perform(run_state& state, const write_end& action)
{
    if (!action.whole.empty()) {
        state.result.tokens = action.token_count;
        hooks_.tokens_sent(state.relay.request().team, action.token_count);
    }
    state.result.complete = state.writer.end(action);
    state.result.caller_disconnected = !state.result.complete;
}

void relay_runner::perform(run_state& state, const write_answer& action)
{
    state.result.complete = state.writer.answer(action);
    state.result.caller_disconnected = !state.result.complete;
}

void relay_runner::perform(run_state& state, const write_refusal& action)
{
    state.result.refused = action.why;
    state.result.caller_disconnected = !state.writer.refuse(action.why);
}

void relay_runner::record_completion(run_state& state)
{
    if (!state.dispatched_to.empty())
        hooks_.completed(state.dispatched_to);
    state.dispatched_to.clear();
}

} // namespace cyclamenrun
