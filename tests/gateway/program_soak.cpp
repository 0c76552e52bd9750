#include "program_soak.hpp"

#include "../support/own_host.hpp"
#include "http_text.hpp"

#include <algorithm>

namespace cyclamenrun::testing_support
{

namespace
{

constexpr int callers = 8;
constexpr milliseconds event_interval{25};
constexpr milliseconds time_budget{3000};
constexpr milliseconds recovery_time{2500};

std::string event_of(const std::string& version, int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + version + " " +
           std::to_string(id) + "\n\n";
}

std::string stream_of(const std::string& version, int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event_of(version, id);
    return text;
}

/** Calls a function when its block is left. */
class at_end
{
public:
    explicit at_end(std::function<void()> call) : call_(std::move(call)) {}
    ~at_end() { call_(); }
    at_end(const at_end&) = delete;
    at_end& operator=(const at_end&) = delete;

private:
    std::function<void()> call_;
};

/** True if the text is the events from 1 on of one version. */
bool is_one_stream(const std::string& body, int next_event)
{
    return body == stream_of("v1", 1, next_event - 1) ||
           body == stream_of("v2", 1, next_event - 1);
}

} // namespace

program_soak::program_soak(unsigned seed, soak_mode mode)
    : mode_(mode), random_(seed),
      first_([this](const arrived_request& request, upstream_reply& reply) {
          respond("v1", request, reply);
      }),
      second_([this](const arrived_request& request, upstream_reply& reply) {
          respond("v1", request, reply);
      }),
      newer_([this](const arrived_request& request, upstream_reply& reply) {
          respond("v2", request, reply);
      })
{
    publish_configuration();
    list("i-1", first_, "v1", "ready");
    list("i-2", second_, "v1", "ready");
    for (std::size_t i = 0; i < gateways; ++i) {
        programs_.at(i).settings = std::make_unique<temporary_settings_file>(
            "", "soak-" + std::to_string(i));
        start(i);
    }
}

program_soak::~program_soak()
{
    for (auto& each : programs_)
        each.process.reset();
}

void program_soak::start(std::size_t index)
{
    auto& each = programs_.at(index);
    // Leases have tests of their own; a slow program loses its lease.
    auto text = settings_text_without_lease(store_);
    const auto host = [](std::size_t at) {
        return own_host(static_cast<int>(10 + at)) + ":27099";
    };
    text += "[peers]\nlisten = \"" + host(index) + "\"\nseeds = [";
    for (std::size_t i = 0; i < gateways; ++i)
        text += (i > 0 ? ", \"" : "\"") + host(i) + "\"";
    each.settings_text = text + "]\n";
    each.settings->write(each.settings_text);
    auto process = std::make_unique<child_process>(
        "cyclamenrun-gateway",
        std::vector<std::string>{"--settings", each.settings->path()});
    const auto address = process->wait_until_ready();
    const std::scoped_lock lock(mutex_);
    each.process = std::move(process);
    each.address = address;
    lives_[address] = {stop_grace, std::nullopt, std::nullopt};
}

void program_soak::publish_configuration()
{
    const auto route = [](const std::string& name, const std::string& more) {
        return R"({"name":")" + name + R"(","host":"test.example",)" +
               R"("path_prefix":"/)" + name + R"(/","service":"app",)" +
               R"("timeout_ms":3000,)" + more + "}";
    };
    store_.put("keyed.op", "config",
               "{\"version\":" + std::to_string(++configuration_version_) +
                   ",\"routes\":[" +
                   route("a", R"("type":"idempotent","max_attempts":2)") + "," +
                   route("n", R"("type":"non_idempotent")") + "," +
                   route("s", R"("type":"streaming","resumable":true,)"
                              R"("max_attempts":2)") +
                   R"(],"services":[{"name":"app"}],"tenants":[)"
                   R"({"name":"north","api_keys":["k1"]}]})");
}

void program_soak::list(const std::string& id, const fake_upstream& upstream,
                        const std::string& version, const std::string& state)
{
    store_.put("keyed.servers", id,
               R"({"service":"app","address":")" +
                   to_string(upstream.address()) +
                   R"(","zone":"d","slots":8,"version":")" + version +
                   R"(","state":")" + state + "\"}");
}

