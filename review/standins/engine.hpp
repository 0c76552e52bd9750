#ifndef REVIEW_ENGINE_HPP
#define REVIEW_ENGINE_HPP

// A model runner: streams events, reports its load, registers itself in the
// store by heartbeats.

#include "record.hpp"
#include "store.hpp"

#include <algorithm>

namespace review
{

constexpr int heartbeat_ms = 1200;

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::string event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) +
           "\n\n";
}

struct engine_settings {
    std::string id;
    std::string service;
    std::string zone;
    endpoint address;
    int events = 12;        ///< of each stream
    int event_ms = 30;      ///< time for each
    int slots = 24;
    int memory_tokens = 34267;
};

class engine
{
public:
    engine(engine_settings settings, store& directory, record& log)
        : settings_(std::move(settings)), directory_(directory), log_(log),
          born_(unix_ms())
    {
        server_ = std::make_unique<server>(
            settings_.address, [this](const message& request, connection& to) {
                return serve(request, to);
            });
        write_entry();
        heartbeat_ = std::thread([this] { send_heartbeats(); });
    }
    ~engine() { end(false); }

    /** Crashes: nothing is said to the store. */
    void crash()
    {
        log_.write("runner " + settings_.id + " crashes");
        end(true);
    }
    const engine_settings& settings() const { return settings_; }
    /** Requests that this runner ran: id and path. */
    std::vector<std::pair<std::string, std::string>> runs() const
    {
        const std::scoped_lock lock(mutex_);
        return runs_;
    }

private:
    void end(bool by_reset)
    {
        if (ended_.exchange(true))
            return;
        server_->stop(by_reset);
        heartbeat_.join();
    }
    void write_entry()
    {
        directory_.put(
            "keyed.servers", settings_.id,
            "{\"service\":\"" + settings_.service + "\",\"address\":\"" +
                settings_.address.text() + "\",\"zone\":\"" + settings_.zone +
                "\",\"version\":\"v1\",\"slots\":" +
                std::to_string(settings_.slots) +
                ",\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"unified\","
                "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                "\"sequence\":" +
                std::to_string(++sequence_) +
                ",\"born\":" + std::to_string(born_) + "}");
    }
    void send_heartbeats()
    {
        auto next = clock_type::now() + ms(heartbeat_ms);
        while (!ended_) {
            sleep_ms(10);
            if (clock_type::now() < next)
                continue;
            next += ms(heartbeat_ms);
            write_entry();
        }
    }
    std::string report()
    {
        const std::scoped_lock lock(mutex_);
        std::string rows;
        int used = 0;
        for (const auto& [id, tokens] : active_) {
            rows += std::string(rows.empty() ? "" : ",") + "[\"" + id + "\"," +
                    std::to_string(tokens) + ",1,5]";
            used += tokens;
        }
        return "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\","
               "\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,"
               "\"queued\":0,\"active\":" +
               std::to_string(active_.size()) +
               ",\"kv_used\":" + std::to_string(used) +
               ",\"kv_total\":" + std::to_string(settings_.memory_tokens) +
               ",\"handles\":0,\"pinned\":0,\"held\":0,\"state\":\"ready\","
               "\"next\":0,\"born\":" +
               std::to_string(born_) + ",\"runs\":[" + rows + "]}";
    }
    bool serve(const message& request, connection& to)
    {
        if (request.path() == "/report")
            return to.send(response_text(
                200, "Content-Type: application/json\r\n", report()));
        if (request.path() == "/healthz")
            return to.send(response_text(
                200, "Instance-Id: " + settings_.id + "\r\n", ""));
        const auto id = request.field("Attempt-Id");
        if (id.empty())
            return to.send(response_text(400, "Not-Executed: 1\r\n", ""));
        const auto expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != settings_.id) {
            log_.write("runner " + settings_.id + " answers 421 to " + id +
                       " for " + expected);
            return to.send(response_text(421,
                                         "Attempt-Id: " + id +
                                             "\r\nInstance-Id: " +
                                             settings_.id + "\r\n",
                                         ""));
        }
        return stream(request, id, to);
    }
    bool stream(const message& request, const std::string& id, connection& to)
    {
        {
            const std::scoped_lock lock(mutex_);
            runs_.emplace_back(id, request.path());
            active_[id] =
                std::atoi(request.field("Token-Usage").c_str()) + 4;
        }
        log_.write("runner " + settings_.id + " of service " +
                   settings_.service + " runs " + id + " " + request.path() +
                   ", Expect-Instance " + request.field("Expect-Instance"));
        bool open = to.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                            "\r\nResponse-Seal: " + settings_.id + "." + id +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; open && !ended_ && i <= settings_.events; ++i) {
            sleep_ms(settings_.event_ms);
            open = !to.peer_gone() && to.send(chunk(event_text(i)));
        }
        const bool complete = open && !ended_ && to.send("0\r\n\r\n");
        const std::scoped_lock lock(mutex_);
        active_.erase(id);
        return complete;
    }

    engine_settings settings_;
    store& directory_;
    record& log_;
    std::int64_t born_;
    int sequence_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::pair<std::string, std::string>> runs_;
    std::map<std::string, int> active_; ///< tokens of each run
    std::atomic<bool> ended_ = false;
    std::unique_ptr<server> server_;
    std::thread heartbeat_;
};

/** Removes a runner's entry, as the platform does after its silence. */
inline void drop_entry(store& directory, record& log, const std::string& id)
{
    directory.put("keyed.servers", id, "");
    log.write("the platform removes the entry of runner " + id);
}

} // namespace review

#endif
