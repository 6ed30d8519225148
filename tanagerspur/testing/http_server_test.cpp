// The server for the tier's own calls: a planned stop answers the calls that have arrived, and the
// server must not block its thread when the parts of a request arrive separately. The latter does
// not reproduce the fault that the soak found (docs/PROOFS.md): the test also passed before the
// sockets were made non-blocking.

#include "tanagerspur/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>
#include <thread>

namespace tanagerspur
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Never answers, like a relay that waits for changes.
class unresponsive_handler final : public http_handler
{
public:
    void handle(http_call, std::uint64_t, http_responder) override { ++m_calls; }
    int m_calls = 0;
};

// Answers at once.
class greeting_handler final : public http_handler
{
public:
    void handle(http_call, std::uint64_t, http_responder respond) override
    {
        respond({.status = 200, .body = "hello"});
    }
};

std::uint16_t free_port()
{
    asio::io_context io;
    const tcp::acceptor probe(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

// Sends a request whose body follows after some turns of the server's event loop.
void send_in_two_parts(int turns_between)
{
    asio::io_context io;
    unresponsive_handler handler;
    const std::uint16_t port = free_port();
    http_server server(io, {.listen = {.address = "127.0.0.1", .port = port}}, handler);
    CPPUNIT_ASSERT_EQUAL(std::string{}, server.start());
    asio::io_context caller_io;
    tcp::socket caller(caller_io);
    caller.connect({asio::ip::address_v4::loopback(), port});
    caller.set_option(tcp::no_delay(true));
    asio::write(caller, asio::buffer(std::string{
                            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"}));
    for (int i = 0; i < turns_between; ++i)
        io.run_one_for(std::chrono::milliseconds{20});
    asio::write(caller, asio::buffer(std::string{"abc"}));
    io.run_for(std::chrono::milliseconds{60});
    CPPUNIT_ASSERT_EQUAL(1, handler.m_calls);
}

void send_call(tcp::socket& caller)
{
    asio::write(caller, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
}

// A listening server that runs only when a test lets it, and callers that connect meanwhile.
class started_server
{
public:
    started_server() { CPPUNIT_ASSERT_EQUAL(std::string{}, m_server.start()); }

    http_server* operator->() { return &m_server; }

    tcp::socket connect()
    {
        tcp::socket caller(m_caller_io);
        caller.connect({asio::ip::address_v4::loopback(), m_port});
        return caller;
    }

    void run_for(duration time) { m_io.run_for(time); }

    // Runs the server until the caller's connection is closed; returns what it received.
    std::string received_until_close(tcp::socket& caller)
    {
        std::string text;
        boost::system::error_code error;
        caller.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{2};
        while (std::chrono::steady_clock::now() < end &&
               (!error || error == asio::error::would_block))
        {
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds{5});
            std::array<char, 4096> bytes{};
            const std::size_t size = caller.read_some(asio::buffer(bytes), error);
            text.append(bytes.data(), size);
        }
        return text;
    }

private:
    asio::io_context m_io;
    asio::io_context m_caller_io;
    greeting_handler m_handler;
    std::uint16_t m_port = free_port();
    http_server m_server{m_io, {.listen = {.address = "127.0.0.1", .port = m_port}}, m_handler};
};

} // namespace

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(split_request_does_not_block_event_loop);
    CPPUNIT_TEST(stop_answers_calls_in_accept_queue);
    CPPUNIT_TEST(stop_answers_call_that_was_not_read);
    CPPUNIT_TEST_SUITE_END();

public:
    // The connections are established in the kernel, but the server has not run since.
    void stop_answers_calls_in_accept_queue()
    {
        started_server server;
        std::vector<tcp::socket> callers;
        for (int i = 0; i < 4; ++i)
        {
            callers.push_back(server.connect());
            send_call(callers.back());
        }
        server->stop_accepting();
        for (tcp::socket& each : callers)
            CPPUNIT_ASSERT(server.received_until_close(each).ends_with("hello"));
    }

    void stop_answers_call_that_was_not_read()
    {
        started_server server;
        tcp::socket caller = server.connect();
        server.run_for(std::chrono::milliseconds{20});
        send_call(caller);
        server->stop_accepting();
        CPPUNIT_ASSERT(server.received_until_close(caller).ends_with("hello"));
    }

    void split_request_does_not_block_event_loop()
    {
        for (int turns = 0; turns < 8; ++turns)
        {
            std::packaged_task<void()> task([turns] { send_in_two_parts(turns); });
            auto done = task.get_future();
            std::thread runner(std::move(task));
            const bool is_finished =
                done.wait_for(std::chrono::seconds{3}) == std::future_status::ready;
            if (!is_finished)
                runner.detach();
            CPPUNIT_ASSERT_MESSAGE("blocked after " + std::to_string(turns) + " turns",
                                   is_finished);
            runner.join();
            done.get();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace tanagerspur
