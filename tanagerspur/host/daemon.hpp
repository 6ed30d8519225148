// The daemon: one thread for each duty, joined by bounded rings.
//
//   front     HTTP servers for callers and operators
//   core      every decision (host_core)
//   targets   connections to targets
//   platform  calls to the platform's store, and probes of peers
//   gRPC's own threads carry the streams between hosts

#ifndef TANAGERSPUR_HOST_DAEMON_HPP
#define TANAGERSPUR_HOST_DAEMON_HPP

#include "tanagerspur/host/settings.hpp"

#include <memory>
#include <string>

namespace tanagerspur
{

class host_daemon
{
public:
    explicit host_daemon(host_settings settings);
    ~host_daemon();

    // Binds all ports and starts the threads; an error text, or an empty one on success.
    std::string start();

    // Begins a drain, as a signal handler's thread may do.
    void drain();

    // Waits until a drain is over, then stops all threads.
    void wait();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace tanagerspur

#endif
