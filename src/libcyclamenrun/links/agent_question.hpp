#ifndef CYCLAMENRUN_AGENT_QUESTION_HPP
#define CYCLAMENRUN_AGENT_QUESTION_HPP

#include "client_stream.hpp"
#include "clock.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * One message to an agent whose one answer a thread waits for. Kept alive by
 * the link's callbacks, which may come after the wait has ended.
 */
class agent_question : public std::enable_shared_from_this<agent_question>
{
public:
    client_handlers handlers();
    /** The stream that carries it; null if none could be opened. */
    void asked_by(std::shared_ptr<client_stream> stream);
    /** Empty if the agent did not answer by then; the stream is dropped. */
    std::optional<std::string> wait(time_point deadline);

private:
    void end(std::optional<std::string> answer);

    std::mutex mutex_;
    std::condition_variable ended_cv_;
    std::shared_ptr<client_stream> stream_;
    std::optional<std::string> answer_;
    bool ended_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_QUESTION_HPP
