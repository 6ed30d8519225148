// Runs the daemon's event loop so that an unexpected exception ends only the handler that threw it,
// not the process with all requests in progress.

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
    // The loop ends after max_errors within error_window, because a persistent failure needs a new
    // process.
    std::size_t max_errors = 5;
    duration error_window = std::chrono::seconds{10};
};

using error_handler = std::function<void(const std::exception&)>;

// Runs until the context is stopped or has no more work, and reports each error. Returns false if
// there were too many errors.
bool run_events(boost::asio::io_context& io, const error_handler& report,
                const event_loop_options& options = {});

} // namespace tanagerspur

#endif
