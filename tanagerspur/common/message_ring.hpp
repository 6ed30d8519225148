// A bounded queue of messages to one consumer thread. Any thread may push; the handler runs on the
// consumer's io_context, in the order of the pushes. A push to a full ring fails, so that the
// producer sheds the load.

#ifndef TANAGERSPUR_COMMON_MESSAGE_RING_HPP
#define TANAGERSPUR_COMMON_MESSAGE_RING_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace tanagerspur
{

template<class Message> class message_ring
{
public:
    using handler = std::function<void(Message&&)>;

    message_ring(boost::asio::io_context& consumer, std::size_t capacity, handler on_message)
        : m_consumer(consumer)
        , m_handler(std::move(on_message))
        , m_messages(capacity)
    {
    }

    // Returns false and leaves the message untouched if the ring is full.
    bool push(Message&& message)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_messages.full())
                return false;
            m_messages.push_back(std::move(message));
            if (std::exchange(m_scheduled, true))
                return true;
        }
        boost::asio::post(m_consumer, [this] { drain(); });
        return true;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_messages.size();
    }

private:
    // Messages that are handled at most before other work of the thread runs.
    static constexpr std::size_t max_batch = 256;

    void drain()
    {
        for (std::size_t taken = 0; taken < max_batch; ++taken)
        {
            std::unique_lock lock(m_mutex);
            if (m_messages.empty())
            {
                m_scheduled = false;
                return;
            }
            Message message = std::move(m_messages.front());
            m_messages.pop_front();
            lock.unlock();
            m_handler(std::move(message));
        }
        boost::asio::post(m_consumer, [this] { drain(); });
    }

    boost::asio::io_context& m_consumer;
    handler m_handler;
    mutable std::mutex m_mutex;
    boost::circular_buffer<Message> m_messages;
    bool m_scheduled = false;
};

} // namespace tanagerspur

#endif
