#include "team_authenticator.hpp"

#include "bearer_token.hpp"

namespace cyclamenrun
{

namespace
{

refusal unauthenticated()
{
    return not_run(refusal_reason::unauthenticated,
                   "send the team's key as Authorization: Bearer TEAM.SECRET");
}

} // namespace

team_authenticator::team_authenticator(const std::vector<team_key>& keys)
    : unknown_team_hash_(make_key_hash(make_key()))
{
    for (const auto& key : keys)
        hashes_.insert_or_assign(key.team, key.hash);
}

outcome<std::string>
team_authenticator::authenticate(std::string_view authorization) const
{
    const auto token = parse_bearer_token(authorization);
    if (!token)
        return tl::unexpected(unauthenticated());
    const auto team = token->substr(0, token->find('.'));
    if (!hash_of(team).matches(*token))
        return tl::unexpected(unauthenticated());
    return std::string(team);
}

/**
 * Guards against probing for team names by response time: a request for an
 * unknown team would be refused sooner if its key were not hashed. The key is
 * therefore compared with the hash of a random key that no caller has.
 */
const key_hash& team_authenticator::hash_of(std::string_view team) const
{
    const auto found = hashes_.find(team);
    return found == hashes_.end() ? unknown_team_hash_ : found->second;
}

secret make_team_key(std::string_view team)
{
    return secret(std::string(team) + '.' + make_key().reveal());
}

} // namespace cyclamenrun
