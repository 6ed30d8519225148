// Malformed messages and unexpected exceptions must end only the affected request or connection.
// Valid messages are truncated, changed, repeated and mixed, and sent to each server and
// connection.

#include "tanagerspur/common/http_status.hpp"
#include "tanagerspur/gateway/event_loop.hpp"
#include "tanagerspur/net/ingress_server.hpp"
#include "tanagerspur/net/replica_pool.hpp"
#include "tanagerspur/store/relay_server.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <optional>

namespace tanagerspur
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::run_until;
using testing::scripted_answer;
using testing::scripted_server;

const std::vector<std::string> requests{
    "GET /a/b?c=%20d HTTP/1.1\r\nHost: desk\r\nRequest-Id: 7\r\nDeadline-Ms: 250\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: desk\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc",
    "GET /v1/changes?era=1&after=1&wait-ms=0 HTTP/1.1\r\nHost: h\r\n\r\n"};

const std::vector<std::string> answers{
    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: s\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLoad: 3,4,2\r\nKeep-Alive: timeout=5\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 000 X\r\nRequest-Id: 1\r\nSignature: s\r\nContent-Length: 1\r\n\r\na"};

rc::Gen<std::string> mutated(const std::vector<std::string>& corpus)
{
    return rc::gen::exec(
        [&corpus]
        {
            std::string text = *rc::gen::elementOf(corpus);
            const int changes = *rc::gen::inRange(0, 6);
            for (int i = 0; i < changes; ++i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
                switch (*rc::gen::inRange(0, 5))
                {
                case 0:
                    text.resize(at);
                    break;
                case 1:
                    text.insert(at, 1, *rc::gen::arbitrary<char>());
                    break;
                case 2:
                    text.insert(at, *rc::gen::elementOf(corpus));
                    break;
                case 3:
                    text.insert(at, *rc::gen::elementOf(std::vector<std::string>{
                                        "\r\n", "\r\n\r\n", ":", " ", "99999999999999999999", "-1",
                                        "%", "%zz", std::string(1, '\0')}));
                    break;
                default:
                    if (at < text.size())
                        text[at] = *rc::gen::arbitrary<char>();
                }
            }
            return text;
        });
}

// Answers each request at once.
class ready_handler final : public ingress_handler
{
public:
    void on_request(session_id session, inbound_request request) override
    {
        last_target = request.request.target;
        server->respond(session, {.status = 200, .body = "own"});
    }
    void on_caller_disconnected(session_id /*session*/) override {}
    void on_rejected(int /*status*/, std::string_view /*why*/) override {}

    ingress_server* server = nullptr;
    std::string last_target;
};

std::uint16_t free_port(asio::io_context& io)
{
    const tcp::acceptor probe(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

// Sends the bytes in two parts and closes.
void send_and_close(asio::io_context& io, std::uint16_t port, const std::string& bytes)
{
    tcp::socket caller(io);
    caller.connect({asio::ip::address_v4::loopback(), port});
    boost::system::error_code ignored;
    const std::size_t half = bytes.size() / 2;
    asio::write(caller, asio::buffer(bytes.data(), half), ignored);
    io.restart();
    io.poll();
    asio::write(caller, asio::buffer(bytes.data() + half, bytes.size() - half), ignored);
    io.restart();
    io.run_for(std::chrono::milliseconds{1});
    caller.close(ignored);
    io.restart();
    io.poll();
}

// Sends a valid request and returns the server's answer.
std::string send_and_receive(asio::io_context& io, std::uint16_t port, const std::string& request)
{
    tcp::socket caller(io);
    caller.connect({asio::ip::address_v4::loopback(), port});
    asio::write(caller, asio::buffer(request));
    std::string answer(1'024, '\0');
    std::optional<std::size_t> read;
    caller.async_read_some(asio::buffer(answer),
                           [&read](boost::system::error_code, std::size_t size) { read = size; });
    run_until(io, [&read] { return read.has_value(); });
    answer.resize(read.value_or(0));
    return answer;
}

} // namespace

class malformed_message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(malformed_message_test);
    CPPUNIT_TEST(ingress_server_survives_malformed_requests);
    CPPUNIT_TEST(relay_survives_malformed_requests);
    CPPUNIT_TEST(attempt_ends_once_with_valid_outcome);
    CPPUNIT_TEST(relay_answers_are_decoded_or_rejected);
    CPPUNIT_TEST(exception_ends_only_its_handler);
    CPPUNIT_TEST(repeated_exceptions_stop_event_loop);
    CPPUNIT_TEST_SUITE_END();

public:
    void ingress_server_survives_malformed_requests()
    {
        asio::io_context io;
        const wire_header_names header_names;
        ready_handler handler;
        ingress_server server(io, header_names, handler);
        handler.server = &server;
        const std::uint16_t port = free_port(io);
        CPPUNIT_ASSERT_EQUAL(std::string{}, server.start({.address = "127.0.0.1", .port = port}));
        const bool holds = rc::check([&] { send_and_close(io, port, *mutated(requests)); });
        CPPUNIT_ASSERT(holds);
        CPPUNIT_ASSERT(send_and_receive(io, port, requests[0]).ends_with("own"));
        CPPUNIT_ASSERT_EQUAL(std::string{"/a/b?c=%20d"}, handler.last_target);
    }

    void relay_survives_malformed_requests()
    {
        asio::io_context io;
        change_log log;
        log.replace_all({}, {store_era{1}, store_revision{1}});
        relay_server relay(log);
        relay.set_connected(true, boot_now());
        relay.set_reads_store(true, boot_now());
        const std::uint16_t port = free_port(io);
        http_server server(io, {.listen = {.address = "127.0.0.1", .port = port}}, relay);
        CPPUNIT_ASSERT_EQUAL(std::string{}, server.start());
        const bool holds = rc::check([&] { send_and_close(io, port, *mutated(requests)); });
        CPPUNIT_ASSERT(holds);
        CPPUNIT_ASSERT(send_and_receive(io, port, requests[3]).starts_with("HTTP/1.1 200"));
    }

    // Bytes that are not a valid answer to the request must not be delivered as one.
    void attempt_ends_once_with_valid_outcome()
    {
        const bool holds = rc::check(
            []
            {
                const std::string bytes = *mutated(answers);
                asio::io_context io;
                scripted_server server(
                    io,
                    [&bytes](const std::string&) {
                        return scripted_answer{bytes, scripted_answer::connection_action::close};
                    });
                std::vector<attempt_outcome> outcomes;
                replica_pool pool(io, wire_header_names{},
                                  [&outcomes](std::uint64_t, attempt_outcome outcome)
                                  { outcomes.push_back(std::move(outcome)); });
                auto to = std::make_shared<replica>();
                to->number = 1;
                to->record = {.id = replica_id{"r"},
                              .service = service_id{"desk"},
                              .address = server.address()};
                auto request = std::make_shared<caller_request>();
                request->method = "GET";
                request->target = "/";
                request->id = request_id{"1"};
                pool.send({.number = 1,
                           .to = to,
                           .request = request,
                           .deadline = boot_now() + std::chrono::seconds{1}});
                RC_ASSERT(run_until(io, [&outcomes] { return !outcomes.empty(); }));
                io.restart();
                io.poll();
                RC_ASSERT(outcomes.size() == 1);
                const attempt_outcome& ended = outcomes[0];
                if (ended.result == attempt_result::answered ||
                    ended.result == attempt_result::refused)
                    RC_ASSERT(is_final_status(ended.answer.status));
                if (ended.result == attempt_result::answered && ended.answer.is_success())
                    RC_ASSERT(!ended.answer.signature.empty());
                if (ended.result == attempt_result::refused)
                    RC_ASSERT(bytes.find("Not-Run") != std::string::npos || ended.is_misdirected);
            });
        CPPUNIT_ASSERT(holds);
    }

    void relay_answers_are_decoded_or_rejected()
    {
        const std::vector<std::string> bodies{
            R"({"era":1,"as_of":5,"unsettled":false,"changes":[{"key":"a","era":1,"revision":4,"value":"eA=="}]})",
            R"({"era":1,"as_of":5,"unsettled":true,"changes":[{"key":"a","era":1,"revision":4}]})",
            R"([[[[1]]],{"as_of":-1,"changes":{},"unsettled":0}])"};
        const bool holds = rc::check(
            [&bodies]
            {
                const change_list list = decode_relay_answer({.body = *mutated(bodies)});
                RC_ASSERT(list.outcome == store_outcome::ok ||
                          list.outcome == store_outcome::unavailable);
                RC_ASSERT(list.outcome == store_outcome::ok || list.changes.empty());
            });
        CPPUNIT_ASSERT(holds);
    }

    void exception_ends_only_its_handler()
    {
        asio::io_context io;
        int reported_count = 0;
        int completed_count = 0;
        asio::post(io, [] { throw std::runtime_error("unexpected"); });
        asio::post(io, [&completed_count] { ++completed_count; });
        const bool was_stopped =
            run_events(io, [&reported_count](const std::exception&) { ++reported_count; });
        CPPUNIT_ASSERT(was_stopped);
        CPPUNIT_ASSERT_EQUAL(1, reported_count);
        CPPUNIT_ASSERT_EQUAL(1, completed_count);
    }

    void repeated_exceptions_stop_event_loop()
    {
        asio::io_context io;
        std::function<void()> fail = [&]
        {
            asio::post(io, fail);
            throw std::runtime_error("again");
        };
        asio::post(io, fail);
        int reported_count = 0;
        CPPUNIT_ASSERT(
            !run_events(io, [&reported_count](const std::exception&) { ++reported_count; }));
        CPPUNIT_ASSERT_EQUAL(5, reported_count);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_message_test);

} // namespace tanagerspur
