#include "session_table.hpp"

#include "link_messages.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

link::AgentFrame accepted_frame(const work_session& session)
{
    link::AgentFrame frame;
    write_message(session.generation,
                  *frame.mutable_accepted()->mutable_generation());
    return frame;
}

link::AgentFrame final_frame(const work_session& session)
{
    link::AgentFrame frame;
    frame.set_kept(true);
    if (session.refused) {
        write_message(*session.refused, *frame.mutable_refused());
        frame.set_loss(session.loss);
    } else if (session.answer) {
        auto& answer = *frame.mutable_answer();
        answer.set_status(static_cast<std::uint32_t>(session.answer->status));
        answer.set_content_type(session.answer->content_type);
        answer.set_body(session.answer->body);
        answer.set_unconfirmed(!session.answer->confirmed_whole);
    } else {
        frame.mutable_finished()->set_token_count(session.replay.next_index());
        frame.mutable_finished()->set_finish_reason(session.finish_reason);
    }
    return frame;
}

} // namespace

std::pair<work_id, work_session&>
session_table::add(const link::Dispatch& request, time_point deadline)
{
    const auto work = ++last_work_;
    auto& session = sessions_[work];
    session.request = request;
    session.deadline = deadline;
    by_request_[request.request_id()] = work;
    return {work, session};
}

work_session* session_table::find(work_id work)
{
    const auto found = sessions_.find(work);
    return found == sessions_.end() ? nullptr : &found->second;
}

const work_session* session_table::find(work_id work) const
{
    const auto found = sessions_.find(work);
    return found == sessions_.end() ? nullptr : &found->second;
}

work_id session_table::find_request(const std::string& request_id) const
{
    const auto found = by_request_.find(request_id);
    return found == by_request_.end() ? 0 : found->second;
}

work_id session_table::find_generation(const generation_id& generation) const
{
    const auto* session = find(generation.sequence);
    if (session == nullptr || !(session->generation == generation))
        return 0;
    return generation.sequence;
}

void session_table::remove(work_id work)
{
    const auto found = sessions_.find(work);
    if (found == sessions_.end())
        return;
    kept_bytes_ -= found->second.bytes_kept();
    by_request_.erase(found->second.request.request_id());
    for (const auto reader : found->second.readers)
        readers_.erase(reader);
    sessions_.erase(found);
}

outcome<reader_id> session_table::attach(work_id work,
                                         const std::string& request_id,
                                         std::uint64_t next_index)
{
    auto& session = sessions_.at(work);
    if (session.readers.size() >= limits_.max_readers_per_session)
        return tl::unexpected(failed(refusal_reason::queue_full,
                                     "too many streams are reading this answer",
                                     milliseconds(1000)));
    if (!session.replay.contains(next_index))
        return tl::unexpected(
            failed(refusal_reason::resume_out_of_range,
                   "tokens from this index on are no longer kept or not "
                   "generated yet"));
    session.orphan_deadline.reset();
    readers_[++last_reader_] = {work, request_id, next_index, false};
    session.readers.push_back(last_reader_);
    return last_reader_;
}

work_id session_table::detach(reader_id reader)
{
    const auto found = readers_.find(reader);
    if (found == readers_.end())
        return 0;
    const auto work = found->second.work;
    readers_.erase(found);
    std::erase(sessions_.at(work).readers, reader);
    return work;
}

reader_frames session_table::pull(reader_id id, std::size_t max_bytes)
{
    reader_frames pulled;
    const auto found = readers_.find(id);
    if (found == readers_.end()) {
        pulled.end = true;
        return pulled;
    }
    auto& position = found->second;
    auto& session = sessions_.at(position.work);

    if (!position.accepted_sent && session.state != work_state::waiting) {
        position.accepted_sent = true;
        pulled.frames.push_back(accepted_frame(session));
    }
    if (position.next_index < session.replay.next_index()) {
        auto texts = session.replay.read(position.next_index, max_bytes);
        auto& frame = pulled.frames.emplace_back();
        frame.mutable_tokens()->set_first_index(position.next_index);
        for (auto& text : texts)
            frame.mutable_tokens()->add_text(std::move(text));
        position.next_index += texts.size();
        trim(session);
    }
    if (session.state == work_state::ended &&
        position.next_index == session.replay.next_index()) {
        pulled.frames.push_back(final_frame(session));
        pulled.end = true;
    }
    for (auto& frame : pulled.frames)
        frame.set_request_id(position.request_id);
    return pulled;
}

void session_table::append_token(work_session& session, const std::string& text)
{
    session.replay.append(text);
    kept_bytes_ += text.size();
}

void session_table::set_answer(work_session& session, call_answer answer)
{
    kept_bytes_ += answer.body.size();
    session.answer = std::move(answer);
}

void session_table::trim(work_session& session)
{
    // Trimming moves the remaining tokens, so it waits until a whole window
    // can be dropped.
    const auto window = limits_.replay_window_tokens;
    if (session.replay.next_index() - session.replay.first_index() < 2 * window)
        return;
    auto slowest = session.replay.next_index();
    for (const auto id : session.readers)
        slowest = std::min(slowest, readers_.at(id).next_index);
    const auto before = session.replay.bytes();
    if (slowest > window)
        session.replay.drop_before(slowest - window);
    kept_bytes_ -= before - session.replay.bytes();
}

} // namespace cyclamenrun
