// The server for callers: complete requests within the limits, pipelining, callers that disconnect,
// and answers as the platform's callers read them.

#include "tanagerspur/net/ingress_server.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace tanagerspur
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

std::uint16_t free_port(asio::io_context& io)
{
    const tcp::acceptor probe(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

} // namespace

class ingress_test : public CppUnit::TestFixture, private ingress_handler
{
    CPPUNIT_TEST_SUITE(ingress_test);
    CPPUNIT_TEST(delivers_request_with_end_to_end_fields);
    CPPUNIT_TEST(delivers_chunked_body);
    CPPUNIT_TEST(answers_pipelined_requests_in_order);
    CPPUNIT_TEST(reports_disconnected_caller_once);
    CPPUNIT_TEST(rejects_requests_over_size_limits);
    CPPUNIT_TEST(rejects_malformed_request);
    CPPUNIT_TEST(scatter_answer_lists_part_signatures);
    CPPUNIT_TEST(answers_close_connections_while_stopping);
    CPPUNIT_TEST(stop_answers_connections_in_accept_queue);
    CPPUNIT_TEST(stop_answers_request_that_was_not_read);
    CPPUNIT_TEST(stop_closes_connections_without_request);
    CPPUNIT_TEST(closes_connection_after_idle_timeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io.emplace();
        m_requests.clear();
        m_disconnected_count = 0;
        m_rejected_count = 0;
        ingress_handler& self = *this;
        m_server.emplace(*m_io, m_header_names, self);
        const endpoint listen{.address = "127.0.0.1", .port = free_port(*m_io)};
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_server->start(listen));
        m_caller.emplace(*m_io);
        m_caller->connect({asio::ip::address_v4::loopback(), listen.port});
    }

    void tearDown() override
    {
        m_caller.reset();
        m_server.reset();
        m_io.reset();
    }

    void delivers_request_with_end_to_end_fields()
    {
        write("POST /a/b?c=%20d HTTP/1.1\r\nHost: Desk.example:80\r\nRequest-Id: 7\r\n"
              "Deadline-Ms: 250\r\nOdd-CASE: v\r\nConnection: Gone\r\nGone: x\r\n"
              "Expected-Replica: forged\r\nContent-Length: 3\r\n\r\nxyz");
        wait_for(1);
        const inbound_request& got = m_requests[0].second;
        CPPUNIT_ASSERT_EQUAL(std::string{"POST"}, got.request.method);
        CPPUNIT_ASSERT_EQUAL(std::string{"/a/b?c=%20d"}, got.request.target);
        CPPUNIT_ASSERT_EQUAL(std::string{"xyz"}, got.request.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"7"}, got.request.id.value());
        CPPUNIT_ASSERT(got.request.caller_timeout == duration{std::chrono::milliseconds{250}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, got.request.fields.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"Odd-CASE"}, got.request.fields[1].name);
    }

    void delivers_chunked_body()
    {
        write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        wait_for(1);
        CPPUNIT_ASSERT_EQUAL(std::string{"abcde"}, m_requests[0].second.request.body);
    }

    void answers_pipelined_requests_in_order()
    {
        write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        wait_for(1);
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_requests.size());
        respond({.status = 200, .body = "one"});
        wait_for(2);
        respond({.status = 200, .body = "two"});
        const std::string text = read_until("two");
        CPPUNIT_ASSERT(text.find("one") < text.find("two"));
    }

    void reports_disconnected_caller_once()
    {
        write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        wait_for(1);
        m_caller->close();
        CPPUNIT_ASSERT(testing::run_until(*m_io, [this] { return m_disconnected_count == 1; }));
        respond({.status = 200, .body = "late"});
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(1, m_disconnected_count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->open_sessions());
    }

    void rejects_requests_over_size_limits()
    {
        m_server->set_limits({.max_header_bytes = 100, .max_body_bytes = 4});
        reconnect();
        write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
        CPPUNIT_ASSERT(read_until("\r\n\r\n").starts_with("HTTP/1.1 413"));
        reconnect();
        write("GET / HTTP/1.1\r\nHost: h\r\nLong: " + std::string(200, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(read_until("\r\n\r\n").starts_with("HTTP/1.1 431"));
        CPPUNIT_ASSERT_EQUAL(2, m_rejected_count);
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void rejects_malformed_request()
    {
        write("NOT HTTP\r\n\r\n");
        CPPUNIT_ASSERT(read_until("\r\n\r\n").starts_with("HTTP/1.1 400"));
    }

    void scatter_answer_lists_part_signatures()
    {
        write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        wait_for(1);
        respond({.status = 200,
                 .body = "0123456789abcdef",
                 .part_signatures = {"s1", "s2"},
                 .missing_parts = 1});
        const std::string text = read_until("abcdef");
        CPPUNIT_ASSERT(text.find("Part-Signatures: s1, s2\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Missing-Parts: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Content-Length: 16\r\n") != std::string::npos);
    }

    void answers_close_connections_while_stopping()
    {
        write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        wait_for(1);
        m_server->close_after_answers();
        m_server->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->busy_sessions());
        respond({.status = 503, .retry_after = std::chrono::milliseconds{250}});
        const std::string text = read_until("\r\n\r\n");
        CPPUNIT_ASSERT(text.find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Retry-After: 0.250\r\n") != std::string::npos);
        CPPUNIT_ASSERT(
            testing::run_until(*m_io, [this] { return m_server->open_sessions() == 0; }));
    }

    // The connections are established in the kernel, but the server has not run since.
    void stop_answers_connections_in_accept_queue()
    {
        std::vector<tcp::socket> callers;
        for (int i = 0; i < 5; ++i)
        {
            callers.emplace_back(*m_io);
            callers.back().connect(m_caller->remote_endpoint());
            asio::write(callers.back(), asio::buffer(std::string{"GET /queued HTTP/1.1\r\n"
                                                                 "Host: h\r\n\r\n"}));
        }
        m_server->close_after_answers();
        m_server->stop();
        wait_for(callers.size());
        *m_caller = std::move(callers.back());
        respond({.status = 200, .body = "served"});
        CPPUNIT_ASSERT(read_until("served").find("Connection: close\r\n") != std::string::npos);
    }

    void stop_answers_request_that_was_not_read()
    {
        write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        wait_for(1);
        respond({.status = 200, .body = "one"});
        read_until("one");
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{20});
        write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        m_server->close_after_answers();
        m_server->stop();
        wait_for(2);
        respond({.status = 200, .body = "two"});
        read_until("two");
    }

    void stop_closes_connections_without_request()
    {
        write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        wait_for(1);
        respond({.status = 200, .body = "one"});
        read_until("one");
        tcp::socket silent(*m_io);
        silent.connect(m_caller->remote_endpoint());
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{20});
        m_server->stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->open_sessions());
        m_server->tick(boot_now() + std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->open_sessions());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->busy_sessions());
    }

    void closes_connection_after_idle_timeout()
    {
        CPPUNIT_ASSERT(
            testing::run_until(*m_io, [this] { return m_server->open_sessions() == 1; }));
        m_server->tick(boot_now() + std::chrono::seconds{14});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->open_sessions());
        m_server->tick(boot_now() + std::chrono::seconds{16});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->open_sessions());
    }

