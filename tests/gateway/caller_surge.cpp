#include "caller_surge.hpp"

#include "ip_endpoint.hpp"

#include <Poco/Net/SocketAddress.h>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cyclamenrun::testing_support
{

caller_surge::caller_surge(plan surge,
                           std::function<std::string()> next_request)
    : plan_(std::move(surge)), next_request_(std::move(next_request)),
      callers_(plan_.callers), epoll_(::epoll_create1(EPOLL_CLOEXEC))
{
}

caller_surge::~caller_surge()
{
    for (const auto& each : callers_)
        if (each.socket >= 0)
            ::close(each.socket);
    ::close(epoll_);
}

surge_result caller_surge::run()
{
    const auto began = steady_now();
    const auto last_start =
        began +
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(plan_.callers) / plan_.callers_per_s));
    const auto deadline = last_start + plan_.answer_time;
    std::array<epoll_event, 64> events{};
    while (ended_ < callers_.size() && steady_now() < deadline) {
        start_due(steady_now(), began);
        const int count = ::epoll_wait(epoll_, events.data(),
                                       static_cast<int>(events.size()), 1);
        for (int i = 0; i < count; ++i)
            handle(events.at(static_cast<std::size_t>(i)).data.u64);
    }
    result_.silent = callers_.size() - ended_;
    return result_;
}

void caller_surge::start_due(time_point now, time_point began)
{
    const std::chrono::duration<double> passed = now - began;
    while (started_ < callers_.size() &&
           static_cast<double>(started_) < passed.count() * plan_.callers_per_s)
        attempt(started_++);
    while (!retries_.empty() && retries_.begin()->first <= now) {
        const auto index = retries_.begin()->second;
        retries_.erase(retries_.begin());
        attempt(index);
    }
}

const std::string& caller_surge::gateway_of(const caller_state& asked) const
{
    return plan_.gateways.at((asked.attempts - 1) % plan_.gateways.size());
}

void caller_surge::attempt(std::size_t index)
{
    auto& caller = callers_[index];
    ++caller.attempts;
    caller.sent = false;
    caller.any_byte = false;
    const Poco::Net::SocketAddress address(gateway_of(caller));
    caller.socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int connected =
        ::connect(caller.socket, address.addr(), address.length());
    if (connected != 0 && errno != EINPROGRESS) {
        end_attempt(index);
        return;
    }
    epoll_event event{};
    event.events = EPOLLOUT;
    event.data.u64 = index;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, caller.socket, &event);
}

void caller_surge::handle(std::size_t index)
{
    auto& caller = callers_[index];
    if (caller.socket < 0)
        return;
    if (caller.sent) {
        read(index);
        return;
    }
    const auto request = next_request_();
    if (::send(caller.socket, request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size())) {
        end_attempt(index);
        return;
    }
    caller.sent = true;
    caller.reader = std::make_unique<http_reader>(
        http_message_kind::response, http_limits{},
        http_reader::hooks{
            [&caller](http_head&& head) { caller.status = head.status; },
            [](std::string_view) {},
            {}});
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = index;
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, caller.socket, &event);
}

void caller_surge::read(std::size_t index)
{
    auto& caller = callers_[index];
    std::array<char, 4096> bytes{};
    const auto count =
        ::recv(caller.socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN)
        return;
    if (count <= 0) {
        end_attempt(index);
        return;
    }
    caller.any_byte = true;
    (void)caller.reader->feed({bytes.data(), static_cast<std::size_t>(count)});
    if (!caller.reader->complete())
        return;
    ++result_.answers[caller.status];
    end(caller);
}

void caller_surge::end_attempt(std::size_t index)
{
    auto& caller = callers_[index];
    if (caller.any_byte) {
        ++result_.broken;
        end(caller);
        return;
    }
    ++result_.unread[gateway_of(caller)];
    if (caller.attempts >= plan_.max_attempts) {
        ++result_.given_up;
        end(caller);
        return;
    }
    ::close(std::exchange(caller.socket, -1));
    retries_.emplace(steady_now() + plan_.pause_between_attempts, index);
}

void caller_surge::end(caller_state& ended)
{
    ::close(std::exchange(ended.socket, -1));
    ++ended_;
}

} // namespace cyclamenrun::testing_support
