// Runs the daemon's handlers so that an unexpected error ends the one that it came from, not the
// process with all the requests that are under way.

#ifndef TANAGERSPUR_GATEWAY_EVENT_LOOP_HPP
#define TANAGERSPUR_GATEWAY_EVENT_LOOP_HPP

#include "tanagerspur/common/time.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <exception>
#include <functional>

namespace tanagerspur
{

struct event_loop_options
{
    // Errors within the time after which the loop ends: what fails again and again needs a new
    // process.
    std::size_t max_errors = 5;
    duration error_window = std::chrono::seconds{10};
};

using error_handler = std::function<void(const std::exception&)>;

// Runs until the context is stopped or has no more work, and tells of each error; false if there
// were too many.
bool run_events(boost::asio::io_context& io, const error_handler& report,
                const event_loop_options& options = {});

} // namespace tanagerspur

#endif
