#include "exit_code.hpp"
#include "fake_entry.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cyclamenrun
{
namespace
{

struct ctl_result {
    exit_code code = exit_code::failed;
    std::string output; ///< standard output and error together
};

/** Runs the cyclamenrunctl program against a fake entry. */
class ctl_test : public testing::Test
{
protected:
    ctl_test()
    {
        std::filesystem::create_directory(folder);
        std::ofstream(folder / "key") << entry.key().reveal() << '\n';
        std::ofstream(folder / "resources.toml")
            << "[[service]]\nname = 'redactor'\nkind = 'model'\n"
               "objective = 'stall_time'\nmodel = 'm-1'\n";
    }
    ~ctl_test() override { std::filesystem::remove_all(folder); }

    ctl_result run(const std::string& arguments) const
    {
        const auto command = CYCLAMENRUN_BIN_DIR "/cyclamenrunctl --entry " +
                             to_string(entry.address()) + " --key-file " +
                             (folder / "key").string() + ' ' + arguments +
                             " 2>&1";
        auto* pipe = popen(command.c_str(), "r"); // NOLINT(cert-env33-c)
        ctl_result result;
        std::array<char, 256> buffer{};
        while (std::fgets(buffer.data(), buffer.size(), pipe) != nullptr)
            result.output += buffer.data();
        const auto status = pclose(pipe);
        result.code = static_cast<exit_code>(WEXITSTATUS(status));
        return result;
    }

    std::string file(const std::string& name) const
    {
        return (folder / name).string();
    }

    std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        ("cyclamenrun-ctl-" + std::to_string(getpid()));
    fake_entry entry;
};

TEST_F(ctl_test, apply_is_idempotent_and_waits_until_in_force)
{
    const auto first = run("apply --wait " + file("resources.toml"));
    EXPECT_EQ(first.code, exit_code::ok) << first.output;
    EXPECT_THAT(first.output, testing::HasSubstr("accepted as revision 1"));
    const auto second = run("apply " + file("resources.toml"));
    EXPECT_THAT(second.output, testing::HasSubstr("unchanged"));
    EXPECT_EQ(entry.records(), 1);
    EXPECT_THAT(run("show services").output, testing::HasSubstr("stall_time"));
}

// The platform's log is slow, and the answer to a change is lost after the
// change came into force. The client must report the change as accepted and
// must not append a second record to the log.
TEST_F(ctl_test, a_lost_answer_causes_neither_a_failure_nor_a_second_change)
{
    entry.answer_unknown(1);
    const auto result = run("apply " + file("resources.toml"));
    EXPECT_EQ(result.code, exit_code::ok) << result.output;
    EXPECT_EQ(entry.records(), 1);
}

// Two operators change the same service concurrently. The client of the second
// must report the conflict and print the resource in force, and must not
// overwrite it.
TEST_F(ctl_test, a_conflict_shows_the_winner)
{
    v1::Resource winner;
    winner.mutable_service()->set_name("redactor");
    winner.mutable_service()->set_model("m-2");
    entry.change_before_next_apply(winner);
    const auto result = run("apply " + file("resources.toml"));
    EXPECT_EQ(result.code, exit_code::conflict);
    EXPECT_THAT(result.output, testing::HasSubstr("\"model\":\"m-2\""));
}

TEST_F(ctl_test, a_deleted_resource_can_be_created_again)
{
    run("apply " + file("resources.toml"));
    EXPECT_EQ(run("delete service redactor").code, exit_code::ok);
    EXPECT_EQ(run("delete service redactor").code, exit_code::not_found);
    const auto again = run("apply " + file("resources.toml"));
    EXPECT_EQ(again.code, exit_code::ok) << again.output;
    EXPECT_EQ(entry.revision_of("redactor"), 3U);
}

TEST_F(ctl_test, an_invalid_file_is_rejected_before_anything_is_sent)
{
    std::ofstream(folder / "wrong.toml")
        << "[[service]]\nname = 'a'\nkind = 'modell'\n[[teem]]\n"
           "[[team]]\nname = 't'\nkey_hash = 'x'\nwieght = 3\n";
    const auto result = run("apply " + file("wrong.toml"));
    EXPECT_EQ(result.code, exit_code::settings);
    EXPECT_THAT(result.output, testing::HasSubstr("service.kind"));
    EXPECT_THAT(result.output, testing::HasSubstr("teem"));
    EXPECT_THAT(result.output, testing::HasSubstr("wrong.toml:8: team.wieght"));
    EXPECT_EQ(entry.records(), 0);
}

} // namespace
} // namespace cyclamenrun
