// The hosts of the soak: tanagerspur_gateway as processes of their own, started, stopped, paused
// and killed by their ids, each with a link of its own to the store.

#ifndef TANAGERSPUR_SOAK_SOAK_HOSTS_HPP
#define TANAGERSPUR_SOAK_SOAK_HOSTS_HPP

#include "stand_ins/loopback_proxy.hpp"
#include "tanagerspur/common/endpoint.hpp"
#include "tanagerspur/common/time.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tanagerspur::soak
{

class soak_host
{
public:
    // folder: for the settings and the log of the process.
    soak_host(boost::asio::io_context& io, std::string program, std::string folder, int number,
              std::string zone, std::uint16_t first_port, const endpoint& store);
    ~soak_host();
    soak_host(const soak_host&) = delete;
    soak_host& operator=(const soak_host&) = delete;

    void start();
    // Sends a signal to the process, if it runs.
    void signal(int number);
    // Notices the end of the process and starts it again, as the platform does.
    void tick(time_point now);

    // No fault of its process or link since this time, and no fault but planned stops.
    time_point calm_since() const { return m_calm_since; }
    time_point without_accident_since() const { return m_without_accident_since; }
    void disturbed(time_point until);
    bool is_paused() const { return m_is_paused; }
    bool is_stopping() const { return m_is_stopping; }
    // Counts starts.
    int incarnation() const { return m_incarnation; }
    // How the process ended by itself, or outlived its grace, each time.
    const std::vector<std::string>& unexpected_ends() const { return m_unexpected_ends; }

    const endpoint& callers() const { return m_callers; }
    const endpoint& directory() const { return m_directory; }
    const std::string& zone() const { return m_zone; }
    stand_ins::loopback_proxy& store_link() { return m_store_link; }

private:
    void write_settings() const;

    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    endpoint m_callers;
    endpoint m_readiness;
    endpoint m_directory;
    endpoint m_metrics;
    endpoint m_peers;
    endpoint m_store;
    stand_ins::loopback_proxy m_store_link;
    pid_t m_process = 0;
    int m_incarnation = 0;
    std::vector<std::string> m_unexpected_ends;
    bool m_is_paused = false;
    bool m_is_stopping = false;
    bool m_is_expected_to_end = false;
    time_point m_stop_sent = never;
    // When the process was last paused, or went on.
    time_point m_paused_at{};
    time_point m_resumed_at{};
    time_point m_restart_at = never;
    time_point m_calm_since{};
    time_point m_without_accident_since{};
};

} // namespace tanagerspur::soak

#endif
