#include "gateway_fleet.hpp"
#include "generating_engine.hpp"

#include <memory>

namespace cyclamenrun::testing_support
{
namespace
{

/**
 * Streams that callers resume at another gateway than the one that began them,
 * while engines of two versions serve.
 */
class resumed_streams : public gateway_fleet
{
protected:
    void begin(std::size_t gateways)
    {
        start_fleet(gateways);
        version = "v1";
        old_engine = std::make_shared<generating_engine>();
        add_to_all("e1", script_of(old_engine), "model");
        old_engine->break_before = 5;
        EXPECT_FALSE(send_to(0, "/res/x", "hello").whole);
        first_id = "r" + std::to_string(last_id);
        old_engine->break_before = 1000;
        version = "v2";
        for (const auto* id : {"e2", "e3", "e4"})
            add_to_all(id, script_of(std::make_shared<generating_engine>()),
                       "model");
    }

    caller_answer resume_at(std::size_t index)
    {
        return send_to(index, "/res/x", "hello",
                       "Last-Event-Id: 4\r\nResumes: " + first_id + "\r\n");
    }

    void expect_whole(const caller_answer& answer)
    {
        EXPECT_EQ(answer.status(), 200U);
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body, events(5, generating_engine::last_event));
        for (std::size_t i = 1; i < upstreams.size(); ++i)
            for (const auto& request : upstreams[i]->arrived())
                EXPECT_NE(request.head.target, "/res/x");
    }

    std::shared_ptr<generating_engine> old_engine;
    std::string first_id;
};

TEST_F(resumed_streams, go_on_at_their_version_at_any_gateway)
{
    begin(5);
    for (std::size_t i = 0; i < size(); ++i)
        expect_whole(resume_at(i));
}

// Guards against a version that only the gateway knows that began the stream.
TEST_F(resumed_streams, go_on_after_their_gateway_has_ended)
{
    begin(5);
    stop(0);
    for (std::size_t i = 1; i < size(); ++i)
        expect_whole(resume_at(i));
}

// Guards against a restarted gateway that knows no stream.
TEST_F(resumed_streams, go_on_at_a_gateway_that_has_restarted)
{
    begin(5);
    for (std::size_t i = 0; i < size(); ++i) {
        restart(i);
        // Until it has found others it can ask nobody.
        ASSERT_TRUE(all_learn("\"peers\":" + std::to_string(size() - 1) + ","));
        expect_whole(resume_at(i));
    }
}

// Guards against a guess: all gateways that knew the stream have restarted.
TEST_F(resumed_streams, are_refused_when_no_gateway_knows_their_version)
{
    begin(2);
    stop(0);
    restart(1);
    EXPECT_EQ(resume_at(1).status(), 503U);
}

// Guards against engines of another version once those of the stream's have
// left, at a gateway that has to ask.
TEST_F(resumed_streams, are_refused_when_their_version_has_left)
{
    begin(3);
    remove_from_all("e1");
    EXPECT_EQ(resume_at(1).status(), 503U);
    EXPECT_EQ(resume_at(2).status(), 503U);
}

} // namespace
} // namespace cyclamenrun::testing_support
