#ifndef REVIEW_ENGINE_HPP
#define REVIEW_ENGINE_HPP

// A model runner: streams events, reports its load, registers itself in the
// store by heartbeats.

#include "record.hpp"
#include "store.hpp"

#include <algorithm>
#include <set>

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

/** Copies of runs' memory that runners hold: "IP:PORT/ID". */
class copies
{
public:
    void add(const std::string& name)
    {
        const std::scoped_lock lock(mutex_);
        names_.insert(name);
    }
    /** Uses a copy; false if there is none. */
    bool use(const std::string& name)
    {
        const std::scoped_lock lock(mutex_);
        return names_.erase(name) > 0;
    }

private:
    std::mutex mutex_;
    std::set<std::string> names_;
};

/** The time in which a runner worked on a request. */
struct run {
    std::string id;
    std::string path;
    std::string runner;
    time_point began;
    time_point ended;
    bool goes_on = false; ///< from the memory of a run before
};

struct engine_settings {
    std::string id;
    std::string service;
    std::string zone;
    endpoint address;
    int events = 12;        ///< of each stream
    int event_ms = 30;      ///< time for each
    int slots = 24;
    int memory_tokens = 34267;
    /** Where copies of runs are kept; null: the runner makes none. */
    copies* backups = nullptr;
    /**
     * If it returns true, the answer is lost after `lost_after` events: its
     * channel is reset, and the request runs to its end.
     */
    std::function<bool()> loses_answer = {};
    int lost_after = 15;
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
    /** Requests that this runner ran or runs. */
    std::vector<run> runs() const
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
    /** The event before the first one of a run that goes on; 0: a new run. */
    static int events_before(const message& request)
    {
        return std::atoi(request.field("Last-Event-Id").c_str());
    }
    bool stream(const message& request, const std::string& id, connection& to)
    {
        const auto from = request.field("Kv-From");
        if (!from.empty() &&
            (settings_.backups == nullptr || !settings_.backups->use(from)))
            return to.send(response_text(
                503, "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n", ""));
        std::size_t number = 0;
        {
            const std::scoped_lock lock(mutex_);
            number = runs_.size();
            runs_.push_back({id, request.path(), settings_.id,
                             clock_type::now(), time_point::max(),
                             !from.empty()});
            active_[id] = std::atoi(request.field("Token-Usage").c_str()) + 4;
        }
        log_.write("runner " + settings_.id + " of service " +
                   settings_.service + " runs " + id + " " + request.path() +
                   ", Expect-Instance " + request.field("Expect-Instance") +
                   (from.empty() ? "" : ", Kv-From " + from) +
                   (request.field("Last-Event-Id").empty()
                        ? ""
                        : ", Last-Event-Id " + request.field("Last-Event-Id")));
        const bool complete = generate(request, id, to);
        log_.write("runner " + settings_.id + " has ended its work on " + id);
        const std::scoped_lock lock(mutex_);
        runs_[number].ended = clock_type::now();
        active_.erase(id);
        return complete;
    }
    bool generate(const message& request, const std::string& id,
                  connection& to)
    {
        const bool loses =
            settings_.loses_answer && settings_.loses_answer();
        const auto backup = request.field("Kv-Backup");
        const int first = events_before(request) + 1;
        bool open = to.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                            "\r\nResponse-Seal: " + settings_.id + "." + id +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
        bool lost = false;
        for (int i = first; (open || lost) && !ended_ && i <= settings_.events;
             ++i) {
            sleep_ms(settings_.event_ms);
            if (!backup.empty() && settings_.backups != nullptr && i % 5 == 0)
                settings_.backups->add(backup + "/" + id);
            if (lost)
                continue;
            open = !to.peer_gone() && to.send(chunk(event_text(i)));
            if (open && loses && i == settings_.lost_after) {
                log_.write("runner " + settings_.id + " loses its answer to " +
                           id + ", by a reset; it runs on");
                to.reset();
                open = false;
                lost = true;
            }
        }
        const bool complete = open && !ended_ && to.send("0\r\n\r\n");
        if (complete && !backup.empty() && settings_.backups != nullptr)
            settings_.backups->use(backup + "/" + id);
        return complete;
    }

    engine_settings settings_;
    store& directory_;
    record& log_;
    std::int64_t born_;
    int sequence_ = 0;
    mutable std::mutex mutex_;
    std::vector<run> runs_;
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
