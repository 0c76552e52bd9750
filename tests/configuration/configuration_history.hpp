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

/** Violations of the configuration's guarantees. */
enum class violation : std::uint8_t {
    revision_went_back, ///< the revision of one reader decreased
    states_differ,      ///< two readers at one revision hold different states
    accepted_lost, ///< reported as accepted, but missing from its revision on
    refused_in_force,      ///< reported as refused, but in force at a reader
    contradictory_answers, ///< one change reported both accepted and refused
};

/**
 * Records, in order of time, the states that readers held and the answers that
 * operators received, and checks them against the guarantees.
 */
class configuration_history
{
public:
    /** Records the state in force at a reader. */
    void record_state(const std::string& reader,
                      const configuration_store& store);
    void record_state(const std::string& reader, std::uint64_t revision,
                      const std::string& state, std::set<std::string> accepted);

    /** Records an answer that an operator received. */
    void record_answer(const std::string& change_id,
                       const outcome<v1::ApplyChangeResponse>& answer);
    void record_accepted(const std::string& change_id, std::uint64_t revision);
    void record_refused(const std::string& change_id);

    std::set<violation> violations() const;

private:
    struct observation {
        std::string reader;
        std::uint64_t revision = 0;
        std::string state;
        std::set<std::string> accepted;
    };

    void check_revision_order(std::set<violation>& found) const;
    void check_equal_states(std::set<violation>& found) const;
    void check_answers(std::set<violation>& found) const;

    std::vector<observation> observations_;
    std::map<std::string, std::uint64_t> accepted_; ///< revision by change id
    std::set<std::string> refused_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_CONFIGURATION_HISTORY_HPP
