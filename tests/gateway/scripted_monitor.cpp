#include "scripted_monitor.hpp"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>

namespace cyclamenrun::testing_support
{

namespace
{

constexpr std::chrono::seconds wait_timeout{10};
constexpr long receive_timeout_us = 20000;

} // namespace

scripted_monitor::scripted_monitor(const std::string& host, std::uint16_t port,
                                   script respond)
    : respond_(std::move(respond)),
      socket_(Poco::Net::SocketAddress(host, port))
{
    socket_.setReceiveTimeout(Poco::Timespan(0, receive_timeout_us));
    thread_ = std::thread([this] { serve(); });
}

scripted_monitor::~scripted_monitor()
{
    stopping_ = true;
    thread_.join();
}

void scripted_monitor::serve()
{
    std::array<char, 2048> bytes{};
    while (!stopping_) {
        try {
            Poco::Net::SocketAddress from;
            const int count = socket_.receiveFrom(
                bytes.data(), static_cast<int>(bytes.size()), from);
            v1::MonitorRequest request;
            if (!request.ParseFromArray(bytes.data(), count))
                continue;
            const auto answer = respond_(request);
            if (answer) {
                const auto text = answer->SerializeAsString();
                socket_.sendTo(text.data(), static_cast<int>(text.size()),
                               from);
            }
            const std::scoped_lock lock(mutex_);
            received_.push_back(request);
            changed_.notify_all();
        } catch (const Poco::TimeoutException&) {
            continue; // checks `stopping_` again
        }
    }
}

bool scripted_monitor::wait_for(
    const std::function<bool(const v1::MonitorRequest&)>& matches) const
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, wait_timeout, [&] {
        return std::any_of(received_.begin(), received_.end(), matches);
    });
}

std::size_t scripted_monitor::count_of(
    const std::function<bool(const v1::MonitorRequest&)>& matches) const
{
    const std::scoped_lock lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(received_.begin(), received_.end(), matches));
}

v1::MonitorNotice start_given(const std::string& id, unsigned slots_taken,
                              double late_streams)
{
    v1::MonitorNotice notice;
    auto& grant = *notice.mutable_start_given();
    grant.set_id(id);
    grant.set_slots_taken(slots_taken);
    grant.set_late_streams(late_streams);
    return notice;
}

v1::MonitorNotice start_passed_over(const std::string& id)
{
    auto notice = start_waits(id);
    notice.mutable_start_waits()->set_passed_over(true);
    return notice;
}

v1::MonitorNotice start_waits(const std::string& id, bool refused)
{
    v1::MonitorNotice notice;
    notice.mutable_start_waits()->set_id(id);
    notice.mutable_start_waits()->set_refused(refused);
    return notice;
}

} // namespace cyclamenrun::testing_support
