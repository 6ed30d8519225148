// Tests how a host finds out which other hosts run: the decisions on results of connections, and
// connections to real ports.

#include "tanagerspur/gateway/host_monitor.hpp"
#include "tanagerspur/net/host_connections.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>

namespace tanagerspur
{

namespace
{

using boost::asio::ip::tcp;
using testing::run_until;

time_point at_ms(std::int64_t ms)
{
    return time_point{std::chrono::milliseconds{100'000 + ms}};
}

// Counts the connections that were opened.
class counted_connections final : public host_connector
{
public:
    void open(const host_id& id, const endpoint&) override { ++m_opened[id]; }
    void close(const host_id& id) override { m_closed.insert(id); }

    std::map<host_id, int> m_opened;
    std::set<host_id> m_closed;
};

class change_log_observer final : public reachability_observer
{
public:
    void reachability_changed(const host_id&, reachability current) override
    {
        m_changes.push_back(current);
    }

    std::vector<reachability> m_changes;
};

} // namespace

class host_monitor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_monitor_test);
    CPPUNIT_TEST(refused_connection_makes_host_unreachable);
    CPPUNIT_TEST(reset_connection_is_replaced_without_a_change);
    CPPUNIT_TEST(short_connections_are_not_replaced_at_once);
    CPPUNIT_TEST(unwatched_hosts_are_forgotten);
    CPPUNIT_TEST(notices_end_and_return_of_real_port);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_connector = {};
        m_observer = {};
        m_monitor.emplace(host_monitor_options{}, m_connector, m_observer);
        m_monitor->watch({{m_host, m_at}}, at_ms(0));
    }

    void refused_connection_makes_host_unreachable()
    {
        CPPUNIT_ASSERT(m_monitor->of(m_host) == reachability::unknown);
        m_monitor->open_failed(m_host, at_ms(5));
        CPPUNIT_ASSERT(m_monitor->of(m_host) == reachability::unreachable);
        m_monitor->tick(at_ms(900));
        CPPUNIT_ASSERT_EQUAL(1, m_connector.m_opened[m_host]);
        m_monitor->tick(at_ms(1'010));
        CPPUNIT_ASSERT_EQUAL(2, m_connector.m_opened[m_host]);
        m_monitor->opened(m_host, at_ms(1'020));
        CPPUNIT_ASSERT(m_monitor->of(m_host) == reachability::reachable);
    }

    void reset_connection_is_replaced_without_a_change()
    {
        m_monitor->opened(m_host, at_ms(1));
        m_monitor->connection_lost(m_host, at_ms(5'000));
        CPPUNIT_ASSERT_EQUAL(2, m_connector.m_opened[m_host]);
        CPPUNIT_ASSERT(m_monitor->of(m_host) == reachability::reachable);
        m_monitor->opened(m_host, at_ms(5'001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_observer.m_changes.size());
    }

    void short_connections_are_not_replaced_at_once()
    {
        for (int ms = 0; ms < 10'000; ms += 10)
        {
            m_monitor->tick(at_ms(ms));
            m_monitor->opened(m_host, at_ms(ms));
            m_monitor->connection_lost(m_host, at_ms(ms));
        }
        CPPUNIT_ASSERT(m_connector.m_opened[m_host] <= 11);
    }

    void unwatched_hosts_are_forgotten()
    {
        m_monitor->opened(m_host, at_ms(1));
        m_monitor->watch({}, at_ms(2));
        CPPUNIT_ASSERT(m_connector.m_closed.contains(m_host));
        CPPUNIT_ASSERT(m_monitor->of(m_host) == reachability::unknown);
        m_monitor->open_failed(m_host, at_ms(3));
        m_monitor->connection_lost(m_host, at_ms(3));
        CPPUNIT_ASSERT(m_monitor->of(m_host) == reachability::unknown);
        // A host that has moved is another one.
        m_monitor->watch({{m_host, m_at}}, at_ms(4));
        m_monitor->watch({{m_host, {.address = "10.0.0.3", .port = 7}}}, at_ms(5));
        CPPUNIT_ASSERT_EQUAL(3, m_connector.m_opened[m_host]);
    }

    void notices_end_and_return_of_real_port()
    {
        boost::asio::io_context io;
        const auto work = boost::asio::make_work_guard(io);
        std::optional<tcp::acceptor> port;
        port.emplace(io, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0});
        const tcp::endpoint local = port->local_endpoint();
        std::optional<host_monitor> monitor;
        host_connections connections{
            io,
            {.opened = [&](const host_id& id) { monitor->opened(id, boot_now()); },
             .open_failed = [&](const host_id& id) { monitor->open_failed(id, boot_now()); },
             .lost = [&](const host_id& id) { monitor->connection_lost(id, boot_now()); }}};
        monitor.emplace(host_monitor_options{.retry_delay = std::chrono::milliseconds{50},
                                             .min_lifetime = duration{0}},
                        connections, m_observer);
        monitor->watch({{m_host, {.address = "127.0.0.1", .port = local.port()}}}, boot_now());
        const auto becomes = [&](reachability wanted)
        {
            return run_until(io,
                             [&]
                             {
                                 monitor->tick(boot_now());
                                 return monitor->of(m_host) == wanted;
                             });
        };
        CPPUNIT_ASSERT(becomes(reachability::reachable));
        port.reset();
        CPPUNIT_ASSERT(becomes(reachability::unreachable));
        port.emplace(io, local);
        CPPUNIT_ASSERT(becomes(reachability::reachable));
    }

private:
    const host_id m_host{"h"};
    const endpoint m_at{.address = "10.0.0.2", .port = 7};
    counted_connections m_connector;
    change_log_observer m_observer;
    std::optional<host_monitor> m_monitor;
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_monitor_test);

} // namespace tanagerspur
