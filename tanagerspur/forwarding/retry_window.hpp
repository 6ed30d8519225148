// Retry budget of a service: the extra attempts in any sliding window are limited to a ratio of
// the requests in the window plus a fixed slack. The deployment's limit applies to all hosts
// together. Each host keeps to its own share of the slack, so that hosts need no coordination.

#ifndef TANAGERSPUR_FORWARDING_RETRY_WINDOW_HPP
#define TANAGERSPUR_FORWARDING_RETRY_WINDOW_HPP

#include "tanagerspur/common/time.hpp"

#include <array>
#include <cstdint>

namespace tanagerspur
{

struct retry_window_options
{
    // Extra attempts per request.
    double ratio = 0.2;
    // Length of the window.
    duration length = std::chrono::seconds{10};
};

// A host's share of the slack. It shrinks at once but grows linearly over a whole window, also
// after a start, because extra attempts of the host's previous process, or of hosts that have left,
// may still count in the window.
class slack_share
{
public:
    explicit slack_share(duration window)
        : m_window(window)
    {
    }

    void set(double share, time_point now);
    double at(time_point now) const;
    // The share once it has fully grown.
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

    // Returns the number of further extra attempts that are allowed now.
    double left(time_point now, double slack) const;

    // Counts one extra attempt.
    void spend(time_point now);

private:
    // The window is divided into slots. The oldest slot is dropped as a whole, so that no window of
    // this length or less exceeds the limit.
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
