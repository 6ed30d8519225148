#include "soak/soak_hosts.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace tanagerspur::soak
{

namespace
{

constexpr duration restart_delay = std::chrono::milliseconds{400};
// As the platform allows after SIGTERM.
constexpr duration grace = std::chrono::seconds{6};
// Time after a fault until a host counts as calm again.
constexpr duration settle_time = std::chrono::seconds{4};

endpoint local(std::uint16_t port)
{
    return {.address = "127.0.0.1", .port = port};
}

} // namespace

soak_host::soak_host(boost::asio::io_context& io, std::string program, std::string folder,
                     int number, std::string zone, std::uint16_t first_port, const endpoint& store)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_name("host-" + std::to_string(number))
    , m_zone(std::move(zone))
    , m_callers(local(first_port))
    , m_readiness(local(static_cast<std::uint16_t>(first_port + 1)))
    , m_directory(local(static_cast<std::uint16_t>(first_port + 2)))
    , m_metrics(local(static_cast<std::uint16_t>(first_port + 3)))
    , m_peers(local(static_cast<std::uint16_t>(first_port + 4)))
    , m_store(local(static_cast<std::uint16_t>(first_port + 5)))
    , m_store_link(io, m_store, store)
{
    write_settings();
}

soak_host::~soak_host()
{
    if (m_process == 0)
        return;
    kill(m_process, SIGCONT);
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
}

void soak_host::write_settings() const
{
    std::ofstream file(m_folder + "/" + m_name + ".ini");
    file << "[host]\nid = " << m_name << "\nzone = " << m_zone << "\ncores = 0.25\n[listen]\n"
         << "callers = " << to_string(m_callers) << "\nreadiness = " << to_string(m_readiness)
         << "\ndirectory = " << to_string(m_directory) << "\nmetrics = " << to_string(m_metrics)
         << "\npeers = " << to_string(m_peers) << "\n[platform]\nstore = " << to_string(m_store)
         << "\n[bounds]\nretry_ratio = 0.2\nretry_slack = 54\nstop_within_s = 6\n";
}

void soak_host::disturbed(time_point until)
{
    m_calm_since = std::max(m_calm_since, until);
    m_without_accident_since = std::max(m_without_accident_since, until);
}

void soak_host::start()
{
    std::string settings = "--settings=" + m_folder + "/" + m_name + ".ini";
    std::array<char*, 3> arguments{m_program.data(), settings.data(), nullptr};
    const std::string log = m_folder + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int log_mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error =
        posix_spawn(&m_process, m_program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + m_program);
    ++m_incarnation;
    m_is_paused = false;
    m_is_stopping = false;
    m_is_expected_to_end = false;
    m_stop_sent = never;
    m_restart_at = never;
    m_calm_since = std::max(m_calm_since, boot_now() + settle_time);
}

void soak_host::signal(int number)
{
    if (m_process == 0)
        return;
    kill(m_process, number);
    const time_point settled = boot_now() + settle_time;
    m_calm_since = std::max(m_calm_since, settled);
    if (number != SIGTERM && number != SIGHUP)
        disturbed(settled);
    if (number == SIGKILL)
        m_is_expected_to_end = true;
    else if (number == SIGSTOP || number == SIGCONT)
    {
        m_is_paused = number == SIGSTOP;
        (m_is_paused ? m_paused_at : m_resumed_at) = boot_now();
    }
    else if (number == SIGTERM)
    {
        m_is_stopping = true;
        m_is_expected_to_end = true;
        m_stop_sent = std::min(m_stop_sent, boot_now());
    }
}

void soak_host::tick(time_point now)
{
    if (m_process == 0)
    {
        if (now >= m_restart_at)
            start();
        return;
    }
    if (m_stop_sent != never && now > m_stop_sent + grace && !m_is_paused)
    {
        // The platform would kill it now; it had its time.
        const auto ms_after_stop = [this](time_point when)
        { return std::to_string((when - m_stop_sent).count() / 1000); };
        m_unexpected_ends.push_back(
            m_name + " lives " + ms_after_stop(now) + " ms after SIGTERM, last paused at " +
            ms_after_stop(m_paused_at) + " ms, resumed at " + ms_after_stop(m_resumed_at) + " ms");
        signal(SIGKILL);
        m_stop_sent = never;
    }
    int status = 0;
    if (waitpid(m_process, &status, WNOHANG) != m_process)
        return;
    if (!m_is_expected_to_end)
        m_unexpected_ends.push_back(m_name + " ended by itself, wait status " +
                                    std::to_string(status));
    m_process = 0;
    m_restart_at = now + restart_delay;
    m_calm_since = std::max(m_calm_since, now + restart_delay + settle_time);
}

} // namespace tanagerspur::soak
