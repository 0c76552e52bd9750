#ifndef REVIEW_PROGRAMS_HPP
#define REVIEW_PROGRAMS_HPP

// Starts the deployed programs with settings as the deploy templates render
// them for a small deployment.

#include "net.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/** A temporary folder, removed at the end. */
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        path_ = name;
    }
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

/** Loopback addresses and ports of one deployment. */
class network
{
public:
    network()
    {
        std::random_device random;
        const auto draw = [&](int low, int high) {
            return std::uniform_int_distribution<int>(low, high)(random);
        };
        prefix_ = "127." + std::to_string(draw(20, 250)) + "." +
                  std::to_string(draw(1, 250)) + ".";
        port_ = static_cast<std::uint16_t>(draw(20000, 31000));
    }
    std::string host(int number) const
    {
        return prefix_ + std::to_string(number);
    }
    /** A port that has the same number on all machines. */
    std::uint16_t port(int number) const
    {
        return static_cast<std::uint16_t>(port_ + number);
    }

private:
    std::string prefix_;
    std::uint16_t port_ = 0;
};

constexpr int front_port = 0;
constexpr int ready_port = 1;
constexpr int metrics_port = 2;
constexpr int first_internal_port = 3;
constexpr int second_internal_port = 4;
constexpr int engine_port = 5;
constexpr int store_port = 6;

/** A process of the project; killed at the end at the latest. */
class program
{
public:
    program(std::string binary, std::string settings, const std::string& log)
        : binary_(std::move(binary)), settings_(std::move(settings)), log_(log)
    {
        start();
    }
    ~program() { kill(); }
    program(const program&) = delete;
    program& operator=(const program&) = delete;

    void start()
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        // Ends with the case, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            ::close(descriptor);
        ::execl(binary_.c_str(), binary_.c_str(), "--settings",
                settings_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    /** True if the process has ended by itself; then also its status. */
    bool ended(int& status)
    {
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        return true;
    }
    const std::string& log() const { return log_; }

private:
    std::string binary_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

inline std::string folder_of_programs()
{
    const char* root = std::getenv("REVIEW_ROOT");
    return std::string(root == nullptr ? "." : root) + "/target/bin/";
}

/** Settings as deploy/gateway.toml.in renders them. */
inline std::string gateway_settings(const network& net, int number,
                                    const std::string& zone,
                                    const std::vector<int>& seeds,
                                    int store_host = 1)
{
    const auto at = [&](int port) {
        return "\"" + endpoint{net.host(number), net.port(port)}.text() + "\"";
    };
    std::string list;
    for (const int seed : seeds)
        list += std::string(list.empty() ? "" : ",") + "\"" +
                endpoint{net.host(seed), net.port(front_port)}.text() + "\"";
    return "name = \"edge-" + std::to_string(number) +
           "\"\nregion = \"cuyo\"\nfailure_domain = \"" + zone +
           "\"\nlisten = " + at(front_port) +
           "\nready_listen = " + at(ready_port) +
           "\nmetrics_listen = " + at(metrics_port) +
           "\nmemory_mb = 110\n\n[directory]\naddress = \"" +
           endpoint{net.host(store_host), net.port(store_port)}.text() +
           "\"\nconfiguration_lease_ms = 5000\n\n[loads]\nlisten = " +
           at(first_internal_port) + "\nmonitor_port = " +
           std::to_string(net.port(first_internal_port)) +
           "\n\n[peers]\nlisten = " + at(second_internal_port) +
           "\nseeds = [" + list +
           "]\n\n[retries]\nshare = 0.2\nextra = 56\nwindow_s = 10\n\n[cold]\n"
           "\n[stop]\ngrace_s = 8\n\n[limits]\nmax_fds = 4100\n"
           "cpu_share = 0.19\n";
}

/** Settings as deploy/monitor.toml.in renders them. */
inline std::string monitor_settings(const network& net, int number,
                                    int store_host = 1)
{
    const auto at = [&](int port) {
        return "\"" + endpoint{net.host(number), net.port(port)}.text() + "\"";
    };
    return "name = \"side-" + std::to_string(number) +
           "\"\nlisten = " + at(first_internal_port) +
           "\nengine = " + at(engine_port) +
           "\nmetrics_listen = " + at(metrics_port) +
           "\n\n[directory]\naddress = \"" +
           endpoint{net.host(store_host), net.port(store_port)}.text() + "\"\n";
}

/** Writes settings and starts a program with them. */
inline std::unique_ptr<program> start_program(const temporary_folder& folder,
                                              const std::string& kind,
                                              int number,
                                              const std::string& settings)
{
    const auto name = kind + "-" + std::to_string(number);
    const auto file = folder.path() / (name + ".conf");
    std::ofstream(file) << settings;
    const char* logs = std::getenv("REVIEW_LOGS");
    const auto log = logs == nullptr ? (folder.path() / name).string()
                                     : std::string(logs) + "/" + name;
    return std::make_unique<program>(folder_of_programs() + "cyclamenrun-" +
                                         kind,
                                     file.string(), log);
}

/** Waits until a gateway says that it is ready. */
inline bool wait_until_ready(const network& net, int number, ms longest)
{
    const auto deadline = clock_type::now() + longest;
    while (clock_type::now() < deadline) {
        const auto open = connect_to({net.host(number), net.port(ready_port)});
        if (open && open->send("GET /readyz HTTP/1.1\r\nHost: g\r\n\r\n")) {
            const auto answer = open->read(true);
            if (answer && answer->status == 200)
                return true;
        }
        sleep_ms(50);
    }
    return false;
}

} // namespace review

#endif
