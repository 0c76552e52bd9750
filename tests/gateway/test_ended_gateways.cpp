#include "gateway_program.hpp"

namespace cyclamenrun::testing_support
{
namespace
{

constexpr std::size_t large_stream_bytes = std::size_t(12) << 20;
constexpr int small_receive_buffer = 4096;

/** An event that is larger than most. */
std::string large_event(std::uint64_t id)
{
    constexpr std::size_t data_bytes = 4000;
    return "id: " + std::to_string(id) +
           "\ndata: " + std::string(data_bytes, 'x') + "\n\n";
}

std::string large_stream()
{
    std::string text;
    for (std::uint64_t id = 1; text.size() < large_stream_bytes; ++id)
        text += large_event(id);
    return text;
}

/** A gateway program that ends while its caller gets a stream. */
class ended_gateways : public gateway_program
{
protected:
    ended_gateways()
    {
        answer_stream = [](const arrived_request& request,
                           upstream_reply& reply) {
            reply.begin_unframed(request);
            reply.event(1);
            reply.event(2);
            reply.wait_for_close();
        };
    }

    /** Restarts the program with a stop grace of a second. */
    void shorten_grace()
    {
        auto text = gateway_settings_text(store);
        const std::string grace = "grace_s = 5";
        text.replace(text.find(grace), grace.size(), "grace_s = 1");
        settings.write(text);
        process = std::make_unique<child_process>(
            "cyclamenrun-gateway",
            std::vector<std::string>{"--settings", settings.path()});
        ready_address = process->wait_for_listener("ready");
        address = process->wait_until_ready();
        wait_for_answer("k1", 200);
    }

    /** Sends a request for a stream and reads its first two events. */
    void begin_stream(test_caller& caller)
    {
        caller.send(request_text("k1", "/s/x"));
        ASSERT_TRUE(caller.wait_for_body(event_text(2)));
    }

    /** Reads the rest of an answer that must not look complete. */
    static void expect_broken_off(test_caller& caller)
    {
        const auto answer = caller.read();
        EXPECT_FALSE(answer.whole);
        EXPECT_EQ(answer.body, event_text(1) + event_text(2));
    }

