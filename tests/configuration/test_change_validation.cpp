#include "change_validation.hpp"

#include "configuration_resources.hpp"
#include "sample_changes.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

/** A modification that invalidates a change, and the expected error. */
struct invalid_case {
    const char* field;
    change_problem problem;
    void (*invalidate)(v1::ChangeRecord&);
};

v1::Team& team_of(v1::ChangeRecord& change)
{
    return *change.mutable_resource()->mutable_team();
}

v1::Service& service_of(v1::ChangeRecord& change)
{
    return *change.mutable_resource()->mutable_service();
}

void expect_one_error(const v1::ChangeRecord& change,
                      const invalid_case& expected)
{
    const auto errors = check_change(change);
    ASSERT_EQ(errors.size(), 1U) << expected.field;
    EXPECT_EQ(errors[0].field, expected.field);
    EXPECT_EQ(errors[0].problem, expected.problem) << expected.field;
}

TEST(change_validation, names_each_bad_field_of_a_team)
{
    using record = v1::ChangeRecord;
    const invalid_case rows[] = {
        {"change_id", change_problem::missing,
         [](record& c) { c.clear_change_id(); }},
        {"change_id", change_problem::malformed,
         [](record& c) { c.set_change_id("a b"); }},
        {"change_id", change_problem::too_long,
         [](record& c) { c.set_change_id(std::string(65, 'a')); }},
        {"team.name", change_problem::mismatch,
         [](record& c) { team_of(c).set_name("other"); }},
        {"team.key_salt", change_problem::malformed,
         [](record& c) { team_of(c).set_key_salt("short"); }},
        {"team.key_hash", change_problem::malformed,
         [](record& c) { team_of(c).clear_key_hash(); }},
        {"team.weight", change_problem::out_of_range,
         [](record& c) { team_of(c).set_weight(0); }},
        // A negative value is decoded as a very large unsigned one.
        {"team.weight", change_problem::out_of_range,
         [](record& c) { team_of(c).set_weight(static_cast<uint32_t>(-1)); }},
        {"team.max_concurrent", change_problem::out_of_range,
         [](record& c) { team_of(c).set_max_concurrent(1'000'001); }},
        {"team.tokens_per_second", change_problem::out_of_range,
         [](record& c) {
             team_of(c).set_tokens_per_second(static_cast<uint64_t>(-1));
         }},
        {"team.services", change_problem::malformed,
         [](record& c) { team_of(c).add_services("UPPER"); }},
        {"resource", change_problem::mismatch,
         [](record& c) { c.set_kind(v1::RESOURCE_KIND_SERVICE); }},
        {"kind", change_problem::missing, [](record& c) { c.clear_kind(); }},
        {"base_revision", change_problem::missing,
         [](record& c) { c.clear_resource(); }},
    };
    EXPECT_TRUE(check_change(team_change("c", 0, 1)).empty());
    for (const auto& row : rows) {
        auto change = team_change("c", 0, 1);
        row.invalidate(change);
        expect_one_error(change, row);
    }
}

TEST(change_validation, names_each_bad_field_of_a_service)
{
    using record = v1::ChangeRecord;
    const invalid_case rows[] = {
        {"service.kind", change_problem::missing,
         [](record& c) { service_of(c).clear_kind(); }},
        {"service.model", change_problem::missing,
         [](record& c) { service_of(c).clear_model(); }},
        {"service.objective", change_problem::missing,
         [](record& c) { service_of(c).clear_objective(); }},
        {"service.max_output_tokens", change_problem::out_of_range,
         [](record& c) { service_of(c).set_max_output_tokens(1U << 31U); }},
        {"service.default_deadline_ms", change_problem::out_of_range,
         [](record& c) {
             service_of(c).set_default_deadline_ms(static_cast<uint64_t>(-1));
         }},
    };
    EXPECT_TRUE(check_change(service_change("c", 0)).empty());
    for (const auto& row : rows) {
        auto change = service_change("c", 0);
        row.invalidate(change);
        expect_one_error(change, row);
    }
}

TEST(change_validation, checks_references)
{
    configuration_resources resources;
    auto team = team_change("c", 0, 1);
    team_of(team).add_services("redactor");
    const auto assignment = assignment_change("c", 0, "a1", "redactor");
    EXPECT_EQ(check_references(team, resources).at(0).problem,
              change_problem::unknown_reference);
    EXPECT_EQ(check_references(assignment, resources).at(0).problem,
              change_problem::unknown_reference);

    v1::ResourceState state;
    state.set_kind(v1::RESOURCE_KIND_SERVICE);
    state.set_name("redactor");
    state.set_revision(1);
    *state.mutable_resource() = service_change("s", 0).resource();
    resources.put(state);
    EXPECT_TRUE(check_references(team, resources).empty());
    EXPECT_TRUE(check_references(assignment, resources).empty());

    state.set_kind(v1::RESOURCE_KIND_TEAM);
    state.set_name("amianto");
    *state.mutable_resource() = team.resource();
    resources.put(state);
    const auto deleted = deletion(service_change("d", 1));
    EXPECT_EQ(check_references(deleted, resources).at(0).problem,
              change_problem::still_referenced);
}

} // namespace
} // namespace cyclamenrun
