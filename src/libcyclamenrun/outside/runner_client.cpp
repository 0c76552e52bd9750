#include "runner_client.hpp"

#include "cancellation.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** The runner is on the same host or next to it. */
constexpr milliseconds crash_check_timeout{100};

} // namespace

runner_client::runner_client(std::string address, exchange_limits limits,
                             clock_function clock)
    : address_(std::move(address)), limits_(std::move(limits)),
      clock_(std::move(clock))
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
                                request.deadline,
                                true},
                               &cancel);
    if (!answer)
        return tl::unexpected(std::move(answer.error()));
    if (on_notice_)
        on_notice_(notice_of(answer->head));
    if (answer->integrity == answer_integrity::unconfirmed && has_ended())
        return tl::unexpected(http_error{http_failure::lost_mid_answer, true,
                                         "the runner has crashed"});
    return runner_answer{answer->head.status,
                         std::move(answer->head.content_type),
                         std::move(answer->body), answer->integrity};
}

bool runner_client::has_ended() const
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address_),
                       Poco::Timespan(crash_check_timeout.count() *
                                      Poco::Timespan::MILLISECONDS));
        return false;
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return true;
    } catch (const Poco::Exception&) {
        return false; // no response: nothing is known
    }
}

} // namespace cyclamenrun
