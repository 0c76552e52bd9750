/**
 * Fuzzes datagrams between gateways. One input holds several datagrams, each
 * preceded by a length byte. What a gateway learns from them must stay within
 * its bounds for any input.
 */
#include "peer_exchange.hpp"
#include "poison_guard.hpp"
#include "shared_limits.hpp"
#include "upstream_limits.hpp"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace cyclamenrun;

namespace
{

void check(bool condition)
{
    if (!condition)
        std::abort();
}

/** A gateway that receives datagrams on a monotonic clock. */
class receiver
{
public:
    void receive(std::string_view bytes)
    {
        now_ += milliseconds(50);
        const std::string host = bytes.size() % 2 == 0 ? "a" : "b";
        (void)exchange_.receive(host, bytes, now_);
        (void)exchange_.send_due(now_);
    }

    void check_bounds()
    {
        check(exchange_.gateway_count() <= max_peers + 1);
        check(limits_.count_limited(now_) <= max_limited_upstreams);
        check(poison_.count_poison(suspect_kind::request, now_) <=
              poison_.size());
        check(poison_.count_poison(suspect_kind::prompt_part, now_) <=
              poison_.size() * max_suspected_parts);
        check(exchange_.next_send() >= now_);
    }

private:
    std::mt19937_64 random_{1};
    poison_guard poison_{random_};
    upstream_limits limits_{random_};
    peer_exchange exchange_{
        "self",
        {"seed"},
        {poison_.table(),
         make_limits_table(limits_, [](const limit_observation&) {})},
        1,
        random_};
    time_point now_{milliseconds(1'000'000)};
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    receiver gateway;
    while (!rest.empty()) {
        const auto length = static_cast<unsigned char>(rest.front());
        rest.remove_prefix(1);
        gateway.receive(rest.substr(0, length));
        gateway.check_bounds();
        rest.remove_prefix(std::min<std::size_t>(length, rest.size()));
    }
    return 0;
}
