// tanagerspur_gateway: the forwarding daemon of a host on a platform.

#include "platform/codec.hpp"
#include "platform/header_names.hpp"
#include "platform/host_calls.hpp"
#include "platform/kv_store.hpp"
#include "tanagerspur/common/log.hpp"
#include "tanagerspur/gateway/event_loop.hpp"
#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/gateway/report_calls.hpp"
#include "tanagerspur/gateway/settings_file.hpp"
#include "tanagerspur/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "path of the settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;
constexpr int exit_too_many_errors = 4;

using namespace tanagerspur;

// How often the settings file is checked without a signal; changes have to apply within seconds.
constexpr auto settings_check_interval = std::chrono::seconds{2};

// Stops the daemon on SIGTERM and SIGINT; reloads the settings on SIGHUP or when their file
// changes.
class signal_and_settings_watcher
{
public:
    signal_and_settings_watcher(boost::asio::io_context& io, gateway& host, settings_file& file)
        : m_io(io)
        , m_host(host)
        , m_file(file)
        , m_signals(io, SIGTERM, SIGINT, SIGHUP)
        , m_timer(io)
    {
    }

    void start()
    {
        watch_signals();
        watch_file();
    }

private:
    void watch_signals()
    {
        m_signals.async_wait(
            [this](boost::system::error_code error, int number)
            {
                if (error)
                    return;
                if (number == SIGHUP)
                    reload(m_file.read());
                else
                    m_host.stop([this] { m_io.stop(); });
                watch_signals();
            });
    }

    void watch_file()
    {
        m_timer.expires_after(settings_check_interval);
        m_timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (error)
                    return;
                if (const auto changed = m_file.read_if_changed())
                    reload(*changed);
                watch_file();
            });
    }

    void reload(const settings_or_error& read)
    {
        if (const auto* settings = std::get_if<gateway_settings>(&read))
            m_host.reload(*settings);
        else
            event_log{"settings"}.write("reload_refused",
                                        {{"why", to_string(std::get<input_error>(read))}});
    }

    boost::asio::io_context& m_io;
    gateway& m_host;
    settings_file& m_file;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
};

int run(const gateway_settings& settings, settings_file& file)
{
    boost::asio::io_context io{1};
    platform::kv_store store{io, {.store = settings.store}};
    const platform::codec codec;
    gateway host{io, settings, platform::make_header_names(), codec, store};
    platform::host_calls calls{host};
    report_calls reports{host};
    http_server readiness{io, {.listen = settings.readiness}, calls};
    http_server directory{io, {.listen = settings.directory}, calls};
    http_server metrics{io, {.listen = settings.metrics}, reports};
    signal_and_settings_watcher watch{io, host, file};
    for (const std::string& error :
         {readiness.start(), directory.start(), metrics.start(), host.start()})
        if (!error.empty())
        {
            event_log{"gateway"}.write("cannot_start", {{"why", error}});
            flush_event_logs();
            return exit_cannot_start;
        }
    watch.start();
    const bool was_stopped =
        run_events(io, [&host](const std::exception& error) { host.report_error("event", error); });
    flush_event_logs();
    return was_stopped ? 0 : exit_too_many_errors;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("tanagerspur_gateway --settings=FILE\n"
                            "Exit codes: 0 stopped, 2 invalid settings, 3 cannot start, 4 too many "
                            "unexpected errors.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    settings_file file{FLAGS_settings};
    const auto parsed = file.read();
    if (const auto* error = std::get_if<input_error>(&parsed))
    {
        std::cerr << "tanagerspur_gateway: " << to_string(*error) << "\n";
        return exit_bad_settings;
    }
    const auto& settings = std::get<gateway_settings>(parsed);
    if (!set_log_level(settings.log_level))
    {
        std::cerr << "tanagerspur_gateway: " << FLAGS_settings
                  << ": [log] level: expected trace, debug, info, warning, error or off\n";
        return exit_bad_settings;
    }
    return FLAGS_check ? 0 : run(settings, file);
}
