// Tests the start of a complete gateway on an in-memory store: the time until it is ready, its
// calls to the store, and the entry that it publishes.

#include "platform/codec.hpp"
#include "platform/header_names.hpp"
#include "stand_ins/memory_store.hpp"
#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

namespace tanagerspur
{

namespace
{

using boost::asio::ip::tcp;
using stand_ins::memory_store;
using std::chrono::milliseconds;
using testing::run_until;

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/c/","type":"idempotent",)"
    R"("timeout-ms":2500,"target-latency-ms":250,"priority":1,"max-attempts":2,"service":"z"}],)"
    R"("services":[{"name":"z","health-path":"/health","max-connections":26}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000}})";

} // namespace

class gateway_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_start_test);
    CPPUNIT_TEST(ready_at_once_with_unresponsive_readers);
    CPPUNIT_TEST(ignores_malformed_entries);
    CPPUNIT_TEST(small_host_registers_only_when_needed);
    CPPUNIT_TEST(first_host_reads_store_twice);
    CPPUNIT_TEST(registered_host_that_does_not_run_is_not_named_to_callers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io.emplace();
        m_store.emplace(*m_io);
        m_store->page_size = 100;
    }

    void tearDown() override
    {
        m_hosts.clear();
        m_store.reset();
        m_io.reset();
    }

    // Guards against a slow start when the registered readers have lost power. They are simulated
    // by a port that accepts connections and never answers.
    void ready_at_once_with_unresponsive_readers()
    {
        tcp::acceptor unresponsive(*m_io,
                                   tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0});
        m_store->set(platform::configuration_key_name, configuration);
        register_host("gone-1", 500, unresponsive.local_endpoint().port());
        register_host("gone-2", 500, unresponsive.local_endpoint().port());
        const time_point begun = boot_now();
        gateway& host = start("h", 250);
        CPPUNIT_ASSERT(run_until(*m_io, [&host] { return host.is_ready(); }));
        CPPUNIT_ASSERT(boot_now() - begun < milliseconds{250});
        CPPUNIT_ASSERT(run_until(*m_io, [this] { return has_entry("h"); }));
    }

    void ignores_malformed_entries()
    {
        for (const char* value : {"", "{", "[]", "{\"zone\":7}", "\xff\xfe", "null"})
        {
            m_store->set(platform::host_prefix + std::string{"a"}, value);
            m_store->set(platform::replica_prefix + std::string{"b"}, value);
            m_store->set(platform::configuration_key_name, value);
            m_store->set("something/else", value);
        }
        gateway& host = start("h", 250);
        CPPUNIT_ASSERT(run_until(*m_io, [this] { return has_entry("h"); }));
        CPPUNIT_ASSERT(!host.is_ready());
        m_store->set(platform::configuration_key_name, configuration);
        CPPUNIT_ASSERT(run_until(*m_io, [&host] { return host.is_ready(); }));
        m_store->set(platform::configuration_key_name, "{");
        m_io->restart();
        m_io->run_for(milliseconds{150});
        CPPUNIT_ASSERT(host.is_ready());
    }

    void small_host_registers_only_when_needed()
    {
        m_store->set(platform::configuration_key_name, configuration);
        for (int i = 0; i < 6; ++i)
            register_host("large-" + std::to_string(i), 500, 1);
        gateway& host = start("small", 120);
        CPPUNIT_ASSERT(run_until(*m_io, [&host] { return host.is_ready(); }));
        m_io->restart();
        m_io->run_for(milliseconds{300});
        CPPUNIT_ASSERT(!has_entry("small"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_store->calls().writes);
        // It is ready without an entry, and registers once another host's entry is removed.
        m_store->erase(platform::host_prefix + std::string{"large-0"});
        const time_point end = boot_now() + std::chrono::seconds{8};
        while (!has_entry("small") && boot_now() < end)
            run_until(*m_io, [this] { return has_entry("small"); });
        CPPUNIT_ASSERT(has_entry("small"));
    }

    void first_host_reads_store_twice()
    {
        m_store->set(platform::configuration_key_name, configuration);
        gateway& host = start("h", 250);
        CPPUNIT_ASSERT(run_until(*m_io, [&host] { return host.is_ready(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_store->calls().ranges);
    }

    void registered_host_that_does_not_run_is_not_named_to_callers()
    {
        tcp::acceptor running(*m_io, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0});
        const endpoint running_at{.address = "127.0.0.1", .port = running.local_endpoint().port()};
        const endpoint dead_at = free_endpoint();
        m_store->set(platform::configuration_key_name, configuration);
        register_host("running", 500, running_at.port);
        register_host("dead", 500, dead_at.port);
        gateway& host = start("h", 250);
        CPPUNIT_ASSERT(run_until(*m_io, [&host] { return host.is_ready(); }));
        const auto names = [&host](const endpoint& at)
        {
            const std::vector<endpoint> named = host.addresses(zone_id{"a"}, 64);
            return std::find(named.begin(), named.end(), at) != named.end();
        };
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return names(running_at) && !names(dead_at); }));
        CPPUNIT_ASSERT(has_entry("dead"));
    }

private:
    void register_host(const std::string& id, std::uint32_t capacity, std::uint16_t port)
    {
        const host_record record{.id = host_id{id},
                                 .zone = zone_id{"a"},
                                 .callers = {.address = "127.0.0.1", .port = port},
                                 .peers = {.address = "127.0.0.1", .port = port},
                                 .capacity = capacity,
                                 .is_ready = true};
        const platform::codec codec;
        m_store->set(codec.host_key(record.id), codec.encode_host(record));
    }

    bool has_entry(const std::string& id) const
    {
        return m_store->items().contains(platform::host_prefix + id);
    }

    endpoint free_endpoint()
    {
        const tcp::acceptor probe(*m_io, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0});
        return {.address = "127.0.0.1", .port = probe.local_endpoint().port()};
    }

    gateway& start(const std::string& id, std::uint32_t capacity)
    {
        gateway_settings settings{.id = host_id{id}, .zone = zone_id{"a"}, .capacity = capacity};
        settings.callers = free_endpoint();
        settings.peers = free_endpoint();
        m_hosts.push_back(std::make_unique<gateway>(*m_io, settings, platform::make_header_names(),
                                                    m_codec, *m_store));
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_hosts.back()->start());
        return *m_hosts.back();
    }

    platform::codec m_codec;
    std::optional<boost::asio::io_context> m_io;
    std::optional<memory_store> m_store;
    std::vector<std::unique_ptr<gateway>> m_hosts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_start_test);

} // namespace tanagerspur
