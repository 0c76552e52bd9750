#include "history.hpp"

#include <functional>
#include <gtest/gtest.h>

namespace cyclamenrun::faults
{
namespace
{

event make(event_kind kind, std::uint64_t run = 0, std::uint64_t index = 0)
{
    event made;
    made.kind = kind;
    made.work = "w";
    made.caller_request_id = "x";
    made.upstream = "u";
    made.run = run;
    made.index = index;
    return made;
}

event make_refusal(refusal_kind kind)
{
    auto made = make(event_kind::refused);
    made.refused = kind;
    return made;
}

using enum event_kind;

history valid_stream()
{
    return {work_shape::stream,
            false,
            true,
            {make(request_sent), make(run_begun, 1), make(run_token, 1, 0),
             make(token_received, 1, 0), make(run_token, 1, 1),
             make(token_received, 1, 1), make(run_ended, 1),
             make(end_received)}};
}

history valid_call()
{
    return {work_shape::ticket_call,
            false,
            true,
            {make(request_sent), make(run_begun, 1), make(run_ended, 1),
             make(answer_received, 1)}};
}

TEST(history, valid_histories_violate_nothing)
{
    EXPECT_TRUE(violations_of(valid_stream()).empty());
    EXPECT_TRUE(violations_of(valid_call()).empty());
}

/** A history that violates one guarantee, and the name of the violation. */
struct invalid_history_case {
    const char* name;
    history observed;
};

invalid_history_case
make_invalid(const char* name, history observed,
             const std::function<void(std::vector<event>&)>& change)
{
    change(observed.events);
    return {name, std::move(observed)};
}

std::vector<invalid_history_case> invalid_histories()
{
    std::vector<invalid_history_case> all;
    const auto add = [&](const char* name, history observed, auto change) {
        all.push_back(make_invalid(name, std::move(observed), change));
    };
    add("lost_token", valid_stream(), [](auto& e) { e.erase(e.begin() + 3); });
    add("duplicated_token", valid_stream(),
        [](auto& e) { e.insert(e.begin() + 4, e[3]); });
    add("spliced", valid_stream(), [](auto& e) {
        e[5].run = 2;
        e.insert(e.begin(), make(run_begun, 2));
    });
    add("token_of_another", valid_stream(),
        [](auto& e) { e[1].work = "other"; });
    add("cut_short_but_reported_complete", valid_stream(),
        [](auto& e) { e.erase(e.begin() + 5); });
    add("complete_before_its_end", valid_stream(),
        [](auto& e) { std::swap(e[6], e[7]); });
    add("token_after_end", valid_stream(),
        [](auto& e) { e.push_back(make(token_received, 1, 2)); });
    add("answer_of_another", valid_call(),
        [](auto& e) { e[1].work = "other"; });
    add("ran_twice", valid_call(),
        [](auto& e) { e.insert(e.begin() + 2, make(run_begun, 2)); });
    add("not_run_but_ran", valid_call(),
        [](auto& e) { e[3] = make_refusal(refusal_kind::not_run); });
    add("not_run_then_ran", valid_call(), [](auto& e) {
        e.erase(e.begin() + 3);
        e.insert(e.begin() + 1, make_refusal(refusal_kind::not_run));
    });
    add("ran_at_a_leaving_upstream", valid_call(),
        [](auto& e) { e.insert(e.begin(), make(drain_begun)); });
    add("no_outcome", valid_call(), [](auto& e) { e.pop_back(); });
    add("refused_though_nothing_was_lost", valid_call(), [](auto& e) {
        e = {make(request_sent), make_refusal(refusal_kind::not_run)};
    });
    all.back().observed.answer_is_required = true;
    return all;
}

class invalid_history : public testing::TestWithParam<invalid_history_case>
{
};

TEST_P(invalid_history, is_rejected)
{
    EXPECT_FALSE(violations_of(GetParam().observed).empty());
}

INSTANTIATE_TEST_SUITE_P(one_per_guarantee, invalid_history,
                         testing::ValuesIn(invalid_histories()),
                         [](const auto& param) { return param.param.name; });

} // namespace
} // namespace cyclamenrun::faults
