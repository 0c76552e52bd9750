#include "http_dialect.hpp"
#include "keyed_records.hpp"
#include "record_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::platform
{
namespace
{

/** Changes the text up to five times: replaces, adds or removes some bytes. */
std::string corrupted(std::string text)
{
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.insert(at, *rc::gen::arbitrary<std::string>());
            break;
        case 2:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
            break;
        default:
            text.insert(at, text.substr(at / 2, 40));
            break;
        }
    }
    return text;
}

const std::string configuration_text =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
    R"("type":"streaming","timeout_ms":6000,"objective_ms":1500,)"
    R"("split":[{"service":"s","weight":90}],"max_attempts":2}],)"
    R"("services":[{"name":"s","engine":{"slots":24,"kv_capacity":34267,)"
    R"("kv_bytes":131072,"moves":true}}],"limits":{"max_body_bytes":4096},)"
    R"("tenants":[{"name":"t","api_keys":["k"],"priority":1}]})";

// A corrupted configuration must be rejected or give only values with which
// requests can be served.
RC_GTEST_PROP(corrupted_messages, give_no_invalid_configuration, ())
{
    const auto read = read_configuration(corrupted(configuration_text));
    if (!read)
        return;
    for (const auto& route : read->routes) {
        RC_ASSERT(route.max_attempts >= 1U);
        RC_ASSERT(route.timeout >= milliseconds::zero());
        RC_ASSERT(route.objective >= milliseconds::zero());
        RC_ASSERT(route.gap_target >= milliseconds::zero());
    }
}

RC_GTEST_PROP(corrupted_messages, give_a_load_or_an_error, ())
{
    const std::string text =
        R"({"running":3,"starting":1,"queued":2,"next":1700,"kv_used":900,)"
        R"("kv_total":34215,"state":"leaving","leaves_ms":1500,)"
        R"("runs":[["a",100,5,1]]})";
    const auto load = http_dialect().read_load({200, corrupted(text)});
    RC_ASSERT(load || load.error() == call_failure::malformed);
}

RC_GTEST_PROP(corrupted_messages, of_a_move_give_a_copy_only_with_a_handle, ())
{
    const std::string text = R"({"handle":"h1","created":30})";
    const auto status = *rc::gen::element(200U, 404U, 409U, 503U, 500U);
    const auto reply = http_dialect().read_move({status, corrupted(text)});
    if (reply.result == move_reply::kind::copied) {
        RC_ASSERT(status == 200U);
        RC_ASSERT(!reply.handle.empty());
    }
}

RC_GTEST_PROP(corrupted_messages,
              of_the_store_give_no_more_records_than_they_hold, ())
{
    std::string batch(16, '\0');
    for (int i = 0; i < 5; ++i)
        batch += std::string("\0\0\0\x06\x03", 5) + "keyv1";
    const auto bytes = corrupted(batch);
    const auto read = read_record_batch(bytes);
    RC_ASSERT(!read || read->records.size() <= bytes.size() / 4);
    const auto page = read_newest_page(
        corrupted(R"({"items":[{"key":"k","value":"dmFsdWU="}],)"
                  R"("end_offset":7,"truncated":false})"));
    // More than the page can hold: it has a few hundred bytes, and a record
    // takes at least ten, as in {"key":""}.
    RC_ASSERT(!page || page->records.size() <= 200U);
}

/**
 * The target of a caller's request is corrupted, and each header field is
 * corrupted or missing. An intact copy of a field may follow. The request must
 * be refused or give a time left that is not negative.
 */
RC_GTEST_PROP(corrupted_messages, of_callers_are_read_or_refused, ())
{
    http_head head;
    head.method = "POST";
    head.target = "/a/" + corrupted("x?y=1");
    for (const auto& [name, value] :
         {std::pair("Host", "h.example"), std::pair("Attempt-Id", "9c41"),
          std::pair("Token-Usage", "1460,80"),
          std::pair("Prompt-Prefix", "5c1e:800,91bd:410"),
          std::pair("Deadline-Ms", "39000"), std::pair("Last-Event-Id", "17"),
          std::pair("Authorization", "Bearer k1")}) {
        if (*rc::gen::inRange(0, 5) > 0)
            head.fields.push_back({name, corrupted(value)});
        if (*rc::gen::inRange(0, 8) == 0)
            head.fields.push_back({name, value});
    }
    const auto facts = http_dialect().read_request(head);
    if (facts && facts->time_left)
        RC_ASSERT(*facts->time_left >= milliseconds::zero());
}

} // namespace
} // namespace cyclamenrun::platform
