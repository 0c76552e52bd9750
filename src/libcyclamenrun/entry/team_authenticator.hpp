#ifndef CYCLAMENRUN_TEAM_AUTHENTICATOR_HPP
#define CYCLAMENRUN_TEAM_AUTHENTICATOR_HPP

#include "key_hash.hpp"
#include "refusal.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** A team and the hash of its key. */
struct team_key {
    std::string team;
    key_hash hash; ///< of the whole key, `TEAM.SECRET`
};

/**
 * Authenticates callers by their team's key. A key has the form `TEAM.SECRET`,
 * so only one hash is compared, independent of the number of teams. Immutable
 * and so safe to share between threads; each configuration revision gets a new
 * object.
 */
class team_authenticator
{
public:
    explicit team_authenticator(const std::vector<team_key>& keys);

    /**
     * Returns the team for the value of an `Authorization` header, or the
     * refusal `unauthenticated` for any invalid value.
     */
    outcome<std::string> authenticate(std::string_view authorization) const;

private:
    const key_hash& hash_of(std::string_view team) const;

    std::map<std::string, key_hash, std::less<>> hashes_;
    key_hash unknown_team_hash_;
};

/** Generates a key for a team. Only the key's hash is to be stored. */
secret make_team_key(std::string_view team);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEAM_AUTHENTICATOR_HPP