private:
    void on_request(session_id session, inbound_request request) override
    {
        m_requests.emplace_back(session, std::move(request));
    }
    void on_caller_disconnected(session_id) override { ++m_disconnected_count; }
    void on_rejected(int, std::string_view) override { ++m_rejected_count; }

    void write(const std::string& text) { asio::write(*m_caller, asio::buffer(text)); }

    void reconnect()
    {
        const auto where = m_caller->remote_endpoint();
        m_caller->close();
        m_caller->connect(where);
    }

    void wait_for(std::size_t count)
    {
        CPPUNIT_ASSERT(testing::run_until(*m_io, [&] { return m_requests.size() == count; }));
    }

    void respond(const caller_answer& answer)
    {
        m_server->respond(m_requests.back().first, answer);
    }

    std::string read_until(const std::string& end)
    {
        std::string text;
        m_caller->non_blocking(true);
        CPPUNIT_ASSERT(testing::run_until(*m_io,
                                          [&]
                                          {
                                              std::array<char, 4096> bytes{};
                                              boost::system::error_code error;
                                              const std::size_t size =
                                                  m_caller->read_some(asio::buffer(bytes), error);
                                              text.append(bytes.data(), size);
                                              return text.find(end) != std::string::npos;
                                          }));
        m_caller->non_blocking(false);
        return text;
    }

    wire_header_names m_header_names;
    std::optional<asio::io_context> m_io;
    std::optional<ingress_server> m_server;
    std::optional<tcp::socket> m_caller;
    std::vector<std::pair<session_id, inbound_request>> m_requests;
    int m_disconnected_count = 0;
    int m_rejected_count = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ingress_test);

} // namespace tanagerspur
