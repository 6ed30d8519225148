// Blocking HTTP/1.1 over TCP for the stand-ins of the review: one thread a connection.

#ifndef TANAGERSPUR_REVIEW_HTTP_HPP
#define TANAGERSPUR_REVIEW_HTTP_HPP

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct http_message
{
    // The first line: "GET /a HTTP/1.1" or "HTTP/1.1 200 OK".
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char* name) const
    {
        for (const auto& [key, value] : fields)
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        return {};
    }
    std::string word(std::size_t number) const
    {
        std::size_t at = 0;
        for (; number > 0; --number)
        {
            at = start_line.find(' ', at);
            if (at == std::string::npos)
                return {};
            ++at;
        }
        return start_line.substr(at, start_line.find(' ', at) - at);
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
};

inline std::string encode(const std::string& start_line,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body, bool has_length = true)
{
    std::string text = start_line + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (has_length)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// A connected socket with the bytes that were read and not used yet.
class connection
{
public:
    explicit connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(std::uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<connection>(socket);
    }

    bool write(const std::string& text)
    {
        std::size_t done = 0;
        while (done < text.size())
        {
            const auto size =
                ::send(m_socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            done += static_cast<std::size_t>(size);
        }
        return true;
    }

    // Waits for more bytes; false at the end of the connection, on an error or at the deadline.
    bool read_some(clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        pollfd wanted{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const auto size = ::recv(m_socket, bytes, sizeof bytes, 0);
        m_is_ended = size <= 0;
        if (m_is_ended)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    // Reads a message that is framed by its length or has no body.
    std::optional<http_message> read(clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
            if (!read_some(deadline))
                return std::nullopt;
        http_message message;
        std::size_t at = m_buffer.find("\r\n");
        message.start_line = m_buffer.substr(0, at);
        at += 2;
        while (at < end)
        {
            const std::size_t stop = m_buffer.find("\r\n", at);
            const std::string line = m_buffer.substr(at, stop - at);
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.fields.emplace_back(line.substr(0, colon), line.substr(value));
            at = stop + 2;
        }
        const auto length =
            static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
        while (m_buffer.size() < end + 4 + length)
            if (!read_some(deadline))
                return std::nullopt;
        message.body = m_buffer.substr(end + 4, length);
        m_buffer.erase(0, end + 4 + length);
        return message;
    }

    // True once the peer has closed or reset the connection.
    bool is_ended() const { return m_is_ended; }
    const std::string& unread() const { return m_buffer; }
    int socket() const { return m_socket; }

    void shut() { ::shutdown(m_socket, SHUT_RDWR); }
    // Closes with a reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
    std::string m_buffer;
    bool m_is_ended = false;
};

// Accepts connections on a free port and runs the handler of each in a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    explicit listener(handler on_connection, std::uint16_t port = 0)
        : m_handler(std::move(on_connection))
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        if (::bind(m_socket, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(m_socket, 512) != 0 ||
            ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&at), &size) != 0)
            throw std::runtime_error("cannot listen");
        m_port = ntohs(at.sin_port);
        std::thread{[this] { accept(); }}.detach();
    }

    std::uint16_t port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void accept()
    {
        while (true)
        {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::thread{[this, socket]
                        {
                            connection accepted{socket};
                            m_handler(accepted);
                        }}
                .detach();
        }
    }

    handler m_handler;
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

// A port that is free at the moment, for a process that binds it itself.
inline std::uint16_t free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof at);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(socket);
    return ntohs(at.sin_port);
}

constexpr milliseconds forever = std::chrono::hours{1};

} // namespace review

#endif