    void expect_broken_off_by(int signal)
    {
        test_caller caller(address);
        begin_stream(caller);
        process->signal(signal);
        expect_broken_off(caller);
    }
};

// Guard against a stream that its gateway's end completes: the kernel closes
// the connections of a process that ends.

TEST_F(ended_gateways, break_off_their_streams_when_killed)
{
    expect_broken_off_by(SIGKILL);
}

TEST_F(ended_gateways, break_off_their_streams_when_they_abort)
{
    expect_broken_off_by(SIGABRT);
}

TEST_F(ended_gateways, break_off_their_streams_when_they_crash)
{
    expect_broken_off_by(SIGSEGV);
}

// Guards against an end without a trace: nothing in the log tells a process
// that has ended by itself from one that was killed.
TEST_F(ended_gateways, log_the_signal_that_ends_them)
{
    process->signal(SIGABRT);
    EXPECT_EQ(process->wait(), -SIGABRT);
    EXPECT_TRUE(
        wait_for_log(R"("event":"process_failed","signal":"SIGABRT"})"));
}

TEST_F(ended_gateways, break_off_streams_that_outlast_the_stop_grace)
{
    shorten_grace();
    test_caller caller(address);
    begin_stream(caller);
    process->signal(SIGTERM);
    expect_broken_off(caller);
    EXPECT_NE(process->wait(), 0);
}

// Guards against a request without an answer: the process exits while the
// request runs.
TEST_F(ended_gateways, refuse_requests_that_outlast_the_stop_grace)
{
    shorten_grace();
    may_answer = false;
    test_caller caller(address);
    caller.send(request_text("k1"));
    upstream.wait_for(3);
    process->signal(SIGTERM);
    const auto answer = caller.read();
    may_answer = true;
    EXPECT_EQ(answer.status(), 502U);
    EXPECT_TRUE(answer.whole);
    EXPECT_TRUE(wait_for_log("\"event\":\"drain_timed_out\""));
    EXPECT_TRUE(wait_for_log("\"reason\":\"upstream_lost\""));
}

TEST_F(ended_gateways, break_off_their_streams_when_killed_during_a_stop)
{
    test_caller caller(address);
    begin_stream(caller);
    process->signal(SIGTERM);
    process->signal(SIGTERM);
    EXPECT_TRUE(wait_for_log("process_stopping"));
    process->signal(SIGKILL);
    expect_broken_off(caller);
}

TEST_F(ended_gateways, break_off_streams_of_callers_of_an_older_protocol)
{
    auto text = request_text("k1", "/s/x");
    const std::string version = "HTTP/1.1";
    text.replace(text.find(version), version.size(), "HTTP/1.0");
    test_caller caller(address);
    caller.send(text);
    ASSERT_TRUE(caller.wait_for_body(event_text(2)));
    process->signal(SIGKILL);
    expect_broken_off(caller);
}

TEST_F(ended_gateways, break_off_streams_whose_output_waits_for_the_caller)
{
    answer_stream = [](const arrived_request& request, upstream_reply& reply) {
        reply.begin_unframed(request);
        try {
            reply.send(large_stream());
        } catch (const Poco::Exception&) {
            return; // the gateway has ended
        }
        reply.wait_for_close();
    };
    test_caller caller(address, small_receive_buffer);
    caller.send(request_text("k1", "/s/x"));
    ASSERT_TRUE(caller.wait_for_body(large_event(1)));
    process->signal(SIGKILL);
    const auto answer = caller.read();
    EXPECT_FALSE(answer.whole);
    EXPECT_LT(answer.body.size(), large_stream_bytes);
}

// Guards against a whole answer whose end is lost: the process is killed after
// it has handed the answer to the operating system.
TEST_F(ended_gateways, leave_answers_whole_that_have_ended)
{
    answer_stream = [](const arrived_request& request, upstream_reply& reply) {
        reply.begin_unframed(request);
        reply.send(large_event(1));
        reply.close();
    };
    test_caller caller(address, small_receive_buffer);
    caller.send(request_text("k1", "/s/x"));
    ASSERT_TRUE(wait_until_idle());
    process->signal(SIGKILL);
    process->wait();
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, large_event(1));
}

/** A caller of an ended stream whose last bytes wait in the gateway. */
class slow_callers : public ended_gateways
{
protected:
    slow_callers()
    {
        answer_stream = [this](const arrived_request& request,
                               upstream_reply& reply) {
            reply.begin_unframed(request);
            do {
                const auto event = large_event(++events);
                reply.send(event);
                stream += event;
            } while (held_bytes() < waiting_bytes);
            reply.close();
        };
    }

    /** Begins the stream and waits for its end, but does not read it. */
    void begin(test_caller& caller)
    {
        caller.send(request_text("k1", "/s/x"));
        upstream.wait_for(2);
        ASSERT_TRUE(wait_until_idle());
        ASSERT_GE(held_bytes(), waiting_bytes / 2);
    }

    /** Bytes that the gateway holds, those for the caller included. */
    std::size_t held_bytes() const
    {
        const std::string name = "\"input_bytes\":";
        const auto state = program_state();
        return std::stoul(state.substr(state.find(name) + name.size()));
    }

    static constexpr std::size_t waiting_bytes = std::size_t(64) << 10;
    std::uint64_t events = 0;
    std::string stream; ///< sent by the upstream
};

// Guards against a whole stream whose end is dropped: its caller still reads
// when the connection has been closing for a second.
TEST_F(slow_callers, get_the_end_of_a_stream_late)
{
    test_caller caller(address, small_receive_buffer);
    begin(caller);
    std::this_thread::sleep_for(milliseconds(1800));
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body.size(), stream.size());
}

// Guards against a whole stream whose end is dropped: the process stops while
// its caller still reads.
TEST_F(slow_callers, get_the_end_of_a_stream_from_a_process_that_stops)
{
    test_caller caller(address, small_receive_buffer);
    begin(caller);
    process->signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(700));
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body.size(), stream.size());
    EXPECT_EQ(process->wait(), 0);
}

// Guards against a part of an answer that looks whole: its caller does not
// take the end before the process exits.
TEST_F(slow_callers, see_that_the_end_of_a_stream_is_lost_with_the_process)
{
    shorten_grace();
    test_caller caller(address, small_receive_buffer);
    begin(caller);
    process->signal(SIGTERM);
    process->wait();
    const auto answer = caller.read();
    EXPECT_FALSE(answer.whole);
}

} // namespace
} // namespace cyclamenrun::testing_support
