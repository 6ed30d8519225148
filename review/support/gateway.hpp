// Starts the forwarding daemon as the deploy file does, with the settings of a small deployment.

#ifndef TANAGERSPUR_REVIEW_GATEWAY_HPP
#define TANAGERSPUR_REVIEW_GATEWAY_HPP

#include "http.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

namespace review
{

// The command of the deploy file; run.sh starts the case in the repository's root.
constexpr const char* gateway_program = "target/tanagerspur_gateway";

class gateway_process
{
public:
    gateway_process(const std::string& folder, const std::string& name, std::uint16_t store_port)
        : m_folder(folder)
        , m_name(name)
        , m_callers(free_port())
        , m_readiness(free_port())
        , m_directory(free_port())
    {
        std::ofstream file{settings_path()};
        file << "[host]\nid = " << name << "\nzone = zone-1\ncores = 0.25\n\n[listen]\n"
             << "callers = 127.0.0.1:" << m_callers << "\nreadiness = 127.0.0.1:" << m_readiness
             << "\ndirectory = 127.0.0.1:" << m_directory << "\nmetrics = 127.0.0.1:" << free_port()
             << "\npeers = 127.0.0.1:" << free_port()
             << "\n\n[platform]\nstore = 127.0.0.1:" << store_port
             << "\n\n[bounds]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\n"
             << "drain_ms = 3000\nstop_within_s = 6\n";
    }
    ~gateway_process()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGCONT);
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    bool start()
    {
        std::string program = gateway_program;
        std::string settings = "--settings=" + settings_path();
        char* const arguments[] = {program.data(), settings.data(), nullptr};
        const std::string log = m_folder + "/" + m_name + ".log";
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int error =
            posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments, environ);
        posix_spawn_file_actions_destroy(&actions);
        return error == 0;
    }

    void signal(int number) const { ::kill(m_process, number); }
    // The wait status once the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
            return std::nullopt;
        m_process = 0;
        return status;
    }

    bool is_ready() const
    {
        const auto asked = connection::open(m_readiness);
        if (asked == nullptr || !asked->write("GET /v1/ready HTTP/1.1\r\nHost: platform\r\n\r\n"))
            return false;
        const auto answer = asked->read(clock::now() + std::chrono::seconds{1});
        return answer && answer->status() == 200;
    }
    bool wait_until_ready(std::chrono::seconds longest = std::chrono::seconds{15}) const
    {
        const auto end = clock::now() + longest;
        while (clock::now() < end)
        {
            if (is_ready())
                return true;
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

    std::uint16_t callers() const { return m_callers; }

private:
    std::string settings_path() const { return m_folder + "/" + m_name + ".ini"; }

    std::string m_folder;
    std::string m_name;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::uint16_t m_directory;
    pid_t m_process = 0;
};

} // namespace review

#endif
