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

struct team_key {
    std::string team;
    key_hash hash; ///< of the whole key, `TEAM.SECRET`
};

/**
 * Finds the team of a caller. A key reads `TEAM.SECRET`, so that one hash is
 * compared, however many teams there are. Made anew for each revision of the
 * configuration and constant after that, so threads may share it.
 */
class team_authenticator
{
public:
    explicit team_authenticator(const std::vector<team_key>& keys);

    /**
     * The team of an `Authorization` header's value; `unauthenticated`
     * otherwise, whatever is wrong with it.
     */
    outcome<std::string> authenticate(std::string_view authorization) const;

private:
    const key_hash& hash_of(std::string_view team) const;

    std::map<std::string, key_hash, std::less<>> hashes_;
    key_hash nobody_;
};

/** A new key of a team; operators hand it out and keep only its hash. */
secret make_team_key(std::string_view team);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEAM_AUTHENTICATOR_HPP
