#include "request_profile.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

class request_profiles : public testing::Test
{
protected:
    request_profiles()
    {
        configuration.version = 1;
        gateway_route route;
        route.name = "r";
        route.host = "h";
        route.path_prefix = "/a/";
        route.shape = answer_shape::event_stream;
        route.objective = milliseconds(1800);
        configuration.routes = {route};
        gateway_service model;
        model.name = "model";
        model.engine = engine_traits{};
        model.engine->memory_tokens = 34000;
        model.engine->backups = true;
        configuration.services = {model, {"app", {}}};
        facts.prompt_tokens = 3000;
        facts.output_token_limit = 2000;
    }

    request_profile profile(const std::string& service)
    {
        const auto routes =
            std::make_shared<const gateway_routes>(configuration);
        admitted_request admitted;
        admitted.route = routes->find("h", "/a/x");
        request_profile result(routes, admitted, facts);
        result.set_service(service);
        return result;
    }

    gateway_configuration configuration;
    request_facts facts;
    time_point now{std::chrono::hours(1)};
    std::mt19937_64 random{1};
};

TEST_F(request_profiles, find_the_engines_of_their_service)
{
    EXPECT_EQ(profile("model").make_placement_request("d").engine_memory_tokens,
              34000U);
    EXPECT_TRUE(profile("model").allows_backup());
    EXPECT_EQ(profile("app").engine(), nullptr);
    EXPECT_FALSE(profile("app").allows_backup());
    EXPECT_EQ(request_profile().engine(), nullptr);
}

TEST_F(request_profiles, memory_grows_by_a_token_each_8_ms_up_to_the_maximum)
{
    EXPECT_EQ(profile("model").memory_tokens(milliseconds(0)), 3000U);
    EXPECT_EQ(profile("model").memory_tokens(milliseconds(800)), 3100U);
    EXPECT_EQ(profile("model").memory_tokens(milliseconds(60000)), 5000U);
}

// Guards against useless copies: a short answer ends before its engine is
// removed, and copying it would occupy the link that longer generations need.
TEST_F(request_profiles, are_moved_only_if_they_outlive_their_engine)
{
    EXPECT_TRUE(profile("model").outlives(now + milliseconds(1500), now));
    EXPECT_TRUE(profile("model").outlives(std::nullopt, now));
    facts.output_token_limit = 100;
    EXPECT_FALSE(profile("model").outlives(now + milliseconds(1500), now));
    EXPECT_TRUE(profile("model").outlives(now + milliseconds(500), now));
}

TEST_F(request_profiles, set_the_retry_delay)
{
    EXPECT_EQ(profile("model").retry_after({}, random), milliseconds(450));
    EXPECT_EQ(request_profile().retry_after({}, random), milliseconds(200));
    const auto queued =
        profile("model").retry_after(milliseconds(3000), random);
    EXPECT_GE(queued, milliseconds(2400));
    EXPECT_LE(queued, milliseconds(3600));
    EXPECT_LE(profile("model").retry_after(milliseconds(60000), random),
              milliseconds(6000));
}

} // namespace
} // namespace cyclamenrun
