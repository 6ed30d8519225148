#include "tanagerspur/net/accept_queue.hpp"

namespace tanagerspur
{

using boost::asio::ip::tcp;
using boost::system::error_code;

void accept_queued_and_close(tcp::acceptor& acceptor,
                             const std::function<void(tcp::socket)>& on_accept)
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket{acceptor.get_executor()};
        acceptor.accept(socket, error);
        if (!error)
            on_accept(std::move(socket));
        else if (error == boost::asio::error::connection_aborted)
            error.clear(); // The next one in the queue may still be established.
    }
    error_code ignored;
    acceptor.close(ignored);
}

bool has_unread_bytes(const tcp::socket& socket)
{
    error_code error;
    return socket.available(error) > 0 && !error;
}

} // namespace tanagerspur
