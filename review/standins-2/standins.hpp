// Stand-ins of the second review: a small HTTP server, the platform's store,
// model runners, a client, and the start of the project's own programs. Only
// the C++ standard library and POSIX sockets on loopback addresses are used.
#ifndef REVIEW_STANDINS_2_HPP
#define REVIEW_STANDINS_2_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins
{

using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;
using time_point = clock_type::time_point;

inline time_point now()
{
    return clock_type::now();
}
inline const time_point& start_time()
{
    static const time_point start = now();
    return start;
}
inline long since_start(time_point at = now())
{
    return std::chrono::duration_cast<ms>(at - start_time()).count();
}

/** record.txt of the case: one line for all that was sent, answered and run. */
class recorder
{
public:
    static recorder& get()
    {
        static recorder one;
        return one;
    }
    void open(const std::string& path)
    {
        const std::scoped_lock lock(mutex_);
        file_.open(path, std::ios::trunc);
    }
    void line(const std::string& text)
    {
        const std::scoped_lock lock(mutex_);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8ld ms  ", since_start());
        file_ << stamp << text << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};
inline void record(const std::string& text)
{
    recorder::get().line(text);
}

inline std::string lower(std::string text)
{
    for (auto& each : text)
        each =
            static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    return text;
}

using fields = std::multimap<std::string, std::string>;

inline std::string field_of(const fields& all, const std::string& name)
{
    const auto found = all.find(lower(name));
    return found == all.end() ? std::string() : found->second;
}

/** A connected socket with a read buffer. */
class channel
{
public:
    explicit channel(int fd) : fd_(fd)
    {
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { close(); }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (fd_ >= 0 && sent < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + sent,
                                      bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return fd_ >= 0;
    }
    /** Reads what is there by `until`; false at the end or a reset. */
    bool read_some(time_point until)
    {
        pollfd poller{fd_, POLLIN, 0};
        const auto left = std::chrono::duration_cast<ms>(until - now()).count();
        if (fd_ < 0 || left < 0 ||
            ::poll(&poller, 1, static_cast<int>(left)) <= 0) {
            timed_out_ = true;
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            reset_ = count < 0;
            ended_ = true;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    /** Waits; true if the peer has closed or reset the channel. */
    bool closed_within(ms time)
    {
        const auto until = now() + time;
        for (;;) {
            const auto left =
                std::chrono::duration_cast<ms>(until - now()).count();
            pollfd poller{fd_, POLLIN, 0};
            const int ready =
                ::poll(&poller, 1, static_cast<int>(std::max<long>(0, left)));
            if (ready > 0) {
                char byte = 0;
                const auto count = ::recv(fd_, &byte, 1, MSG_PEEK);
                if (count <= 0)
                    return true;
                std::this_thread::sleep_for(ms(1));
            }
            if (now() >= until)
                return false;
        }
    }
    void reset()
    {
        if (fd_ < 0)
            return;
        const linger none{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close();
    }
    void close()
    {
        if (fd_ < 0)
            return;
        if (on_close)
            on_close();
        ::close(fd_);
        fd_ = -1;
    }
    bool is_open() const { return fd_ >= 0; }
    bool was_reset() const { return reset_; }
    bool timed_out() const { return timed_out_; }

    std::string buffer;
    std::function<void()> on_close;

private:
    int fd_;
    bool reset_ = false;
    bool ended_ = false;
    bool timed_out_ = false;
};

struct request {
    std::string method;
    std::string target;
    fields head;
    std::string body;
    std::string field(const std::string& name) const
    {
        return field_of(head, name);
    }
};

inline bool parse_head(const std::string& text, std::string& first_line,
                       fields& head)
{
    std::istringstream lines(text);
    std::string line;
    if (!std::getline(lines, line))
        return false;
    while (!line.empty() && line.back() == '\r')
        line.pop_back();
    first_line = line;
    while (std::getline(lines, line)) {
        while (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
        head.emplace(lower(line.substr(0, colon)), value);
    }
    return true;
}

inline std::optional<request> read_request(channel& from, time_point until)
{
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos)
        if (!from.read_some(until))
            return std::nullopt;
    request read;
    std::string first;
    parse_head(from.buffer.substr(0, end), first, read.head);
    from.buffer.erase(0, end + 4);
    std::istringstream words(first);
    words >> read.method >> read.target;
    const auto length = read.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (from.buffer.size() < size)
        if (!from.read_some(until))
            return std::nullopt;
    read.body = from.buffer.substr(0, size);
    from.buffer.erase(0, size);
    return read;
}

inline std::string answer_text(int status, const std::string& body,
                               const std::string& more = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in address_of(const std::string& host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/** Listens on a loopback address and serves each channel on a thread. */
class server
{
public:
    using handler = std::function<void(channel&)>;

    server(const std::string& host, handler serve, int port = 0)
        : host_(host), serve_(std::move(serve))
    {
        listen(port);
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return host_ + ":" + std::to_string(port_); }

    /** Ends as a process that crashes: no listener, and no open channel. */
    void crash()
    {
        const std::scoped_lock lock(mutex_);
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }
    /** Listens at the same address again. */
    void restart()
    {
        listen(port_);
        std::thread([this] { accept(); }).detach();
    }

private:
    void listen(int port)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        auto address = address_of(host_, port);
        // Another program may have the port for a moment when a runner that has
        // crashed starts again.
        int tries = port == 0 ? 1 : 200;
        while (::bind(listener_, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) != 0) {
            if (--tries == 0) {
                std::perror("bind");
                std::_Exit(2);
            }
            std::this_thread::sleep_for(ms(10));
        }
        if (::listen(listener_, 1024) != 0) {
            std::perror("listen");
            std::_Exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
    }
    void accept()
    {
        const int listener = listener_;
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            {
                const std::scoped_lock lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] {
                channel peer(fd);
                peer.on_close = [this, fd] {
                    const std::scoped_lock lock(mutex_);
                    open_.erase(fd);
                };
                serve_(peer);
            }).detach();
        }
    }
    std::string host_;
    handler serve_;
    std::mutex mutex_;
    std::set<int> open_; ///< descriptors of the open channels
    int listener_ = -1;
    int port_ = 0;
};

inline std::string base64(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::size_t i = 0;
    for (; i + 2 < bytes.size(); i += 3) {
        const unsigned v = (unsigned(std::uint8_t(bytes[i])) << 16) |
                           (unsigned(std::uint8_t(bytes[i + 1])) << 8) |
                           unsigned(std::uint8_t(bytes[i + 2]));
        for (int shift = 18; shift >= 0; shift -= 6)
            text += digits[(v >> shift) & 63];
    }
    if (i + 1 == bytes.size()) {
        const unsigned v = unsigned(std::uint8_t(bytes[i])) << 16;
        text += digits[(v >> 18) & 63];
        text += digits[(v >> 12) & 63];
        text += "==";
    } else if (i + 2 == bytes.size()) {
        const unsigned v = (unsigned(std::uint8_t(bytes[i])) << 16) |
                           (unsigned(std::uint8_t(bytes[i + 1])) << 8);
        text += digits[(v >> 18) & 63];
        text += digits[(v >> 12) & 63];
        text += digits[(v >> 6) & 63];
        text += "=";
    }
    return text;
}

inline std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned left = bytes; left > 0; --left)
        text += static_cast<char>(value >> (8 * (left - 1)));
    return text;
}

/** The platform's store: the log with its keyed topics, as far as it is read.
 */
class store
{
public:
    store() : server_("127.0.0.1", [this](channel& peer) { serve(peer); }) {}
    std::string address() const { return server_.address(); }

    /** While it is true, calls get no answer, and channels no later one. */
    std::atomic<bool> silent = false;

    void put(const std::string& topic, const std::string& key,
             const std::string& value)
    {
        const std::scoped_lock lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

private:
    static std::string query_value(const std::string& target,
                                   const std::string& name)
    {
        for (const char before : {'?', '&'}) {
            const auto at = target.find(before + name + "=");
            if (at == std::string::npos)
                continue;
            const auto from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
        return {};
    }

    void serve(channel& peer)
    {
        while (const auto call = read_request(peer, now() + ms(60000))) {
            if (stays_silent())
                return;
            const auto topic = query_value(call->target, "topic");
            std::string body;
            if (call->target.starts_with("/log-newest"))
                body = newest(topic);
            else if (call->target.starts_with("/log-read"))
                body = read(topic, query_value(call->target, "from"),
                            query_value(call->target, "wait_ms"));
            if (stays_silent())
                return;
            if (!peer.send(answer_text(200, body)))
                return;
        }
    }

    /** Waits for the end of a silence; false if there is none. */
    bool stays_silent() const
    {
        const bool was_silent = silent;
        while (silent)
            std::this_thread::sleep_for(ms(5));
        return was_silent;
    }

    std::string newest(const std::string& topic)
    {
        const std::scoped_lock lock(mutex_);
        const auto& records = topics_[topic];
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        for (std::size_t at = 0; at < records.size(); ++at)
            values[records[at].first] = {records[at].second, at};
        std::string items;
        for (const auto& [key, value] : values) {
            if (value.first.empty())
                continue;
            items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" +
                     key + "\",\"value\":\"" + base64(value.first) +
                     "\",\"offset\":" + std::to_string(value.second) + "}";
        }
        return "{\"items\":[" + items +
               "],\"truncated\":false,\"end_offset\":" +
               std::to_string(records.size()) + "}";
    }

    std::string read(const std::string& topic, const std::string& from_text,
                     const std::string& wait_text)
    {
        const std::size_t from = from_text.empty() ? 0 : std::stoul(from_text);
        const ms wait(wait_text.empty() ? 0 : std::stol(wait_text));
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait,
                          [&] { return topics_[topic].size() > from; });
        const auto& records = topics_[topic];
        std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (std::size_t at = from; at < records.size(); ++at) {
            const auto content = big_endian(records[at].first.size(), 1) +
                                 records[at].first + records[at].second;
            body += big_endian(content.size(), 4) + content;
        }
        return body;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>>
        topics_;
    server server_;
};

/** One run of a request at a model runner. */
struct run {
    std::string id;
    int first_event = 1;
    time_point began;
    std::optional<time_point> ended;
    int last_made = 0; ///< the last event made
    bool listed = false;
};

/**
 * A model runner. It reads a prompt for `first_ms`, then makes an event of 4
 * tokens each `event_ms`, until `tokens out` / 4 events are made. It drops a
 * run whose channel its caller closes. GET /report tells the state of
 * `report_lag` ago, and the present one to the monitor beside it.
 */
class model_runner
{
public:
    /** Returns after which event the channel is reset; the run goes on. */
    std::function<std::optional<int>(const request&)> reset_stream_after;
    /** True if the channel of this call is reset instead of an answer. */
    std::function<bool(const request&)> reset_call;
    /**
     * True if an order to copy finds no room at its destination. An order with
     * `last` has stopped the run then, and the answer has the handle by which
     * it can go on here.
     */
    std::function<bool(bool last)> no_room;
    std::atomic<bool> draining = false;
    /** True if this request crashes the runner as it begins to run. */
    std::function<bool(const request&)> crashes;
    std::function<void(const request&)> on_crash;
    ms copy_time{80}; ///< of a run's memory, while the run goes on
    ms first_ms{150};
    ms event_ms{40};
    ms report_lag{500};

    model_runner(std::string id, const std::string& host)
        : id(std::move(id)), host(host),
          server_(host, [this](channel& peer) { serve(peer); })
    {
    }

    std::string address() const { return server_.address(); }
    std::vector<run> runs()
    {
        const std::scoped_lock lock(mutex_);
        std::vector<run> all;
        for (const auto& each : runs_)
            all.push_back(*each);
        return all;
    }

    /** Ends all runs and channels; start_again() is a new incarnation. */
    void crash()
    {
        down = true;
        {
            const std::scoped_lock lock(mutex_);
            for (const auto& each : runs_)
                if (!each->ended)
                    each->ended = now();
        }
        server_.crash();
    }
    void start_again()
    {
        ++born;
        down = false;
        server_.restart();
    }

    const std::string id;
    const std::string host;
    std::atomic<bool> down = false;
    /** Of the present incarnation, which has the id of the one before. */
    std::atomic<std::int64_t> born = 1760000000000;
    /** Of the software of the present incarnation: v1, v2 and so on. */
    std::atomic<int> version = 1;

private:
    void serve(channel& peer)
    {
        int reports = 0;
        bool only_reports = true;
        while (const auto call = read_request(peer, now() + ms(60000))) {
            const bool is_report = call->target == "/report";
            const bool is_health = call->target == "/healthz";
            only_reports = only_reports && (is_report || is_health);
            reports += is_report ? 1 : 0;
            if (is_health) {
                if (!peer.send(
                        answer_text(200, "", "Instance-Id: " + id + "\r\n")))
                    return;
                continue;
            }
            // The monitor beside the runner asks on one channel, again and
            // again; it gets the present state and never a reset.
            const bool is_monitor = only_reports && reports >= 3;
            if (!is_monitor && reset_call && reset_call(*call)) {
                record(id + " resets the channel of " + call->method + " " +
                       call->target + " " + call->body);
                peer.reset();
                return;
            }
            if (is_report) {
                const auto as_of = is_monitor ? now() : now() - report_lag;
                const auto text = report(as_of);
                if (!is_monitor)
                    record(id + " GET /report -> " + text);
                if (!peer.send(answer_text(
                        200, text, "Content-Type: application/json\r\n")))
                    return;
            } else if (call->target == "/kv-move") {
                if (!move(*call, peer))
                    return;
            } else if (call->method == "DELETE") {
                if (!peer.send(answer_text(200, "{}")))
                    return;
            } else if (!serve_request(*call, peer)) {
                return;
            }
        }
    }

    bool is_running(const run& each, time_point at) const
    {
        return each.began + first_ms <= at && (!each.ended || *each.ended > at);
    }

    std::string report(time_point at)
    {
        const std::scoped_lock lock(mutex_);
        std::string rows;
        int active = 0;
        for (const auto& each : runs_) {
            if (each->began > at || (each->ended && *each->ended <= at))
                continue;
            ++active;
            if (!is_running(*each, at))
                continue;
            rows += std::string(rows.empty() ? "" : ",") + "[\"" + each->id +
                    "\",1500," + std::to_string(each->last_made) + ",5]";
        }
        return "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":"
               "1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,"
               "\"active\":" +
               std::to_string(active) +
               ",\"kv_used\":" + std::to_string(active * 1500) +
               ",\"kv_total\":34267,\"handles\":0,\"state\":\"" +
               std::string(draining ? "draining" : "ready") +
               "\",\"next\":0,\"born\":" + std::to_string(born) +
               ",\"runs\":[" + rows + "]}";
    }

    /** Copies at once; with `last` the run stops first. */
    bool move(const request& call, channel& peer)
    {
        const auto at = call.body.find("\"id\":\"") + 6;
        const auto wanted = call.body.substr(at, call.body.find('"', at) - at);
        const bool last = call.body.find("\"last\":true") != std::string::npos;
        const bool rejects = no_room && no_room(last);
        std::shared_ptr<run> found;
        {
            const std::scoped_lock lock(mutex_);
            for (const auto& each : runs_)
                if (each->id == wanted && !each->ended)
                    found = each;
            if (found && last)
                found->ended = now();
        }
        record(id + " POST /kv-move " + call.body + " -> " +
               (!found    ? "404"
                : rejects ? "503"
                          : "200"));
        if (!found)
            return peer.send(answer_text(404, "{}"));
        if (rejects && !last)
            return peer.send(answer_text(503, "{}"));
        if (!last)
            std::this_thread::sleep_for(copy_time);
        return peer.send(answer_text(
            rejects ? 503 : 200,
            "{\"handle\":\"h" + std::to_string(++handles_) +
                "\",\"created\":" + std::to_string(found->last_made) + "}"));
    }

    bool serve_request(const request& call, channel& peer)
    {
        const auto own = std::make_shared<run>();
        own->id = call.field("Attempt-Id");
        const auto expected = call.field("Expect-Instance");
        if (!expected.empty() && expected != id)
            return peer.send(
                answer_text(421, "", "Instance-Id: " + id + "\r\n"));
        const auto resumed = call.field("Last-Event-Id");
        own->first_event = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        own->last_made = own->first_event - 1;
        own->began = now();
        const auto usage = call.field("Token-Usage");
        const auto comma = usage.find(',');
        const int tokens = comma == std::string::npos
                               ? 40
                               : std::stoi(usage.substr(comma + 1));
        const int last_event = std::max(1, tokens / 4);
        {
            const std::scoped_lock lock(mutex_);
            runs_.push_back(own);
        }
        record(id + " runs " + own->id + " " + call.target + " from event " +
               std::to_string(own->first_event) + " to " +
               std::to_string(last_event) + " Deadline-Ms " +
               call.field("Deadline-Ms") +
               (call.field("Kv-From").empty()
                    ? ""
                    : " Kv-From " + call.field("Kv-From")));
        const auto reset_after = reset_stream_after && resumed.empty()
                                     ? reset_stream_after(call)
                                     : std::nullopt;
        if (crashes && crashes(call)) {
            // It begins to run: its head is sent, and no event.
            peer.closed_within(first_ms);
            send_head(peer, *own);
            peer.closed_within(ms(80));
            // Another one may have crashed it meanwhile.
            if (down.exchange(true))
                return false;
            record(id + " crashes under " + own->id);
            crash();
            if (on_crash)
                on_crash(call);
            return false;
        }
        const bool whole = generate(call, peer, *own, last_event, reset_after);
        {
            const std::scoped_lock lock(mutex_);
            if (!own->ended)
                own->ended = now();
        }
        record(id + " ends " + own->id + " at event " +
               std::to_string(own->last_made) + (whole ? " whole" : ""));
        return whole && peer.is_open();
    }

    void send_head(channel& peer, const run& own) const
    {
        peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + own.id +
                  "\r\nResponse-Seal: seal-" + id + "-" + own.id +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Returns true if all events were made and sent. */
    bool generate(const request&, channel& peer, run& own, int last_event,
                  std::optional<int> reset_after)
    {
        bool sends = true;
        const auto pause = [&](time_point until) {
            // A run whose caller has closed the channel is dropped; one whose
            // channel the runner itself has reset goes on.
            const auto left = std::chrono::duration_cast<ms>(until - now());
            if (left.count() <= 0)
                return true;
            if (!sends) {
                std::this_thread::sleep_for(left);
                return true;
            }
            return !peer.closed_within(left);
        };
        const auto stopped = [&] {
            const std::scoped_lock lock(mutex_);
            return own.ended.has_value();
        };
        if (!pause(own.began + first_ms))
            return false;
        send_head(peer, own);
        // What two versions of the software write doesn't fit together.
        const auto made_by = " by v" + std::to_string(version);
        auto next = now();
        for (int event = own.first_event; event <= last_event; ++event) {
            if (stopped()) {
                peer.close();
                return false;
            }
            const auto text = "id: " + std::to_string(event) +
                              "\ndata: token " + std::to_string(event) +
                              " of " + own.id + made_by + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (sends && !peer.send(size + text + "\r\n"))
                return false;
            {
                const std::scoped_lock lock(mutex_);
                own.last_made = event;
            }
            if (sends && reset_after && event == *reset_after) {
                record(id + " resets the channel of " + own.id +
                       " after event " + std::to_string(event) +
                       " and works on");
                std::this_thread::sleep_for(ms(10));
                peer.reset();
                sends = false;
            }
            next += event_ms;
            if (event < last_event && !pause(next))
                return false;
        }
        if (!sends)
            return false;
        return peer.send("0\r\n\r\n");
    }

    std::mutex mutex_;
    std::vector<std::shared_ptr<run>> runs_;
    std::atomic<int> handles_ = 0;
    server server_;
};

/** A runner of a plain service: it runs each request for `work`. */
class plain_runner
{
public:
    ms work{15};

    plain_runner(std::string id, const std::string& host)
        : id(std::move(id)), host(host),
          server_(host, [this](channel& peer) { serve(peer); })
    {
    }
    std::string address() const { return server_.address(); }
    std::vector<run> runs()
    {
        const std::scoped_lock lock(mutex_);
        return runs_;
    }

    const std::string id;
    const std::string host;

private:
    void serve(channel& peer)
    {
        while (const auto call = read_request(peer, now() + ms(60000))) {
            if (call->target == "/healthz") {
                if (!peer.send(
                        answer_text(200, "", "Instance-Id: " + id + "\r\n")))
                    return;
                continue;
            }
            const auto expected = call->field("Expect-Instance");
            if (!expected.empty() && expected != id) {
                record(id + " is not " + expected + ": 421");
                if (!peer.send(
                        answer_text(421, "", "Instance-Id: " + id + "\r\n")))
                    return;
                continue;
            }
            run own;
            own.id = call->field("Attempt-Id");
            own.began = now();
            std::this_thread::sleep_for(work);
            own.ended = now();
            {
                const std::scoped_lock lock(mutex_);
                runs_.push_back(own);
            }
            record(id + " ran " + own.id + " " + call->method + " " +
                   call->target + ", body of " +
                   std::to_string(call->body.size()));
            if (!peer.send(answer_text(200, "answer of " + id + " to " + own.id,
                                       "Attempt-Id: " + own.id +
                                           "\r\nResponse-Seal: seal-" + id +
                                           "\r\n")))
                return;
        }
    }

    std::mutex mutex_;
    std::vector<run> runs_;
    server server_;
};

/** An answer as a client has read it. */
struct answer {
    int status = 0;
    fields head;
    std::string body;
    bool complete = false; ///< with all of its body, as its framing says
    bool read_any = false;
    time_point ended;
    std::string how; ///< if incomplete: closed, reset or time-out
};

/** A client's channel to a gateway. */
class client
{
public:
    explicit client(const std::string& address)
    {
        const auto colon = address.rfind(':');
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto peer = address_of(address.substr(0, colon),
                               std::stoi(address.substr(colon + 1)));
        if (::connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) !=
            0) {
            ::close(fd);
            return;
        }
        channel_ = std::make_unique<channel>(fd);
    }
    bool connected() const { return channel_ && channel_->is_open(); }
    bool send(const std::string& bytes)
    {
        return connected() && channel_->send(bytes);
    }
    bool closed_within(ms time) { return channel_->closed_within(time); }
    void close() { channel_.reset(); }

    answer read(time_point until)
    {
        answer result;
        const auto fail = [&] {
            result.ended = now();
            result.how = !channel_               ? "not connected"
                         : channel_->timed_out() ? "time-out"
                         : channel_->was_reset() ? "reset"
                                                 : "closed";
            return result;
        };
        if (!channel_)
            return fail();
        std::size_t end = 0;
        while ((end = channel_->buffer.find("\r\n\r\n")) == std::string::npos)
            if (!channel_->read_some(until)) {
                result.read_any = !channel_->buffer.empty();
                return fail();
            }
        result.read_any = true;
        std::string first;
        parse_head(channel_->buffer.substr(0, end), first, result.head);
        channel_->buffer.erase(0, end + 4);
        result.status = std::atoi(first.substr(9, 3).c_str());
        const auto length = field_of(result.head, "Content-Length");
        if (!length.empty()) {
            const auto size = std::stoul(length);
            while (channel_->buffer.size() < size)
                if (!channel_->read_some(until))
                    return fail();
            result.body = channel_->buffer.substr(0, size);
            channel_->buffer.erase(0, size);
        } else if (lower(field_of(result.head, "Transfer-Encoding")) ==
                   "chunked") {
            for (;;) {
                std::size_t line = 0;
                while ((line = channel_->buffer.find("\r\n")) ==
                       std::string::npos)
                    if (!channel_->read_some(until))
                        return fail();
                const auto size =
                    std::stoul(channel_->buffer.substr(0, line), nullptr, 16);
                while (channel_->buffer.size() < line + 2 + size + 2)
                    if (!channel_->read_some(until))
                        return fail();
                result.body += channel_->buffer.substr(line + 2, size);
                channel_->buffer.erase(0, line + 2 + size + 2);
                if (size == 0)
                    break;
            }
        } else {
            while (channel_->read_some(until)) {
            }
            result.body = std::exchange(channel_->buffer, {});
            if (channel_->was_reset() || channel_->timed_out())
                return fail();
        }
        result.complete = true;
        result.ended = now();
        return result;
    }

private:
    std::unique_ptr<channel> channel_;
};

/** A program of the project that this case has started. */
class program
{
public:
    program(const std::vector<std::string>& command, const std::string& log)
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        std::vector<char*> words;
        for (const auto& word : command)
            words.push_back(const_cast<char*>(word.c_str()));
        words.push_back(nullptr);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
    program(const program&) = delete;
    ~program()
    {
        if (running())
            ::kill(pid_, SIGKILL);
        if (!reaped_)
            ::waitpid(pid_, nullptr, 0);
    }
    bool running()
    {
        if (reaped_)
            return false;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_)
            return true;
        reaped_ = true;
        status_ = status;
        return false;
    }
    void signal(int number)
    {
        if (running())
            ::kill(pid_, number);
    }
    int status() const { return status_; }
    /** Resident memory in bytes; 0 if the program has ended. */
    std::size_t memory()
    {
        if (!running())
            return 0;
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

private:
    pid_t pid_ = -1;
    bool reaped_ = false;
    int status_ = 0;
};

/** A port that is free for TCP and UDP on all of these hosts. */
inline int common_port(const std::vector<std::string>& hosts)
{
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 200; ++tries) {
        const int port = 20000 + static_cast<int>(random() % 12000);
        bool is_free = true;
        for (const auto& host : hosts) {
            for (const int kind : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, kind, 0);
                auto address = address_of(host, port);
                is_free =
                    is_free && ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                                      sizeof address) == 0;
                ::close(fd);
            }
        }
        if (is_free)
            return port;
    }
    std::exit(2);
}

/** Folder for settings and logs, removed at the end. */
inline std::string temporary_folder()
{
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base ? base : "/tmp") + "/review-2-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
        std::exit(2);
    return name;
}

struct options {
    std::string repository;
    std::string folder; ///< of the case
    bool trouble = true;
};

inline options read_options(int argc, char** argv)
{
    if (argc < 3)
        std::exit(2);
    options read;
    read.repository = argv[1];
    read.folder = argv[2];
    const char* trouble = std::getenv("TROUBLE");
    read.trouble = trouble == nullptr || std::string(trouble) != "0";
    recorder::get().open(read.folder + "/record.txt");
    (void)start_time();
    ::signal(SIGPIPE, SIG_IGN);
    return read;
}

/**
 * A small deployment after the sheet of Amianto Sur: gateways, model runners
 * with a monitor beside each, and the store. The settings are those that
 * deploy/gateway.toml.in and deploy/monitor.toml.in render.
 */
class deployment
{
public:
    deployment(const options& options, int gateways, int runners,
               int plain_runners = 0)
        : options_(options), folder_(temporary_folder())
    {
        for (int i = 0; i < plain_runners; ++i)
            plain.push_back(std::make_unique<plain_runner>(
                "p-" + std::to_string(i + 1),
                "127.0.73." + std::to_string(10 + i)));
        std::vector<std::string> hosts;
        for (int i = 0; i < gateways; ++i)
            hosts.push_back("127.0.71." + std::to_string(10 + i));
        for (int i = 0; i < runners; ++i)
            hosts.push_back("127.0.72." + std::to_string(10 + i));
        port_ = common_port(hosts);
        peers_port_ = common_port(hosts);
        metrics_port_ = common_port(hosts);
        front_port_ = common_port(hosts);
        ready_port_ = common_port(hosts);
        for (int i = 0; i < runners; ++i)
            models.push_back(std::make_unique<model_runner>(
                "i-" + std::to_string(i + 1),
                hosts[static_cast<std::size_t>(gateways + i)]));
        gateway_hosts_.assign(hosts.begin(), hosts.begin() + gateways);
    }
    /**
     * Ends all programs and this one. The threads of the stand-ins go on until
     * the end, so nothing that they use is destroyed.
     */
    [[noreturn]] void finish(int code)
    {
        ending_ = true;
        if (beats_.joinable())
            beats_.join();
        programs_.clear();
        remove_folder();
        std::fflush(nullptr);
        std::_Exit(code);
    }

    /** Lists the runners, writes the configuration, starts the programs. */
    void start(const std::string& configuration)
    {
        directory.put("keyed.op", "config", configuration);
        list_runners();
        beats_ = std::thread([this] {
            auto next = now();
            while (!ending_) {
                std::this_thread::sleep_for(ms(20));
                if (now() < next)
                    continue;
                next += ms(1200);
                list_runners();
            }
        });
        for (const auto& each : models)
            start_monitor(*each);
        for (std::size_t i = 0; i < gateway_hosts_.size(); ++i)
            start_gateway(i);
    }

    void start_gateway(std::size_t i)
    {
        const auto& host = gateway_hosts_[i];
        const auto file = folder_ + "/gateway-" + std::to_string(i) + ".toml";
        std::string seeds;
        for (const auto& each : gateway_hosts_)
            seeds += (seeds.empty() ? "\"" : ",\"") + each + ":8748\"";
        std::ofstream(file)
            << "name = \"edge-" << i << "\"\nregion = \"cuyo\"\n"
            << "failure_domain = \"mendoza-a\"\nlisten = \"" << host << ":"
            << front_port_ << "\"\nready_listen = \"" << host << ":"
            << ready_port_ << "\"\nmetrics_listen = \"" << host << ":"
            << metrics_port_ << "\"\nmemory_mb = 110\n\n[directory]\n"
            << "address = \"" << directory.address()
            << "\"\nconfiguration_lease_ms = 5000\n\n[loads]\nlisten = \""
            << host << ":" << port_ << "\"\nmonitor_port = " << port_
            << "\n\n[peers]\nlisten = \"" << host << ":" << peers_port_
            << "\"\nseeds = [" << seeds << "]\n\n[retries]\nshare = 0.2\n"
            << "extra = 56\nwindow_s = 10\n\n[cold]\n\n[stop]\ngrace_s = 8\n\n"
            << "[limits]\nmax_fds = 4100\ncpu_share = 0.19\n";
        const auto key = "gateway-" + std::to_string(i);
        programs_[key] = std::make_unique<program>(
            std::vector<std::string>{options_.repository +
                                         "/target/bin/cyclamenrun-gateway",
                                     "--settings", file},
            folder_ + "/" + key + ".log");
    }

    /** Kills all programs at once, and starts them again after `pause`. */
    void kill_all(ms pause)
    {
        for (auto& [name, each] : programs_)
            each->signal(SIGKILL);
        programs_.clear();
        std::this_thread::sleep_for(pause);
        for (const auto& each : models)
            start_monitor(*each);
        for (std::size_t i = 0; i < gateway_hosts_.size(); ++i)
            start_gateway(i);
    }

    std::string front(std::size_t i) const
    {
        return gateway_hosts_[i] + ":" + std::to_string(front_port_);
    }
    /** All programs, by name: gateway-0, monitor-i-1 and so on. */
    const std::map<std::string, std::unique_ptr<program>>& programs() const
    {
        return programs_;
    }
    program& gateway(std::size_t i)
    {
        return *programs_.at("gateway-" + std::to_string(i));
    }

    /** Waits until the gateways say that they are ready. */
    bool wait_until_ready(ms time = ms(15000))
    {
        const auto until = now() + time;
        for (const auto& host : gateway_hosts_) {
            for (;;) {
                client asker(host + ":" + std::to_string(ready_port_));
                asker.send("GET /readyz HTTP/1.1\r\nHost: g\r\n\r\n");
                if (asker.read(now() + ms(500)).status == 200)
                    break;
                if (now() >= until)
                    return false;
                std::this_thread::sleep_for(ms(50));
            }
        }
        return true;
    }

    store directory;
    std::vector<std::unique_ptr<model_runner>> models;
    std::vector<std::unique_ptr<plain_runner>> plain;
    /** Further entries of the directory, by id. */
    std::map<std::string, std::string> other_entries;

    /** Writes the runners' entries into the store, as they do now and then. */
    void list_runners()
    {
        const std::scoped_lock lock(listing_);
        // Nobody reaches a store that is silent.
        if (directory.silent)
            return;
        ++sequence_;
        for (const auto& each : models)
            if (!each->down)
                directory.put("keyed.servers", each->id,
                              "{\"service\":\"redactor\",\"address\":\"" +
                                  each->address() +
                                  "\",\"zone\":\"mendoza-a\",\"version\":\"v" +
                                  std::to_string(each->version) +
                                  "\","
                                  "\"slots\":24,\"state\":\"" +
                                  (each->draining ? "draining" : "ready") +
                                  "\",\"cold_left_ms\":0,\"stage\":\"unified\","
                                  "\"models\":[{\"name\":\"m\",\"version\":1,"
                                  "\"adapters\":[]}],\"sequence\":" +
                                  std::to_string(sequence_) + ",\"born\":" +
                                  std::to_string(each->born) + "}");
        for (const auto& each : plain)
            directory.put(
                "keyed.servers", each->id,
                "{\"service\":\"registro\",\"address\":\"" + each->address() +
                    "\",\"zone\":\"mendoza-a\",\"version\":\"v1\","
                    "\"slots\":6,\"state\":\"ready\","
                    "\"cold_left_ms\":0,\"sequence\":" +
                    std::to_string(sequence_) + ",\"born\":1760000000000}");
        for (const auto& [id, text] : other_entries)
            directory.put("keyed.servers", id, text);
    }

private:
    void remove_folder() const
    {
        if (std::getenv("KEEP") != nullptr) {
            std::fprintf(stderr, "kept %s\n", folder_.c_str());
            return;
        }
        const auto command = "rm -rf '" + folder_ + "'";
        (void)!std::system(command.c_str());
    }

    void start_monitor(const model_runner& beside)
    {
        const auto file = folder_ + "/monitor-" + beside.id + ".toml";
        std::ofstream(file)
            << "name = \"side-" << beside.id << "\"\nlisten = \"" << beside.host
            << ":" << port_ << "\"\nengine = \"" << beside.address()
            << "\"\nmetrics_listen = \"" << beside.host << ":" << metrics_port_
            << "\"\n\n[directory]\naddress = \"" << directory.address()
            << "\"\n";
        programs_["monitor-" + beside.id] = std::make_unique<program>(
            std::vector<std::string>{options_.repository +
                                         "/target/bin/cyclamenrun-monitor",
                                     "--settings", file},
            folder_ + "/monitor-" + beside.id + ".log");
    }

    const options& options_;
    std::string folder_;
    std::vector<std::string> gateway_hosts_;
    std::map<std::string, std::unique_ptr<program>> programs_;
    std::thread beats_;
    std::mutex listing_;
    std::atomic<bool> ending_ = false;
    int sequence_ = 0;
    int port_ = 0;
    int peers_port_ = 0;
    int metrics_port_ = 0;
    int front_port_ = 0;
    int ready_port_ = 0;
};

/** A configuration after the sheet of Amianto Sur, as the operator writes it.
 */
inline std::string configuration_text()
{
    return "{\"version\":7,\"routes\":["
           "{\"name\":\"r-dossier\",\"host\":\"ficu95.example\","
           "\"path_prefix\":\"/dossier/\",\"type\":\"streaming\","
           "\"timeout_ms\":39000,\"objective_ms\":1800,\"priority\":1,"
           "\"service\":\"redactor\",\"max_attempts\":1,\"public\":false,"
           "\"sticky\":true,\"resumable\":false,\"gap_target_ms\":180},"
           "{\"name\":\"r-tag\",\"host\":\"ficu95.example\","
           "\"path_prefix\":\"/tag/\",\"type\":\"streaming\","
           "\"timeout_ms\":6000,\"objective_ms\":1500,\"priority\":0,"
           "\"service\":\"redactor\",\"max_attempts\":2,\"public\":false,"
           "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":180},"
           "{\"name\":\"r-lookup\",\"host\":\"ficu95.example\","
           "\"path_prefix\":\"/lookup/\",\"type\":\"non_idempotent\","
           "\"timeout_ms\":2500,\"objective_ms\":100,\"priority\":2,"
           "\"service\":\"registro\",\"max_attempts\":1,\"public\":false},"
           "{\"name\":\"r-clearance\",\"host\":\"ficu95.example\","
           "\"path_prefix\":\"/clearance/\",\"type\":\"idempotent\","
           "\"timeout_ms\":2500,\"objective_ms\":100,\"priority\":2,"
           "\"service\":\"registro\",\"max_attempts\":2,\"public\":false}],"
           "\"services\":[{\"name\":\"redactor\",\"health_path\":\"/healthz\","
           "\"max_conns\":232,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
           "\"slots\":24,\"kv_capacity\":34267,\"kv_bytes\":131072,"
           "\"link_mbps\":19000.0,\"moves\":true,\"backups\":true,\"stride\":4,"
           "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
           "\"models\":[{\"name\":\"m\"}]}},"
           "{\"name\":\"registro\",\"health_path\":\"/healthz\","
           "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
           "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"key-1\"],"
           "\"priority\":1}]}";
}

/** A client's request to the plain service. */
inline std::string plain_request(const std::string& method,
                                 const std::string& path, const std::string& id,
                                 const std::string& body = "",
                                 int deadline_ms = 2500)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: ficu95.example\r\n"
           "Attempt-Id: " +
           id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer key-1\r\n" +
           (method == "GET"
                ? std::string()
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

/** A client's request for a stream. */
inline std::string stream_request(const std::string& path,
                                  const std::string& id, int prompt_tokens,
                                  int output_tokens, int deadline_ms)
{
    // No two requests have the same body.
    const auto body = "{\"prompt\":\"" + id + "\"}";
    return "POST " + path +
           " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id +
           "\r\nModel: m\r\nToken-Usage: " + std::to_string(prompt_tokens) +
           "," + std::to_string(output_tokens) + "\r\nPrompt-Prefix: " + id +
           ":" + std::to_string(prompt_tokens) +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer key-1\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace standins

#endif // REVIEW_STANDINS_2_HPP
