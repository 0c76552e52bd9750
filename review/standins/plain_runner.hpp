#ifndef REVIEW_PLAIN_RUNNER_HPP
#define REVIEW_PLAIN_RUNNER_HPP

#include "record.hpp"
#include "store.hpp"

namespace review
{

/** A runner of a plain service: 15 ms of work, 800 B of answer. */
class plain_runner
{
public:
    /** Called with each request that is run. */
    using run_handler = std::function<void(const message&)>;

    plain_runner(std::string id, const std::string& service,
                 const std::string& zone, const endpoint& address,
                 store& directory, run_handler on_run)
        : id_(std::move(id)), directory_(directory), on_run_(std::move(on_run)),
          entry_("{\"service\":\"" + service + "\",\"address\":\"" +
                 address.text() + "\",\"zone\":\"" + zone +
                 "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                 "\"cold_left_ms\":0,\"sequence\":")
    {
        server_ = std::make_unique<server>(
            address, [this](const message& request, connection& to) {
                return serve(request, to);
            });
        write_entry();
        heartbeat_ = std::thread([this] {
            for (int waited = 0; !ended_; waited += 10) {
                sleep_ms(10);
                if (waited % 1200 == 0)
                    write_entry();
            }
        });
    }
    ~plain_runner()
    {
        ended_ = true;
        heartbeat_.join();
        server_->stop(false);
    }

private:
    void write_entry()
    {
        directory_.put("keyed.servers", id_,
                       entry_ + std::to_string(++sequence_) + "}");
    }
    bool serve(const message& request, connection& to)
    {
        const auto id = request.field("Attempt-Id");
        if (request.path() == "/healthz")
            return to.send(
                response_text(200, "Instance-Id: " + id_ + "\r\n", ""));
        if (id.empty())
            return to.send(response_text(400, "Not-Executed: 1\r\n", ""));
        const auto expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != id_)
            return to.send(response_text(
                421, "Attempt-Id: " + id + "\r\nInstance-Id: " + id_ + "\r\n",
                ""));
        on_run_(request);
        sleep_ms(15);
        return to.send(response_text(200,
                                     "Attempt-Id: " + id +
                                         "\r\nResponse-Seal: " + id_ + "." +
                                         id + "\r\n",
                                     std::string(800, 'x')));
    }

    std::string id_;
    store& directory_;
    run_handler on_run_;
    std::string entry_;
    std::atomic<int> sequence_ = 0;
    std::atomic<bool> ended_ = false;
    std::unique_ptr<server> server_;
    std::thread heartbeat_;
};

} // namespace review

#endif
