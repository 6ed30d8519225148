#include "stand_ins/loopback_proxy.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace tanagerspur::stand_ins
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;

tcp::endpoint to_tcp(const endpoint& where)
{
    return {asio::ip::make_address(where.address), where.port};
}

} // namespace

namespace detail
{

class proxied_connection : public std::enable_shared_from_this<proxied_connection>
{
public:
    proxied_connection(tcp::socket near, std::shared_ptr<const link_faults> faults)
        : m_near(std::move(near))
        , m_far(m_near.get_executor())
        , m_faults(std::move(faults))
    {
    }

    void start(const endpoint& target)
    {
        m_far.async_connect(to_tcp(target),
                            [self = shared_from_this()](error_code error)
                            {
                                if (error)
                                    return self->reset();
                                self->pump(self->m_near, self->m_far, self->m_forward, true);
                                self->pump(self->m_far, self->m_near, self->m_back, false);
                            });
    }

    void reset()
    {
        for (tcp::socket* each : {&m_near, &m_far})
        {
            error_code ignored;
            each->set_option(asio::socket_base::linger(true, 0), ignored);
            each->close(ignored);
        }
    }

    void silence() { m_is_silent = true; }

private:
    using buffer = std::array<char, chunk_bytes>;

    bool is_silent(bool is_forward) const
    {
        return m_is_silent || (is_forward ? m_faults->is_silent_forward : m_faults->is_silent_back);
    }

    void pump(tcp::socket& from, tcp::socket& to, buffer& bytes, bool is_forward)
    {
        from.async_read_some(asio::buffer(bytes),
                             [self = shared_from_this(), &from, &to, &bytes,
                              is_forward](error_code error, std::size_t size)
                             {
                                 if (error)
                                     return self->close_unless_silent(is_forward);
                                 if (self->is_silent(is_forward))
                                     return self->pump(from, to, bytes, is_forward);
                                 self->pass_on(from, to, bytes, size, is_forward);
                             });
    }

    void pass_on(tcp::socket& from, tcp::socket& to, buffer& bytes, std::size_t size,
                 bool is_forward)
    {
        auto timer = std::make_shared<asio::steady_timer>(to.get_executor(), m_faults->delay);
        const auto write =
            [self = shared_from_this(), timer, &from, &to, &bytes, size, is_forward](error_code)
        {
            asio::async_write(to, asio::buffer(bytes.data(), size),
                              [self, &from, &to, &bytes, is_forward](error_code error, std::size_t)
                              {
                                  if (error)
                                      return self->reset();
                                  self->pump(from, to, bytes, is_forward);
                              });
        };
        if (m_faults->delay.count() > 0)
            timer->async_wait(write);
        else
            write({});
    }

    // A cut link does not carry the end of a connection either.
    void close_unless_silent(bool is_forward)
    {
        if (is_silent(is_forward))
            return;
        error_code ignored;
        m_near.close(ignored);
        m_far.close(ignored);
    }

    tcp::socket m_near;
    tcp::socket m_far;
    std::shared_ptr<const link_faults> m_faults;
    bool m_is_silent = false;
    buffer m_forward{};
    buffer m_back{};
};

} // namespace detail

loopback_proxy::loopback_proxy(asio::io_context& io, const endpoint& listen, endpoint target)
    : m_io(io)
    , m_acceptor(io, to_tcp(listen))
    , m_target(std::move(target))
{
    accept();
}

loopback_proxy::~loopback_proxy()
{
    reset_all();
}

void loopback_proxy::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            if (!m_faults->is_refusing)
            {
                auto made =
                    std::make_shared<detail::proxied_connection>(std::move(socket), m_faults);
                m_connections.remove_if([](const auto& each) { return each.expired(); });
                m_connections.push_back(made);
                made->start(m_target);
            }
            accept();
        });
}

void loopback_proxy::reset_all()
{
    for (const auto& each : m_connections)
        if (const auto connection = each.lock())
            connection->reset();
    m_connections.clear();
}

void loopback_proxy::silence_open()
{
    for (const auto& each : m_connections)
        if (const auto connection = each.lock())
            connection->silence();
}

} // namespace tanagerspur::stand_ins
