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
    std::string version = "v1";
    /** Finds the runner at an address, for copies; unset: orders get a 404. */
    std::function<class engine*(const std::string&)> find_runner = {};
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
    /** Says that it leaves, and goes on serving. */
    void drain()
    {
        log_.write("runner " + settings_.id + " drains");
        draining_ = true;
        write_entry();
    }
    /** Leaves: its entry is removed. */
    void leave()
    {
        end(false);
        directory_.put("keyed.servers", settings_.id, "");
        log_.write("runner " + settings_.id + " has left");
    }
    const engine_settings& settings() const { return settings_; }
    /**
     * True if the memory holds a run of that size besides what the runs here
     * have and may still generate.
     */
    bool has_room_for(int tokens) const
    {
        const std::scoped_lock lock(mutex_);
        int reserved = tokens;
        for (const auto& [id, most] : most_tokens_)
            reserved += most;
        return static_cast<int>(most_tokens_.size()) < settings_.slots &&
               reserved <= settings_.memory_tokens;
    }
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
                "\",\"version\":\"" + settings_.version + "\",\"slots\":" +
                std::to_string(settings_.slots) + ",\"state\":\"" + state() +
                "\",\"cold_left_ms\":0,\"stage\":\"unified\","
                "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                "\"sequence\":" +
                std::to_string(++sequence_) +
                ",\"born\":" + std::to_string(born_) + "}");
    }
    std::string state() const { return draining_ ? "draining" : "ready"; }
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
               ",\"handles\":0,\"pinned\":0,\"held\":0,\"state\":\"" +
               state() + "\","
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
        if (request.path() == "/kv-move")
            return to.send(move(request));
        if (request.method == "DELETE")
            return to.send(response_text(200, "", "{}"));
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
    /** Reads a string of an order to copy. */
    static std::string member(const std::string& body, const std::string& name)
    {
        const auto at = body.find("\"" + name + "\":\"") + name.size() + 4;
        return body.substr(at, body.find('"', at) - at);
    }
    /** Orders to copy: 503 if the destination has no room or can't be reached. */
    std::string move(const message& request)
    {
        const auto id = member(request.body, "id");
        const auto to = member(request.body, "to");
        const bool last =
            request.body.find("\"last\":true") != std::string::npos;
        int most = 0;
        int tokens = 0;
        int created = 0;
        {
            const std::scoped_lock lock(mutex_);
            if (!settings_.find_runner || !most_tokens_.contains(id))
                return response_text(404, "", "{}");
            most = most_tokens_[id];
            tokens = active_[id];
            created = made_[id];
            if (last)
                stopped_.insert(id);
        }
        const auto handle = "h" + std::to_string(++handles_) + settings_.id;
        auto* const destination = settings_.find_runner(to);
        const bool has_room =
            destination != nullptr && destination->has_room_for(most);
        if (has_room && !last) {
            // 131,072 bytes a token over 19,000 Mbit/s.
            const std::scoped_lock lock(link_);
            sleep_ms(1 + tokens * 131072 / 2375000);
        }
        if ((has_room || last) && settings_.backups != nullptr)
            settings_.backups->add(settings_.address.text() + "/" + handle);
        const auto body = "{\"handle\":\"" + handle +
                          "\",\"created\":" + std::to_string(created) + "}";
        return has_room ? response_text(200, "", body)
                        : response_text(503, "", last ? body : "{}");
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
            const auto sizes = request.field("Token-Usage");
            active_[id] = std::atoi(sizes.c_str()) + 4;
            most_tokens_[id] = std::atoi(sizes.c_str()) +
                               std::atoi(sizes.c_str() + sizes.find(',') + 1);
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
        most_tokens_.erase(id);
        made_.erase(id);
        stopped_.erase(id);
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
            if (is_stopped(id, i))
                break;
            open = !to.peer_gone() && to.send(chunk(event_text(i)));
            if (open && loses && i == settings_.lost_after) {
                log_.write("runner " + settings_.id + " loses its answer to " +
                           id + ", by a reset; it runs on");
                to.reset();
                open = false;
                lost = true;
            }
        }
        const bool complete = open && !ended_ &&
                              !is_stopped(id, settings_.events) &&
                              to.send("0\r\n\r\n");
        if (complete && !backup.empty() && settings_.backups != nullptr)
            settings_.backups->use(backup + "/" + id);
        return complete;
    }

    /** Notes an event; true if an order has stopped the run. */
    bool is_stopped(const std::string& id, int event)
    {
        const std::scoped_lock lock(mutex_);
        if (stopped_.contains(id))
            return true;
        if (event > made_[id])
            active_[id] += 4;
        made_[id] = event;
        return false;
    }

    engine_settings settings_;
    store& directory_;
    record& log_;
    std::int64_t born_;
    std::atomic<int> sequence_ = 0;
    mutable std::mutex mutex_;
    std::vector<run> runs_;
    std::map<std::string, int> active_; ///< tokens of each run
    std::map<std::string, int> most_tokens_; ///< that it may have at its end
    std::map<std::string, int> made_;        ///< its events
    std::set<std::string> stopped_;          ///< by an order to copy
    std::mutex link_;
    std::atomic<int> handles_ = 0;
    std::atomic<bool> draining_ = false;
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
