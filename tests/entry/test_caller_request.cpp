#include "caller_request.hpp"
#include "http_json.hpp"
#include "ticket_authority.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cyclamenrun
{
namespace
{

const time_point now{std::chrono::hours(1)};
const caller_limits limits;
const std::string good_body =
    R"({"model":"redactor","prompt":"draft","max_tokens":9,"stream":true})";

v1::Service model_service()
{
    v1::Service service;
    service.set_name("redactor");
    service.set_kind(v1::SERVICE_KIND_MODEL);
    return service;
}

/** Returns why a body is refused; refusal_reason{}, no reason, if it is not. */
refusal_reason
reason_of(const std::string& body,
          completion_format format = completion_format::completions)
{
    const auto parsed = parse_completion_body(format, body, limits);
    return parsed ? refusal_reason{} : parsed.error().reason;
}

outcome<relay_request> request_with(const caller_headers& headers)
{
    const auto format = completion_format::completions;
    const auto parsed = parse_completion_body(format, good_body, limits);
    return make_completion_request(format, *parsed, good_body, headers,
                                   model_service(), limits, now);
}

TEST(caller_request, valid_request_sets_all_relay_fields)
{
    caller_headers headers;
    headers.deadline_ms = "2500";
    headers.request_id = "theirs";
    const auto made = request_with(headers);
    ASSERT_TRUE(made);
    EXPECT_EQ(made->deadline, now + milliseconds(2500));
    EXPECT_EQ(made->max_output_tokens, 9U);
    EXPECT_EQ(made->delivery, delivery_mode::stream);
    EXPECT_TRUE(made->idempotent);
    EXPECT_TRUE(made->id.starts_with("theirs~"));
    EXPECT_NE(made->id, request_with(headers)->id);
}

TEST(caller_request, invalid_body_is_refused_with_reason)
{
    for (const auto* body :
         {"", "[]", "{", "{}", R"({"model":1,"prompt":"p"})",
          R"({"model":"m"})", R"({"model":"m","prompt":[1]})",
          R"({"model":"m","prompt":"p","max_tokens":0})",
          R"({"model":"m","prompt":"p","max_tokens":-1})",
          R"({"model":"m","prompt":"p","max_tokens":"many"})",
          R"({"model":"m","prompt":"p","stream":1})"})
        EXPECT_EQ(reason_of(body), refusal_reason::bad_request) << body;
    for (const auto* body :
         {R"({"model":"m","messages":[]})", R"({"model":"m","messages":[1]})",
          R"({"model":"m","messages":[{"role":"user"}]})"})
        EXPECT_EQ(reason_of(body, completion_format::chat),
                  refusal_reason::bad_request)
            << body;
    const std::string long_prompt(limits.max_prompt_bytes + 1, 'p');
    EXPECT_EQ(reason_of(R"({"model":"m","prompt":")" + long_prompt + "\"}"),
              refusal_reason::too_large);
}

TEST(caller_request, invalid_header_is_refused_with_reason)
{
    const auto reason_for = [](auto set) {
        caller_headers headers;
        set(headers);
        const auto made = request_with(headers);
        return made ? refusal_reason{} : made.error().reason;
    };
    EXPECT_EQ(reason_for([](auto& h) { h.deadline_ms = "0"; }),
              refusal_reason::deadline_passed);
    EXPECT_EQ(reason_for([](auto& h) { h.deadline_ms = "-5"; }),
              refusal_reason::deadline_passed);
    EXPECT_EQ(reason_for([](auto& h) { h.deadline_ms = "soon"; }),
              refusal_reason::bad_request);
    EXPECT_EQ(reason_for([](auto& h) { h.idempotent = "maybe"; }),
              refusal_reason::bad_request);
    EXPECT_EQ(reason_for([](auto& h) { h.delivery = "pigeon"; }),
              refusal_reason::bad_request);
}

TEST(caller_request, arbitrary_bytes_are_parsed_or_refused)
{
    EXPECT_TRUE(rc::check([](const std::string& bytes) {
        (void)parse_completion_body(completion_format::completions, bytes,
                                    limits);
        (void)parse_completion_body(completion_format::chat, bytes, limits);
        (void)ticket_authority::from_text(bytes);
        caller_headers headers;
        headers.last_event_id = bytes;
        headers.deadline_ms = bytes;
        (void)make_resume_request(headers, limits, now);
    }));
}

TEST(caller_request, corrupted_body_is_parsed_or_refused)
{
    EXPECT_TRUE(rc::check([](std::size_t at, char byte, std::size_t cut) {
        auto body = good_body;
        body[at % body.size()] = byte;
        body.resize(cut % (body.size() + 1));
        const auto parsed =
            parse_completion_body(completion_format::completions, body, limits);
        if (parsed)
            RC_ASSERT(parse_json_object(body));
    }));
}

} // namespace
} // namespace cyclamenrun
