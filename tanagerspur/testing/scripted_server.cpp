#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace tanagerspur::testing
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, scripted_server::script script, std::size_t& closed_by_peer)
        : m_socket(std::move(socket))
        , m_script(std::move(script))
        , m_closed_by_peer(closed_by_peer)
    {
    }

    void read()
    {
        asio::async_read_until(m_socket, m_buffer, "\r\n\r\n",
                               [self = shared_from_this()](error_code error, std::size_t size)
                               {
                                   if (!error)
                                       self->answer(size);
                               });
    }

private:
    void answer(std::size_t size)
    {
        const auto data = m_buffer.data();
        const std::string head(asio::buffers_begin(data),
                               asio::buffers_begin(data) + static_cast<std::ptrdiff_t>(size));
        m_buffer.consume(size);
        m_answer = m_script(head);
        asio::async_write(m_socket, asio::buffer(m_answer.bytes),
                          [self = shared_from_this()](error_code error, std::size_t)
                          {
                              if (!error)
                                  self->finish();
                          });
    }

    void write_repeatedly()
    {
        asio::async_write(m_socket, asio::buffer(m_answer.repeated_bytes),
                          [self = shared_from_this()](error_code error, std::size_t)
                          {
                              if (!error)
                                  return self->write_repeatedly();
                              if (error != asio::error::operation_aborted)
                                  ++self->m_closed_by_peer;
                          });
    }

    void finish()
    {
        error_code ignored;
        if (!m_answer.repeated_bytes.empty())
            return write_repeatedly();
        if (m_answer.action == scripted_answer::connection_action::keep_open)
            return read();
        if (m_answer.action == scripted_answer::connection_action::reset)
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    tcp::socket m_socket;
    scripted_server::script m_script;
    asio::streambuf m_buffer;
    scripted_answer m_answer;
    std::size_t& m_closed_by_peer;
};

} // namespace

scripted_server::scripted_server(asio::io_context& io, script answer)
    : m_acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0})
    , m_script(std::move(answer))
{
    accept();
}

endpoint scripted_server::address() const
{
    return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
}

void scripted_server::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            ++m_connections;
            std::make_shared<connection>(std::move(socket), m_script, m_closed_by_peer)->read();
            accept();
        });
}

endpoint free_endpoint(asio::io_context& io)
{
    const tcp::acceptor probe(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0});
    return {.address = "127.0.0.1", .port = probe.local_endpoint().port()};
}

bool run_until(asio::io_context& io, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{2};
    io.restart();
    while (!condition() && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds{20});
    return condition();
}

std::string field_of(const std::string& head, const std::string& name)
{
    const std::string start = "\r\n" + name + ": ";
    const auto at = head.find(start);
    if (at == std::string::npos)
        return {};
    const auto begin = at + start.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace tanagerspur::testing
