#include "agent_links.hpp"

#include "digest.hpp"
#include "link_client.hpp"
#include "link_loop.hpp"
#include "link_reactor.hpp"
#include "message_reader.hpp"

#include <Poco/Net/SocketAddress.h>

namespace cyclamenrun
{

namespace
{

/** Delay before a failed heartbeat is sent again. */
constexpr milliseconds heartbeat_retry_delay{500};

} // namespace

/**
 * State shared with the callbacks. Each pending callback keeps it alive, so
 * that a callback that runs after close() finds `closed_` set.
 */
class agent_links::shared_state
    : public std::enable_shared_from_this<shared_state>
{
public:
    shared_state(const std::vector<std::shared_ptr<link_loop>>& loops,
                 std::string link_key, const link_limits& limits,
                 agent_links_hooks hooks, clock_function clock)
        : link_key_(std::move(link_key)), limits_(limits),
          hooks_(std::move(hooks)), clock_(std::move(clock))
    {
        reactors_.reserve(loops.size());
        for (const auto& loop : loops)
            reactors_.push_back(loop->reactor());
    }

    void watch(const std::vector<agent_address>& agents);
    std::shared_ptr<link_client> client_of(const std::string& address);
    void close();

private:
    bool is_watched(const agent_address& agent) const;
    void send_heartbeat(const agent_address& agent);
    void schedule_heartbeat(const agent_address& agent);
    void on_reply(const agent_address& agent, const std::string& frame);
    const std::shared_ptr<link_reactor>&
    reactor_of(const std::string& address) const;

    // Holds reactors and not loops: a callback on a loop's thread may release
    // the last reference to this state, and a loop that is destroyed on its
    // own thread would join itself and abort the process during shutdown.
    std::vector<std::shared_ptr<link_reactor>> reactors_;
    std::string link_key_;
    link_limits limits_;
    agent_links_hooks hooks_;
    clock_function clock_;

    mutable std::mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<link_client>> clients_;
    std::map<std::string, std::string> watched_; ///< address by upstream
    bool closed_ = false;
};

void agent_links::shared_state::watch(const std::vector<agent_address>& agents)
{
    std::vector<agent_address> added;
    {
        const std::scoped_lock lock(mutex_);
        std::map<std::string, std::string> wanted;
        for (const auto& agent : agents)
            wanted[agent.upstream] = agent.address;
        for (const auto& [upstream, address] : wanted) {
            const auto found = watched_.find(upstream);
            if (found == watched_.end() || found->second != address)
                added.push_back({upstream, address});
        }
        watched_ = std::move(wanted);
    }
    for (const auto& agent : added)
        send_heartbeat(agent);
}

std::shared_ptr<link_client>
agent_links::shared_state::client_of(const std::string& address)
{
    const std::scoped_lock lock(mutex_);
    if (closed_)
        return nullptr;
    auto& client = clients_[address];
    if (!client)
        client = link_client::create(reactor_of(address),
                                     Poco::Net::SocketAddress(address),
                                     link_key_, limits_);
    return client;
}

void agent_links::shared_state::close()
{
    std::unordered_map<std::string, std::shared_ptr<link_client>> clients;
    {
        const std::scoped_lock lock(mutex_);
        closed_ = true;
        watched_.clear();
        clients.swap(clients_);
    }
    for (const auto& [address, client] : clients)
        client->close();
}

bool agent_links::shared_state::is_watched(const agent_address& agent) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = watched_.find(agent.upstream);
    return !closed_ && found != watched_.end() &&
           found->second == agent.address;
}

void agent_links::shared_state::send_heartbeat(const agent_address& agent)
{
    if (!is_watched(agent))
        return;
    const auto client = client_of(agent.address);
    if (!client)
        return;
    client_handlers handlers;
    handlers.on_frame = [self = shared_from_this(),
                         agent](const std::string& frame) {
        self->on_reply(agent, frame);
    };
    handlers.on_end = [self = shared_from_this(), agent](stream_end end) {
        if (end.clean) {
            self->send_heartbeat(agent);
            return;
        }
        if (self->is_watched(agent))
            self->hooks_.on_failure(agent.upstream, end.failure);
        self->schedule_heartbeat(agent);
    };
    client->open("/heartbeat",
                 hooks_.make_heartbeat(agent.upstream).SerializeAsString(),
                 std::move(handlers));
}

void agent_links::shared_state::schedule_heartbeat(const agent_address& agent)
{
    reactor_of(agent.address)
        ->post_at(clock_() + heartbeat_retry_delay,
                  [self = shared_from_this(), agent] {
                      self->send_heartbeat(agent);
                  });
}

void agent_links::shared_state::on_reply(const agent_address& agent,
                                         const std::string& frame)
{
    link::HeartbeatReply reply;
    if (is_watched(agent) && read_checked(frame, reply))
        hooks_.on_reply(agent.upstream, reply);
}

const std::shared_ptr<link_reactor>&
agent_links::shared_state::reactor_of(const std::string& address) const
{
    return reactors_[hash64(address) % reactors_.size()];
}

agent_links::agent_links(std::vector<std::shared_ptr<link_loop>> loops,
                         std::string link_key, const link_limits& limits,
                         agent_links_hooks hooks, clock_function clock)
    : loops_(std::move(loops)),
      state_(std::make_shared<shared_state>(loops_, std::move(link_key), limits,
                                            std::move(hooks), std::move(clock)))
{
}

agent_links::~agent_links()
{
    close();
}

void agent_links::watch(const std::vector<agent_address>& agents)
{
    state_->watch(agents);
}

std::shared_ptr<client_stream> agent_links::open(const agent_address& agent,
                                                 const std::string& path,
                                                 const std::string& frame,
                                                 client_handlers handlers)
{
    const auto client = state_->client_of(agent.address);
    if (!client) {
        handlers.on_end({false, link_failure::cancelled, false});
        return nullptr;
    }
    return client->open(path, frame, std::move(handlers));
}

void agent_links::send(const agent_address& agent, const std::string& path,
                       const std::string& frame)
{
    open(agent, path, frame, {[](const std::string&) {}, [](stream_end) {}});
}

void agent_links::close()
{
    state_->close();
}

} // namespace cyclamenrun
