// tanagerspurd: the query daemon that runs on every host.

#include "tanagerspur/common/ini.hpp"
#include "tanagerspur/common/log.hpp"
#include "tanagerspur/host/daemon.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <thread>

DEFINE_string(settings, "", "path of the settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

using namespace tanagerspur;

int run(const host_settings& settings)
{
    const auto logger = make_logger("host");
    host_daemon host(settings);
    const std::string error = host.start();
    if (!error.empty())
    {
        logger->error("{}", error);
        return exit_cannot_start;
    }
    logger->info("host {} started in zone {} on {}", settings.id.value(), settings.zone.value(),
                 settings.address);
    boost::asio::io_context signals_io;
    boost::asio::signal_set signals(signals_io, SIGTERM, SIGINT);
    signals.async_wait(
        [&](boost::system::error_code signal_error, int)
        {
            if (!signal_error)
                host.drain();
        });
    std::thread signal_thread([&] { signals_io.run(); });
    host.wait();
    signals_io.stop();
    signal_thread.join();
    logger->info("stopped");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "tanagerspurd --settings=FILE\n"
        "Exit codes: 0 stopped after a drain, 2 invalid settings, 3 cannot start.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto parsed = capture(
        []() -> result<host_settings>
        {
            BOOST_LEAF_AUTO(text, read_text_file(FLAGS_settings));
            return parse_settings(FLAGS_settings, text);
        });
    if (const auto* error = std::get_if<input_error>(&parsed))
    {
        std::cerr << "tanagerspurd: " << to_string(*error) << "\n";
        return exit_bad_settings;
    }
    const host_settings& settings = std::get<host_settings>(parsed);
    if (!set_log_level(settings.log_level))
    {
        std::cerr << "tanagerspurd: " << FLAGS_settings
                  << ": [log] level: expected trace, debug, info, warning, error or off\n";
        return exit_bad_settings;
    }
    return FLAGS_check ? 0 : run(settings);
}
