#include "session_writer.hpp"

#include "http_session.hpp"

#include <utility>

namespace cyclamenrun
{

session_writer::session_writer(std::shared_ptr<http_session> session,
                               std::uint64_t answer_number)
    : session_(std::move(session)), answer_number_(answer_number)
{
}

void session_writer::write_whole(http_head head, std::string_view body,
                                 http_framing framing)
{
    if (current())
        session_->write_whole(std::move(head), body, framing);
}

void session_writer::begin(http_head head, http_framing framing)
{
    if (current())
        session_->begin(std::move(head), framing);
}

void session_writer::write_piece(std::string_view bytes)
{
    if (current())
        session_->write_piece(bytes);
}

void session_writer::finish()
{
    if (current())
        session_->finish();
}

void session_writer::abort()
{
    if (current())
        session_->abort();
}

std::size_t session_writer::unsent_bytes() const
{
    return session_->connection_->unsent_bytes();
}

void session_writer::on_drained(std::size_t low_water,
                                std::function<void()> drained)
{
    if (!current())
        return;
    session_->connection_->set_low_water(low_water);
    session_->on_drained_ = std::move(drained);
}

bool session_writer::current() const
{
    return session_->answer_number_ == answer_number_ && session_->serving_;
}

} // namespace cyclamenrun
