#include "runner_client.hpp"

#include "cancellation.hpp"

#include <utility>

namespace cyclamenrun
{

runner_client::runner_client(std::string address, http_limits limits,
                             clock_function clock)
    : address_(std::move(address)), limits_(limits), clock_(std::move(clock))
{
}

tl::expected<runner_answer, http_error>
runner_client::call(const runner_request& request, cancellation& cancel)
{
    http_exchange exchange(address_, limits_, clock_);
    auto answer = exchange.run({"POST",
                                request.path,
                                request.content_type,
                                request.body,
                                {{"X-Request-Id", request.request_id}},
                                request.deadline},
                               &cancel);
    if (!answer)
        return tl::unexpected(std::move(answer.error()));
    return runner_answer{answer->head.status,
                         std::move(answer->head.content_type),
                         std::move(answer->body)};
}

} // namespace cyclamenrun