void program_soak::respond(const std::string& version,
                           const arrived_request& request,
                           upstream_reply& reply)
try {
    const auto& target = request.head.target;
    const auto request_id = request.field("Attempt-Id");
    {
        const std::scoped_lock lock(mutex_);
        reached_[request_id].ended.reset();
        if (target.starts_with("/n/"))
            ++runs_[request_id];
    }
    const at_end over([this, request_id] {
        const std::scoped_lock lock(mutex_);
        reached_[request_id].ended = steady_now();
    });
    const bool unframed = target.ends_with("unframed");
    if (!target.starts_with("/s/")) {
        std::this_thread::sleep_for(event_interval);
        if (!unframed) {
            reply.answer(request, 200, "hello");
            return;
        }
        reply.begin_unframed(request, "text/plain");
        reply.send("hello");
        reply.close();
        return;
    }
    if (unframed)
        reply.begin_unframed(request);
    else
        reply.begin_stream(request);
    const auto last = request.field("Last-Event-Id");
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= last_event;
         ++id) {
        const auto event = event_of(version, id);
        reply.send(unframed ? event : chunk_text(event));
        std::this_thread::sleep_for(event_interval);
    }
    reply.end_stream();
} catch (const Poco::Exception&) {
    return; // the gateway has ended
}

void program_soak::later(milliseconds delay, std::function<void()> act)
{
    actions_.push_back({steady_now() + delay, std::move(act)});
}

void program_soak::run_due_actions()
{
    for (std::size_t i = 0; i < actions_.size();) {
        if (actions_[i].at > steady_now()) {
            ++i;
            continue;
        }
        const auto act = std::move(actions_[i].act);
        actions_.erase(actions_.begin() + static_cast<std::ptrdiff_t>(i));
        act();
    }
}

soak_report program_soak::run(milliseconds time)
{
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i)
        threads.emplace_back(
            [this, seed = random_()] { call(std::mt19937_64(seed)); });
    const auto end = steady_now() + time;
    while (steady_now() < end) {
        disturb();
        wait(milliseconds(30 + draw(random_, 300)));
    }
    while (!actions_.empty())
        wait(milliseconds(20));
    std::this_thread::sleep_for(recovery_time);
    ending_ = true;
    for (auto& each : threads)
        each.join();
    for (std::size_t i = 0; i < gateways; ++i)
        judge_end(i);
    const std::scoped_lock lock(mutex_);
    for (const auto& each : broken_)
        judge_loss_of(each);
    for (const auto& [id, count] : runs_)
        if (count > 1)
            report_.violations.push_back(id + " ran more than once");
    return report_;
}

std::string program_soak::address_of(std::size_t index)
{
    const std::scoped_lock lock(mutex_);
    return programs_.at(index).address;
}

