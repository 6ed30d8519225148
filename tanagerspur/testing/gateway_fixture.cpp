#include "tanagerspur/testing/gateway_fixture.hpp"

#include "platform/header_names.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cppunit/TestAssert.h>

namespace tanagerspur::testing
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/c/","type":"idempotent",)"
    R"("timeout-ms":1500,"target-latency-ms":250,"priority":1,"max-attempts":2,"service":"z"},)"
    R"({"name":"o","host":"h.example","prefix":"/once/","type":"non_idempotent",)"
    R"("timeout-ms":1500,"target-latency-ms":250,"priority":1,"max-attempts":2,"service":"z"},)"
    R"({"name":"l","host":"h.example","prefix":"/long/","type":"non_idempotent",)"
    R"("timeout-ms":1500,"target-latency-ms":800,"priority":1,"max-attempts":2,"service":"z"}],)"
    R"("services":[{"name":"z","health-path":"/health","max-connections":26}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000}})";

} // namespace

gateway_fixture::gateway_fixture()
    : m_store(m_io)
{
    m_store.page_size = 100;
    m_store.set(platform::configuration_key_name, configuration);
}

gateway_fixture::~gateway_fixture() = default;

void gateway_fixture::start_replica(const std::string& id, scripted_server::script script)
{
    auto answer = [this, id, script = std::move(script)](const std::string& head)
    {
        m_arrivals[id].push_back(boot_now());
        return script(head);
    };
    m_replicas.push_back({id, std::make_unique<scripted_server>(m_io, std::move(answer))});
    put_entry(id, 1);
}

void gateway_fixture::add_silent_replica(const std::string& id)
{
    start_replica(id, [](const std::string&) { return scripted_answer{}; });
}

void gateway_fixture::add_replica(const std::string& id, scripted_server::script script)
{
    auto answer = [script = std::move(script)](const std::string& head)
    {
        scripted_answer made = script(head);
        const std::string request = field_of(head, "X-Request-Id");
        if (made.action == scripted_answer::connection_action::close)
            return made;
        if (made.bytes.empty())
            made.bytes = "HTTP/1.1 200 OK\r\n";
        made.bytes += "X-Request-Id: " + request + "\r\nX-Response-Seal: s-" + request +
                      "\r\nContent-Length: 2\r\n\r\nok";
        return made;
    };
    start_replica(id, std::move(answer));
}

void gateway_fixture::add_crashing_replica(const std::string& id, const std::string& text)
{
    add_replica(id,
                [text](const std::string& head)
                {
                    scripted_answer made;
                    if (head.find(text) < head.find("\r\n"))
                        made.action = scripted_answer::connection_action::close;
                    return made;
                });
}

void gateway_fixture::put_quarantine(const quarantine_notice& notice)
{
    m_store.set(m_codec.quarantine_key(notice.request), m_codec.encode_quarantine(notice));
}

bool gateway_fixture::has_key_with_prefix(const std::string& prefix) const
{
    const auto found = m_store.items().lower_bound(prefix);
    return found != m_store.items().end() && found->first.starts_with(prefix);
}

void gateway_fixture::put_entry(const std::string& id, std::uint64_t started_ms)
{
    for (const scripted_replica& each : m_replicas)
        if (each.id == id)
            m_store.set(platform::replica_prefix + id,
                        boost::json::serialize(
                            boost::json::object{{"service", "z"},
                                                {"address", to_string(each.server->address())},
                                                {"zone", "a"},
                                                {"version", "v1"},
                                                {"slots", 4},
                                                {"state", "ready"},
                                                {"warmup-left-ms", 0},
                                                {"seq", ++m_sequence},
                                                {"born", started_ms}}));
}

void gateway_fixture::put_odd_entry(const std::string& id, const std::string& value)
{
    m_store.set(platform::replica_prefix + id, value);
}

void gateway_fixture::remove_entry(const std::string& id)
{
    m_store.erase(platform::replica_prefix + id);
}

void gateway_fixture::add_host(const std::string& id)
{
    const host_record record{.id = host_id{id},
                             .zone = zone_id{"a"},
                             .callers = free_endpoint(m_io),
                             .peers = free_endpoint(m_io),
                             .capacity = gateway_settings{}.capacity,
                             .is_ready = true};
    m_store.set(m_codec.host_key(record.id), m_codec.encode_host(record));
}

void gateway_fixture::start(gateway_settings settings)
{
    settings.id = host_id{"h"};
    settings.zone = zone_id{"a"};
    m_callers = free_endpoint(m_io);
    settings.callers = m_callers;
    settings.peers = free_endpoint(m_io);
    m_gateway =
        std::make_unique<gateway>(m_io, settings, platform::make_header_names(), m_codec, m_store);
    CPPUNIT_ASSERT_EQUAL(std::string{}, m_gateway->start());
    CPPUNIT_ASSERT(run_until(m_io, [this] { return m_gateway->is_ready(); }));
}

gateway_fixture::caller::caller(asio::io_context& io, const endpoint& to, std::string request_id)
    : m_socket(io)
    , m_request_id(std::move(request_id))
{
    m_socket.connect({asio::ip::make_address(to.address), to.port});
    asio::async_read(m_socket, asio::dynamic_buffer(m_received->answer),
                     [into = m_received](boost::system::error_code, std::size_t)
                     { into->is_closed = true; });
}

void gateway_fixture::caller::send(const std::string& path)
{
    asio::write(m_socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
                                       "X-Request-Id: " + m_request_id +
                                       "\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"));
}

std::unique_ptr<gateway_fixture::caller> gateway_fixture::connect()
{
    return std::make_unique<caller>(m_io, m_callers, "q" + std::to_string(m_next_request++));
}

std::string gateway_fixture::request(const std::string& path)
{
    const std::unique_ptr<caller> sender = connect();
    sender->send(path);
    CPPUNIT_ASSERT(run_until(m_io, [&sender] { return sender->is_closed(); }));
    return sender->answer();
}

void gateway_fixture::run_for(duration time)
{
    m_io.restart();
    m_io.run_for(time);
}

} // namespace tanagerspur::testing
