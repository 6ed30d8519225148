// tanagerspur_gateway: the forwarding daemon of a host on a platform.

#include "platform/codec.hpp"
#include "platform/dialect.hpp"
#include "platform/host_calls.hpp"
#include "platform/kv_store.hpp"
#include "tanagerspur/common/ini.hpp"
#include "tanagerspur/common/log.hpp"
#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/gateway/report_calls.hpp"
#include "tanagerspur/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "path of the settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

using namespace tanagerspur;

std::variant<gateway_settings, input_error> read_settings()
{
    return capture(
        []() -> result<gateway_settings>
        {
            BOOST_LEAF_AUTO(text, read_text_file(FLAGS_settings));
            return parse_gateway_settings(FLAGS_settings, text);
        });
}

// SIGTERM and SIGINT stop the daemon, SIGHUP reads the settings again.
class signal_watch
{
public:
    signal_watch(boost::asio::io_context& io, gateway& host)
        : m_io(io)
        , m_host(host)
        , m_signals(io, SIGTERM, SIGINT, SIGHUP)
    {
    }

    void start()
    {
        m_signals.async_wait(
            [this](boost::system::error_code error, int number)
            {
                if (error)
                    return;
                if (number == SIGHUP)
                    reload();
                else
                    m_host.stop([this] { m_io.stop(); });
                start();
            });
    }

private:
    void reload()
    {
        const auto parsed = read_settings();
        if (const auto* settings = std::get_if<gateway_settings>(&parsed))
            m_host.reload(*settings);
        else
            event_log{"settings"}.write("reload_refused",
                                        {{"why", to_string(std::get<input_error>(parsed))}});
    }

    boost::asio::io_context& m_io;
    gateway& m_host;
    boost::asio::signal_set m_signals;
};

int run(const gateway_settings& settings)
{
    boost::asio::io_context io{1};
    platform::kv_store store{io, {.store = settings.store}};
    const platform::codec codec;
    gateway host{io, settings, platform::make_dialect(), codec, store};
    platform::host_calls calls{host};
    report_calls reports{host};
    http_server readiness{io, {.listen = settings.readiness}, calls};
    http_server directory{io, {.listen = settings.directory}, calls};
    http_server metrics{io, {.listen = settings.metrics}, reports};
    signal_watch signals{io, host};
    for (const std::string& error :
         {readiness.start(), directory.start(), metrics.start(), host.start()})
        if (!error.empty())
        {
            event_log{"gateway"}.write("cannot_start", {{"why", error}});
            flush_event_logs();
            return exit_cannot_start;
        }
    signals.start();
    io.run();
    flush_event_logs();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("tanagerspur_gateway --settings=FILE\n"
                            "Exit codes: 0 stopped, 2 bad settings, 3 cannot start.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto parsed = read_settings();
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
    return FLAGS_check ? 0 : run(settings);
}
