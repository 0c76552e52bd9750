#ifndef CYCLAMENRUN_TESTS_CHILD_PROCESS_HPP
#define CYCLAMENRUN_TESTS_CHILD_PROCESS_HPP

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * One of our programs, run by a test. It is killed and reaped with this
 * object, and dies with the test should that be killed.
 */
class child_process
{
public:
    child_process(const std::string& program, std::vector<std::string> options)
    {
        options.insert(options.begin(),
                       std::string(CYCLAMENRUN_BIN_DIR) + "/" + program);
        std::vector<char*> arguments;
        arguments.reserve(options.size() + 1);
        for (auto& option : options)
            arguments.push_back(option.data());
        arguments.push_back(nullptr);
        std::array<int, 2> ends{};
        if (::pipe(ends.data()) != 0)
            throw std::runtime_error("pipe");
        errors_ = std::tmpfile();
        pid_ = ::fork();
        if (pid_ == 0)
            become(arguments, ends[1]);
        ::close(ends[1]);
        output_ = ends[0];
    }

    ~child_process()
    {
        if (pid_ > 0) {
            signal(SIGKILL);
            wait();
        }
        ::close(output_);
        std::fclose(errors_);
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return pid_; }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    /** Waits for the end; the exit code, or minus the signal. */
    int wait()
    {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

    /** The next whole line of output; empty at its end or after `limit`. */
    std::optional<std::string> read_line(std::chrono::milliseconds limit)
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        for (;;) {
            const auto end = pending_.find('\n');
            if (end != std::string::npos) {
                auto line = pending_.substr(0, end);
                pending_.erase(0, end + 1);
                return line;
            }
            if (!read_more(deadline))
                return {};
        }
    }

    /** What follows `word` and a space at the start of a line. */
    std::string wait_for_line(const std::string& word)
    {
        constexpr std::chrono::milliseconds limit(20000);
        while (const auto line = read_line(limit)) {
            if (line->starts_with(word + " "))
                return line->substr(word.size() + 1);
        }
        throw std::runtime_error("no line \"" + word + "\": " + errors());
    }

    /** All that the program has written to its standard error. */
    std::string errors() const
    {
        std::string text;
        std::array<char, 4096> piece{};
        ::off_t at = 0;
        ::ssize_t count = 0;
        while ((count = ::pread(::fileno(errors_), piece.data(), piece.size(),
                                at)) > 0) {
            text.append(piece.data(), static_cast<std::size_t>(count));
            at += count;
        }
        return text;
    }

private:
    [[noreturn]] void become(const std::vector<char*>& arguments,
                             int output) const
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(::fileno(errors_), STDERR_FILENO);
        constexpr int first_inherited = 3;
        constexpr int last_inherited = 1024;
        for (int other = first_inherited; other < last_inherited; ++other)
            ::close(other);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }

    bool read_more(std::chrono::steady_clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        pollfd wanted{output_, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&wanted, 1, static_cast<int>(left.count())) <= 0)
            return false;
        std::array<char, 4096> piece{};
        const auto count = ::read(output_, piece.data(), piece.size());
        if (count <= 0)
            return false;
        pending_.append(piece.data(), static_cast<std::size_t>(count));
        return true;
    }

    pid_t pid_ = -1;
    int output_ = -1;
    std::FILE* errors_ = nullptr;
    std::string pending_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_CHILD_PROCESS_HPP