void program_soak::call(std::mt19937_64 random)
{
    stream_so_far stream;
    while (!ending_) {
        try {
            const auto address =
                address_of(static_cast<std::size_t>(draw(random, gateways)));
            test_caller caller(address);
            while (!ending_ && request_once(random, caller, address, stream)) {
            }
        } catch (const Poco::Exception&) {
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
}

std::string program_soak::text_of(const std::string& path,
                                  const std::string& id,
                                  const stream_so_far& stream) const
{
    auto text = "POST " + path +
                " HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: " + id +
                "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 3000\r\n"
                "Content-Length: 0\r\n";
    if (stream.next_event > 1)
        text += "Last-Event-Id: " + std::to_string(stream.next_event - 1) +
                "\r\nResumes: " + stream.first_id + "\r\n";
    return text + "\r\n";
}

bool program_soak::request_once(std::mt19937_64& random, test_caller& caller,
                                const std::string& address,
                                stream_so_far& stream)
{
    std::string id;
    {
        const std::scoped_lock lock(mutex_);
        id = "c" + std::to_string(++last_id_);
    }
    const bool resumes = stream.next_event > 1;
    const auto kind = resumes ? 0 : draw(random, 4);
    std::string path = kind < 2 ? "/s/" : kind == 2 ? "/a/" : "/n/";
    path += draw(random, 2) == 0 ? "unframed" : "framed";
    if (kind < 2 && !resumes)
        stream.first_id = id;
    caller.send(text_of(path, id, kind < 2 ? stream : stream_so_far{}));
    const auto sent = steady_now();
    const auto answer = caller.read();
    if (!answer.whole) {
        const std::scoped_lock lock(mutex_);
        broken_.push_back({id, address, sent, steady_now()});
    }
    if (answer.malformed)
        violate(id + " got bytes that are no answer");
    if (kind < 2)
        judge_stream(answer, stream);
    else
        judge_plain(answer, id, kind == 2);
    return answer.whole && answer.head.keep_alive &&
           !answer.head.ends_with_connection;
}

void program_soak::judge_loss_of(const broken_answer& broken)
{
    const auto run = reached_.find(broken.id);
    const bool reached = run != reached_.end();
    const bool at_work =
        reached && (!run->second.ended || *run->second.ended > broken.ended);
    const auto& life = lives_[broken.address];
    const auto verdict =
        judge_loss({broken.sent, broken.ended, broken.sent + time_budget,
                    reached, false, at_work},
                   life);
    ++report_.breaks[verdict];
    if (verdict != loss_verdict::lost)
        return;
    const auto after = [&](time_point from) {
        return std::to_string(time_since(from, broken.ended).count()) + " ms";
    };
    report_.violations.push_back(
        broken.id + " is lost " + after(broken.sent) + " after it was sent, " +
        (reached ? "passed on" : "not passed on") +
        (life.stop_sent ? ", " + after(*life.stop_sent) + " after SIGTERM"
                        : ""));
}

void program_soak::judge_plain(const caller_answer& answer,
                               const std::string& id, bool repeatable)
{
    const std::scoped_lock lock(mutex_);
    if (!answer.whole) {
        ++report_.broken_off;
        return;
    }
    if (answer.status() == 200) {
        ++report_.whole;
        if (answer.body != "hello")
            report_.violations.push_back(id + " is whole: " + answer.body);
        return;
    }
    ++report_.refused;
    const bool claims_not_run =
        answer.status() == 503 || answer.status() == 429;
    if (claims_not_run && !repeatable && runs_.contains(id))
        report_.violations.push_back(id + " has run and was refused");
    if (!claims_not_run && answer.status() != 502 && answer.status() != 504)
        report_.violations.push_back(id + " got " +
                                     std::to_string(answer.status()));
}

void program_soak::judge_stream(const caller_answer& answer,
                                stream_so_far& stream)
{
    const std::scoped_lock lock(mutex_);
    if (answer.status() != 200) {
        // Without its origin the stream can't go on.
        (answer.whole ? report_.refused : report_.broken_off) += 1;
        stream = {};
        return;
    }
    const bool resumed = stream.next_event > 1;
    // A caller takes whole events only.
    const auto end = answer.body.rfind("\n\n");
    const auto text =
        end == std::string::npos ? "" : answer.body.substr(0, end + 2);
    stream.body += text;
    for (std::size_t at = 0; (at = text.find("id: ", at)) != std::string::npos;
         ++at)
        ++stream.next_event;
    if (!is_one_stream(stream.body, stream.next_event))
        report_.violations.push_back(
            stream.first_id + " is no stream of one version: " + stream.body);
    if (answer.whole && stream.next_event != last_event + 1)
        report_.violations.push_back(
            stream.first_id + " ends as complete before event " +
            std::to_string(stream.next_event) +
            (answer.head.ends_with_connection ? ", without framing" : ""));
    if (!answer.whole && stream.next_event <= last_event) {
        ++report_.broken_off;
        return;
    }
    ++report_.whole;
    report_.resumed += resumed ? 1 : 0;
    stream = {};
}

void program_soak::violate(const std::string& what)
{
    const std::scoped_lock lock(mutex_);
    report_.violations.push_back(what);
}

} // namespace cyclamenrun::testing_support
