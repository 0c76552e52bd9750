#ifndef CYCLAMENRUN_TESTS_CHILD_PROCESS_HPP
#define CYCLAMENRUN_TESTS_CHILD_PROCESS_HPP

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * One of the project's programs, run by a test. The destructor kills and reaps
 * the process; the kernel kills it if the test itself is killed.
 */
class child_process
{
public:
    child_process(const std::string& program, std::vector<std::string> options)
    {
        options.insert(options.begin(), folder() + "/" + program);
        std::vector<char*> arguments;
        arguments.reserve(options.size() + 1);
        for (auto& option : options)
            arguments.push_back(option.data());
        arguments.push_back(nullptr);
        output_ = std::tmpfile();
        errors_ = std::tmpfile();
        pid_ = ::fork();
        if (pid_ == 0)
            exec_program(arguments);
    }

    ~child_process()
    {
        if (pid_ > 0) {
            signal(SIGKILL);
            wait();
        }
        std::fclose(output_);
        std::fclose(errors_);
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return pid_; }

    /** The exit code, or minus the signal; none while the process runs. */
    std::optional<int> end_status() const
    {
        siginfo_t info{};
        if (pid_ <= 0 ||
            ::waitid(P_PID, static_cast<id_t>(pid_), &info,
                     WEXITED | WNOHANG | WNOWAIT) != 0 ||
            info.si_pid == 0)
            return {};
        return info.si_code == CLD_EXITED ? info.si_status : -info.si_status;
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    /** Waits for the exit. Returns the exit code, or minus the signal. */
    int wait()
    {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

    /** Reads the next output line; empty at the end or after `limit`. */
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

    /** The program's standard output so far, where daemons write their log. */
    std::string output() const { return read_all(output_); }

    /** Waits for the listener's log event. Returns its address. */
    std::string wait_for_listener(const std::string& name)
    {
        return wait_for_address(R"("event":"listener_opened","name":")" + name +
                                "\"");
    }

    /** Waits for the program's ready event. Returns its serving address. */
    std::string wait_until_ready()
    {
        return wait_for_address(R"("event":"process_ready")");
    }

    /** Waits for a line that starts with `word`. Returns the rest of it. */
    std::string wait_for_line(const std::string& word)
    {
        constexpr std::chrono::milliseconds limit(20000);
        while (const auto line = read_line(limit)) {
            if (line->starts_with(word + " "))
                return line->substr(word.size() + 1);
        }
        throw std::runtime_error("no line \"" + word + "\": " + errors());
    }

    /** The program's standard error so far. */
    std::string errors() const { return read_all(errors_); }

private:
    /** Of the programs; the environment may name that of another build. */
    static std::string folder()
    {
        const char* other = std::getenv("CYCLAMENRUN_PROGRAMS");
        return other == nullptr ? CYCLAMENRUN_BIN_DIR : other;
    }

    static std::string read_all(std::FILE* file)
    {
        std::string text;
        std::array<char, 4096> piece{};
        ::off_t at = 0;
        ::ssize_t count = 0;
        while ((count = ::pread(::fileno(file), piece.data(), piece.size(),
                                at)) > 0) {
            text.append(piece.data(), static_cast<std::size_t>(count));
            at += count;
        }
        return text;
    }

    /** Returns the address in the first log line that contains `fragment`. */
    std::string wait_for_address(const std::string& fragment)
    {
        const auto deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        do {
            const auto text = output();
            const std::string before = R"("address":")";
            const auto found = text.find(fragment);
            const auto from = text.find(before, found);
            const auto end = text.find('\n', found);
            if (found != std::string::npos && end != std::string::npos)
                return text.substr(from + before.size(),
                                   text.find('"', from + before.size()) - from -
                                       before.size());
            std::this_thread::sleep_for(poll_interval);
        } while (std::chrono::steady_clock::now() < deadline && !ended());
        throw std::runtime_error("no line " + fragment + ": " + output() +
                                 errors());
    }

    bool ended() const { return pid_ <= 0 || end_status().has_value(); }

    [[noreturn]] void exec_program(const std::vector<char*>& arguments) const
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(::fileno(output_), STDOUT_FILENO);
        ::dup2(::fileno(errors_), STDERR_FILENO);
        // Closes the files and sockets inherited from the test.
        constexpr int first_inherited = 3;
        constexpr int descriptor_limit = 1024;
        for (int descriptor = first_inherited; descriptor < descriptor_limit;
             ++descriptor)
            ::close(descriptor);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }

    /** Returns false at the end of the output or after the deadline. */
    bool read_more(std::chrono::steady_clock::time_point deadline)
    {
        for (;;) {
            const bool last = ended();
            std::array<char, 4096> piece{};
            const auto count = ::pread(::fileno(output_), piece.data(),
                                       piece.size(), read_bytes_);
            if (count > 0) {
                pending_.append(piece.data(), static_cast<std::size_t>(count));
                read_bytes_ += count;
                return true;
            }
            if (last || std::chrono::steady_clock::now() >= deadline)
                return false;
            std::this_thread::sleep_for(poll_interval);
        }
    }

    static constexpr std::chrono::milliseconds poll_interval{2};

    pid_t pid_ = -1;
    std::FILE* output_ = nullptr;
    std::FILE* errors_ = nullptr;
    std::string pending_;    ///< output not yet returned by read_line()
    ::off_t read_bytes_ = 0; ///< of the output, by read_more()
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_CHILD_PROCESS_HPP
