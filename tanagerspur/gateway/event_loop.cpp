#include "tanagerspur/gateway/event_loop.hpp"

#include <deque>

namespace tanagerspur
{

bool run_events(boost::asio::io_context& io, const error_handler& report,
                const event_loop_options& options)
{
    std::deque<time_point> errors;
    while (true)
    {
        try
        {
            io.run();
            return true;
        }
        catch (const std::exception& error)
        {
            report(error);
            const time_point now = boot_now();
            errors.push_back(now);
            while (errors.front() + options.error_window <= now)
                errors.pop_front();
            if (errors.size() >= options.max_errors)
                return false;
        }
    }
}

} // namespace tanagerspur
