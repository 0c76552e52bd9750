#ifndef CYCLAMENRUN_SESSION_WRITER_HPP
#define CYCLAMENRUN_SESSION_WRITER_HPP

#include "answer_writer.hpp"

#include <cstdint>
#include <memory>

namespace cyclamenrun
{

class http_session;

/** Writes one answer of a session. Has no effect once the answer has ended. */
class session_writer final : public answer_writer
{
public:
    session_writer(std::shared_ptr<http_session> session,
                   std::uint64_t answer_number);

    void write_whole(http_head head, std::string_view body,
                     http_framing framing) override;
    void begin(http_head head, http_framing framing) override;
    void write_piece(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t unsent_bytes() const override;
    void on_drained(std::size_t low_water,
                    std::function<void()> drained) override;

private:
    bool current() const;

    std::shared_ptr<http_session> session_;
    std::uint64_t answer_number_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SESSION_WRITER_HPP
