#include "request_fingerprint.hpp"

#include "digest.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace cyclamenrun
{

std::uint64_t request_fingerprint(std::string_view team, const http_head& head,
                                  std::string_view body)
{
    auto hash = hash64(team);
    hash = hash64(head.method, hash);
    hash = hash64(head.find("Host").value_or(""), hash);
    hash = hash64(head.target, hash);
    return hash64(body, hash);
}

std::string fingerprint_text(std::uint64_t fingerprint)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, fingerprint);
    return digits.data();
}

} // namespace cyclamenrun
