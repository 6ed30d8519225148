#include "tanagerspur/net/host_connections.hpp"

#include "tanagerspur/net/socket_options.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace tanagerspur
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

// A host that does not accept a connection within this time would not serve a caller in time
// either.
constexpr auto connect_timeout = std::chrono::seconds{1};

} // namespace

class detail::host_connection : public std::enable_shared_from_this<detail::host_connection>
{
public:
    host_connection(asio::io_context& io, host_id id, const host_connections::handlers& results)
        : m_socket(io)
        , m_timer(io)
        , m_id(std::move(id))
        , m_results(&results)
    {
    }

    void open(const endpoint& at)
    {
        m_timer.expires_after(connect_timeout);
        m_timer.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error)
                    self->m_socket.close(error);
            });
        error_code error;
        const auto address = asio::ip::make_address(at.address, error);
        m_socket.async_connect({address, at.port}, [self = shared_from_this()](error_code failed)
                               { self->on_connected(failed); });
    }

    void close()
    {
        m_results = nullptr;
        m_timer.cancel();
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    void on_connected(error_code error)
    {
        m_timer.cancel();
        if (m_results == nullptr)
            return;
        if (error)
            return m_results->open_failed(m_id);
        configure_long_lived_connection(m_socket);
        read();
        m_results->opened(m_id);
    }

    // The peer sends nothing, so a read ends when the connection does.
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_bytes),
                                 [self = shared_from_this()](error_code error, std::size_t)
                                 {
                                     if (self->m_results == nullptr)
                                         return;
                                     if (error)
                                         return self->m_results->lost(self->m_id);
                                     self->read();
                                 });
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    host_id m_id;
    const host_connections::handlers* m_results;
    std::array<char, 64> m_bytes{};
};

host_connections::host_connections(asio::io_context& io, handlers results)
    : m_io(io)
    , m_results(std::move(results))
{
}

host_connections::~host_connections()
{
    for (auto& [id, connection] : m_connections)
        connection->close();
}

void host_connections::open(const host_id& id, const endpoint& at)
{
    close(id);
    auto made = std::make_shared<detail::host_connection>(m_io, id, m_results);
    m_connections[id] = made;
    made->open(at);
}

void host_connections::close(const host_id& id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    found->second->close();
    m_connections.erase(found);
}

} // namespace tanagerspur
