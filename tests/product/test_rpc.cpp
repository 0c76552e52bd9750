#include "fake_entry.hpp"
#include "key_hash.hpp"
#include "operator_authorizer.hpp"
#include "rpc_client.hpp"
#include "rpc_router.hpp"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun
{
namespace
{

const std::string find_path = "/cyclamenrun.v1.QueryService/FindChange";

/** Serves FindChange: finds the id "known", refuses the id "busy". */
rpc_router make_router(const secret& key)
{
    rpc_router router(operator_authorizer({make_key_hash(key)}));
    router.add_method<v1::FindChangeRequest, v1::FindChangeResponse>(
        "cyclamenrun.v1.QueryService", "FindChange",
        [](const v1::FindChangeRequest& request)
            -> outcome<v1::FindChangeResponse> {
            if (request.change_id() == "busy")
                return tl::unexpected(not_run(refusal_reason::queue_full,
                                              "busy", milliseconds(1500)));
            v1::FindChangeResponse response;
            response.set_found(request.change_id() == "known");
            return response;
        });
    return router;
}

class rpc_router_test : public testing::Test
{
protected:
    rpc_response handle(const std::string& content_type,
                        const std::string& body) const
    {
        return router.handle(
            {find_path, content_type, "Bearer " + key.reveal(), body, {}});
    }

    secret key = make_key();
    rpc_router router = make_router(key);
};

std::string code_of(const rpc_response& response)
{
    return std::string(
        name_of(parse_rpc_error(response.body, response.status).code));
}

TEST_F(rpc_router_test, both_encodings_reach_the_same_handler)
{
    const auto json =
        handle("application/json; charset=utf-8", R"({"changeId":"known"})");
    EXPECT_EQ(json.status, 200);
    EXPECT_THAT(json.body, testing::HasSubstr("\"found\":true"));
    v1::FindChangeRequest request;
    request.set_change_id("known");
    const auto proto = handle("application/proto", request.SerializeAsString());
    v1::FindChangeResponse response;
    ASSERT_TRUE(response.ParseFromString(proto.body));
    EXPECT_TRUE(response.found());
}

TEST_F(rpc_router_test, errors_of_a_call_are_reported_by_code)
{
    EXPECT_EQ(code_of(handle("application/json", "{")), "invalid_argument");
    EXPECT_EQ(handle("text/plain", "{}").status, 415);
    const auto busy = handle("application/json", R"({"changeId":"busy"})");
    EXPECT_EQ(busy.status, 429);
    EXPECT_EQ(busy.retry_after, milliseconds(1500));
    const auto wrong_key =
        router.handle({find_path, "application/json", "Bearer 00", "{}", {}});
    EXPECT_EQ(wrong_key.status, 401);
    const auto unknown_path = router.handle(
        {"/other", "application/json", "Bearer " + key.reveal(), "{}", {}});
    EXPECT_EQ(code_of(unknown_path), "unimplemented");
}

// Any body must yield a response or a typed error.
RC_GTEST_PROP(rpc_router, any_body_gets_an_answer_or_a_typed_error,
              (const std::vector<std::uint8_t>& bytes, bool as_json))
{
    const secret key = make_key();
    const auto router = make_router(key);
    const std::string body(bytes.begin(), bytes.end());
    const auto response =
        router.handle({find_path,
                       as_json ? "application/json" : "application/proto",
                       "Bearer " + key.reveal(),
                       body,
                       {}});
    RC_ASSERT(response.status == 200 ||
              code_of(response) == "invalid_argument");
}

TEST(rpc_over_http, a_call_succeeds_and_a_wrong_key_is_refused)
{
    const fake_entry entry;
    const auto deadline = steady_now() + milliseconds(20000);
    const auto list = [&](const secret& key) {
        return rpc_client(entry.address(), key)
            .call<v1::ListRevisionsResponse>(
                "cyclamenrun.v1.QueryService", "ListRevisions",
                v1::ListRevisionsRequest(), deadline);
    };
    ASSERT_TRUE(list(entry.key()));
    EXPECT_EQ(list(entry.key())->processes_size(), 1);
    const auto refused = list(make_key());
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, rpc_code::unauthenticated);
    EXPECT_FALSE(refused.error().may_have_run);
}

TEST(rpc_over_http, a_body_over_the_limit_is_refused_and_the_connection_ends)
{
    const fake_entry entry;
    Poco::Net::HTTPClientSession session("127.0.0.1", entry.address().port);
    Poco::Net::HTTPRequest request("POST", find_path, "HTTP/1.1");
    const std::string body(5000, ' ');
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    EXPECT_EQ(response.getStatus(), 413);
    EXPECT_FALSE(response.getKeepAlive());
}

TEST(rpc_over_http, a_refused_connection_means_that_nothing_ran)
{
    const auto closed =
        Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
    const ip_endpoint address{"127.0.0.1", closed.address().port()};
    Poco::Net::ServerSocket(closed).close();
    const auto answer =
        rpc_client(address, make_key())
            .call<v1::ListRevisionsResponse>(
                "cyclamenrun.v1.QueryService", "ListRevisions",
                v1::ListRevisionsRequest(), steady_now() + milliseconds(20000));
    ASSERT_FALSE(answer);
    EXPECT_FALSE(answer.error().may_have_run);
}

} // namespace
} // namespace cyclamenrun
