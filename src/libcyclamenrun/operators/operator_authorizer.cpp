#include "operator_authorizer.hpp"

#include "bearer_token.hpp"

namespace cyclamenrun
{

operator_authorizer::operator_authorizer(std::vector<key_hash> keys)
    : keys_(std::move(keys))
{
}

bool operator_authorizer::operator()(std::string_view authorization) const
{
    const auto token = parse_bearer_token(authorization);
    if (!token)
        return false;
    // Compares all keys, so that the duration does not reveal which one
    // matched.
    bool matched = false;
    for (const auto& key : keys_)
        matched = key.matches(*token) || matched;
    return matched;
}

} // namespace cyclamenrun
