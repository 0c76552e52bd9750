#ifndef CYCLAMENRUN_TESTS_CONFIGURATION_HISTORY_HPP
#define CYCLAMENRUN_TESTS_CONFIGURATION_HISTORY_HPP

#include "configuration_store.hpp"
#include "operator.pb.h"
#include "refusal.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** What a history must not show. */
enum class violation : std::uint8_t {
    revision_went_back, ///< at one reader
    states_differ,      ///< two readers at the same revision
    accepted_lost,      ///< told accepted, and a later reader lacks it
    refused_in_force,   ///< told refused, and some reader has it
    told_twice,         ///< one change told accepted and refused
};

/** What readers saw and operators were told, in order of time. */
class configuration_history
{
public:
    /** What a reader has in force now. */
    void see(const std::string& reader, const configuration_store& store);
    void see(const std::string& reader, std::uint64_t revision,
             const std::string& state, std::set<std::string> accepted);

    /** The answer to an operator. */
    void tell(const std::string& change_id,
              const outcome<v1::ApplyChangeResponse>& answer);
    void tell_accepted(const std::string& change_id, std::uint64_t revision);
    void tell_refused(const std::string& change_id);

    std::set<violation> violations() const;

private:
    struct observation {
        std::string reader;
        std::uint64_t revision = 0;
        std::string state;
        std::set<std::string> accepted;
    };

    void check_order(std::set<violation>& found) const;
    void check_sameness(std::set<violation>& found) const;
    void check_promises(std::set<violation>& found) const;

    std::vector<observation> seen_;
    std::map<std::string, std::uint64_t> accepted_; // change: its revision
    std::set<std::string> refused_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_CONFIGURATION_HISTORY_HPP
