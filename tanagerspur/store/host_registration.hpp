// Keeps this host's entry in the store while it serves, under a lease, so that the others know
// where callers can be sent. The entry is written again when the lease was lost, or when the
// entry has vanished all the same.

#ifndef TANAGERSPUR_STORE_HOST_REGISTRATION_HPP
#define TANAGERSPUR_STORE_HOST_REGISTRATION_HPP

#include "tanagerspur/store/shared_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tanagerspur
{

struct registration_options
{
    std::string key;
    // The entry of a host that was lost is gone after this time.
    duration lease_length = std::chrono::seconds{10};
    // Three renewals in a lease: one may be lost.
    duration renew_interval = std::chrono::seconds{3};
    // After failed calls: doubled from the first to the last.
    duration initial_retry_delay = std::chrono::milliseconds{300};
    duration max_retry_delay = std::chrono::seconds{2};
};

class host_registration
{
public:
    host_registration(boost::asio::io_context& io, shared_store& store,
                      registration_options options);

    // Sets what the entry says, and writes it if it differs.
    void publish(const std::string& value);

    // The store shows that the entry has vanished.
    void entry_lost();

    // Ends the lease, so that the entry vanishes at once.
    void withdraw();

private:
    void make_next_call();
    void write_entry();
    bool is_written() const { return m_written_generation == m_generation; }
    void schedule_next_call(duration wait);
    void retry();

    shared_store& m_store;
    registration_options m_options;
    boost::asio::steady_timer m_timer;
    std::string m_value;
    std::optional<lease_id> m_lease;
    duration m_backoff{0};
    // What the entry should say is a new generation each time; written is the one that the store
    // has acknowledged. An entry that vanishes while it is being written counts as a new one too.
    std::uint64_t m_generation = 0;
    std::uint64_t m_written_generation = 0;
    bool m_has_call_in_progress = false;
    bool m_is_withdrawn = false;
};

} // namespace tanagerspur

#endif
