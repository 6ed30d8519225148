// The life of a host as a state machine:
//
//   starting --(manifest and table)--> serving --(drain)--> leaving --(told long enough)-->
//   draining --(idle or time over)--> stopped
//
// A starting host refuses queries. A leaving host is no longer told to callers but still serves
// those who kept an older answer. A draining host refuses queries and finishes those in flight.

#ifndef TANAGERSPUR_HOST_LIFECYCLE_HPP
#define TANAGERSPUR_HOST_LIFECYCLE_HPP

#include "tanagerspur/common/time.hpp"

#include <memory>
#include <string_view>

namespace tanagerspur
{

enum class life_state
{
    starting,
    serving,
    leaving,
    draining,
    stopped
};

std::string_view to_string(life_state state);

struct lifecycle_options
{
    // How long callers may keep an answer that names this host.
    duration notice = std::chrono::seconds{10};
    duration drain_timeout = std::chrono::seconds{30};
};

class lifecycle
{
public:
    explicit lifecycle(lifecycle_options options);
    ~lifecycle();

    void on_ready();
    void on_drain(time_point now);
    // is_idle: no request is in flight and no shard is owned here.
    void on_tick(time_point now, bool is_idle);

    life_state state() const;
    bool accepts_queries() const;
    bool is_leaving() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace tanagerspur

#endif
