#include "stream_origins.hpp"

#include "digest.hpp"
#include "peers.pb.h"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Gateways that are told of a stream: some may be down or cut off. */
constexpr std::size_t told_gateways = 3;
/** More are asked, since gateways that joined or left shift the choice. */
constexpr std::size_t asked_gateways = 5;
/** A datagram and its answer take some milliseconds. */
constexpr milliseconds repeat_question_after{30};
constexpr milliseconds answer_timeout{100};
/** Longer than callers go on resuming a stream. */
constexpr std::chrono::minutes origin_lifetime{2};
constexpr std::size_t max_origins = 65536;
constexpr std::size_t max_questions = 4096;
constexpr std::size_t max_id_bytes = 256;
constexpr std::size_t max_name_bytes = 256;

bool is_valid(const v1::StreamOrigin& told)
{
    return !told.id().empty() && told.id().size() <= max_id_bytes &&
           told.service().size() <= max_name_bytes &&
           told.version().size() <= max_name_bytes;
}

v1::PeerMessage message_of(const std::string& id, const stream_origin& origin,
                           bool ambiguous)
{
    v1::PeerMessage message;
    auto& told = *message.add_origins();
    told.set_id(id);
    told.set_kind(ambiguous ? v1::STREAM_ORIGIN_KIND_AMBIGUOUS
                            : v1::STREAM_ORIGIN_KIND_KNOWN);
    told.set_service(origin.service);
    told.set_version(origin.version);
    return message;
}

v1::PeerMessage message_of(const std::string& id, v1::StreamOriginKind kind)
{
    v1::PeerMessage message;
    auto& told = *message.add_origins();
    told.set_id(id);
    told.set_kind(kind);
    return message;
}

} // namespace

const stream_origins::known_origin*
stream_origins::find_known(const std::string& id, time_point now) const
{
    const auto found = known_.find(id);
    return found != known_.end() && found->second.expires_at > now
               ? &found->second
               : nullptr;
}

void stream_origins::remove_expired(time_point now)
{
    while (!expiries_.empty() &&
           (expiries_.front().first <= now || known_.size() > max_origins)) {
        known_.erase(expiries_.front().second);
        expiries_.pop_front();
    }
}

void stream_origins::store(const std::string& id, const stream_origin& origin,
                           bool ambiguous, time_point now)
{
    remove_expired(now);
    const auto [found, is_new] = known_.try_emplace(
        id, known_origin{origin, ambiguous, now + origin_lifetime});
    if (is_new) {
        expiries_.emplace_back(found->second.expires_at, id);
        return;
    }
    auto& known = found->second;
    // The version of an upstream may become known during its stream.
    if (known.origin == stream_origin{origin.service, ""})
        known.origin = origin;
    known.ambiguous = known.ambiguous || ambiguous || known.origin != origin;
}

std::vector<std::string> stream_origins::holders(const std::string& id,
                                                 std::size_t count) const
{
    auto hosts = on_.hosts();
    hosts.push_back(on_.own_host());
    const auto seed = hash64(id);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(hosts.size());
    for (auto& host : hosts) {
        const auto rank = hash64(host, seed);
        ranked.emplace_back(rank, std::move(host));
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(std::move(ranked[i].second));
    return chosen;
}

void stream_origins::record(const std::string& id, const stream_origin& origin,
                            time_point now)
{
    store(id, origin, false, now);
    if (!on_.send)
        return;
    const auto own = on_.own_host();
    for (const auto& host : holders(id, told_gateways))
        if (host != own)
            on_.send(host, message_of(id, origin, false));
}

void stream_origins::find(const std::string& id, time_point now,
                          handler on_found)
{
    const auto* known = find_known(id, now);
    if (known != nullptr || id.empty() || !on_.send ||
        questions_.size() >= max_questions) {
        on_found(known != nullptr && !known->ambiguous
                     ? std::optional(known->origin)
                     : std::nullopt);
        return;
    }
    auto& asked = questions_[id];
    asked.handlers.push_back(std::move(on_found));
    if (asked.handlers.size() > 1)
        return;
    const auto own = on_.own_host();
    for (auto& host : holders(id, asked_gateways))
        if (host != own)
            asked.unanswered.insert(std::move(host));
    if (asked.unanswered.empty()) {
        end_question(id);
        return;
    }
    const auto number = ++last_question_;
    asked.number = number;
    ask(id);
    on_.post_after(repeat_question_after,
                   [this, id, number] { repeat_question(id, number); });
    on_.post_after(answer_timeout, [this, id, number] {
        const auto found = questions_.find(id);
        if (found != questions_.end() && found->second.number == number)
            end_question(id);
    });
}

void stream_origins::ask(const std::string& id)
{
    const auto found = questions_.find(id);
    if (found == questions_.end())
        return;
    for (const auto& host : found->second.unanswered)
        on_.send(host, message_of(id, v1::STREAM_ORIGIN_KIND_WANTED));
}

void stream_origins::repeat_question(const std::string& id,
                                     std::uint64_t number)
{
    const auto found = questions_.find(id);
    if (found == questions_.end() || found->second.number != number)
        return;
    // Those that have not answered are probably gone.
    if (known_.contains(id))
        end_question(id);
    else
        ask(id);
}

void stream_origins::end_question(const std::string& id)
{
    const auto found = questions_.find(id);
    if (found == questions_.end())
        return;
    const auto handlers = std::move(found->second.handlers);
    questions_.erase(found);
    const auto known = known_.find(id);
    const auto origin = known == known_.end() || known->second.ambiguous
                            ? std::nullopt
                            : std::optional(known->second.origin);
    for (const auto& each : handlers)
        each(origin);
}

std::optional<v1::PeerMessage>
stream_origins::handle(const std::string& host, const v1::PeerMessage& message,
                       time_point now)
{
    if (message.origins_size() != 1 || !is_valid(message.origins(0)))
        return std::nullopt;
    const auto& told = message.origins(0);
    if (told.kind() != v1::STREAM_ORIGIN_KIND_WANTED) {
        handle_answer(host, told, now);
        return std::nullopt;
    }
    const auto* known = find_known(told.id(), now);
    if (known == nullptr)
        return message_of(told.id(), v1::STREAM_ORIGIN_KIND_UNKNOWN);
    return message_of(told.id(), known->origin, known->ambiguous);
}

void stream_origins::handle_answer(const std::string& host,
                                   const v1::StreamOrigin& told, time_point now)
{
    if (told.kind() == v1::STREAM_ORIGIN_KIND_KNOWN ||
        told.kind() == v1::STREAM_ORIGIN_KIND_AMBIGUOUS)
        store(told.id(), {told.service(), told.version()},
              told.kind() == v1::STREAM_ORIGIN_KIND_AMBIGUOUS, now);
    const auto found = questions_.find(told.id());
    if (found == questions_.end())
        return;
    found->second.unanswered.erase(host);
    // All are heard, since one that was not told may know another origin.
    if (found->second.unanswered.empty())
        end_question(told.id());
}

} // namespace cyclamenrun
