// How many extra attempts at a service are allowed: in any window, a ratio of the requests in it
// plus a fixed slack. The deployment's bound holds for all hosts together; each keeps to its own
// share, so that nothing has to be agreed on.

#ifndef TANAGERSPUR_FORWARDING_RETRY_WINDOW_HPP
#define TANAGERSPUR_FORWARDING_RETRY_WINDOW_HPP

#include "tanagerspur/common/time.hpp"

#include <array>
#include <cstdint>

namespace tanagerspur
{

struct retry_window_options
{
    // Extra attempts for each request.
    double ratio = 0.2;
    // Length of the window.
    duration length = std::chrono::seconds{10};
};

// A host's share of the slack. It shrinks at once, but grows over a whole window, also after a
// start: what the host's earlier process, or hosts that are gone, spent in it may still count.
class slack_share
{
public:
    explicit slack_share(duration window)
        : m_window(window)
    {
    }

    void set(double share, time_point now);
    double at(time_point now) const;
    // What it grows to.
    double full_share() const { return m_share; }

private:
    duration m_window;
    double m_share = 0;
    double m_previous_share = 0;
    time_point m_since{};
};

class retry_window
{
public:
    explicit retry_window(retry_window_options options)
        : m_options(options)
    {
    }

    void count_request(time_point now);

    // Extra attempts that are allowed now beyond those in the window.
    double left(time_point now, double slack) const;

    // Takes one extra attempt.
    void spend(time_point now);

private:
    // The window is cut into slots; the oldest is dropped whole, so that no window of this length
    // or less holds more than is allowed.
    static constexpr std::size_t slot_count = 20;
    struct slot
    {
        std::uint64_t number = 0;
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    slot& slot_at(time_point now);
    std::uint64_t number_at(time_point now) const;

    retry_window_options m_options;
    std::array<slot, slot_count + 1> m_slots{};
};

} // namespace tanagerspur

#endif
