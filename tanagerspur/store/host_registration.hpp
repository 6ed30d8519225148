// Maintains this host's entry in the store under a lease while the host serves. Other hosts use the
// entry to decide which addresses they give to callers. The entry is rewritten when the lease has
// been lost, when the entry has disappeared although the lease has not ended, and in a new era of
// the store, in which the number of the lease may be another host's.

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
    // The store removes the entry of a failed host after this time.
    duration lease_length = std::chrono::seconds{10};
    // Three renewals fit into a lease, so one of them may be lost.
    duration renew_interval = std::chrono::seconds{3};
    // Delay after a failed call; doubles from the initial to the maximum delay.
    duration initial_retry_delay = std::chrono::milliseconds{300};
    duration max_retry_delay = std::chrono::seconds{2};
};

class host_registration
{
public:
    host_registration(boost::asio::io_context& io, shared_store& store,
                      registration_options options);

    // Sets the value of the entry and writes it if it has changed.
    void publish(const std::string& value);

    // Called when the store shows that the entry has disappeared; writes it again.
    void entry_lost();

    // Called when the store has been restored from a copy; opens another lease.
    void store_restored(store_era era);

    // Ends the lease, so that the store removes the entry at once.
    void withdraw();

private:
    void make_next_call();
    void write_entry();
    void forget_lease_of_earlier_era();
    bool is_written() const { return m_written_generation == m_generation; }
    void schedule_next_call(duration wait);
    void retry();

    shared_store& m_store;
    registration_options m_options;
    boost::asio::steady_timer m_timer;
    std::string m_value;
    std::optional<lease_grant> m_lease;
    // The latest era that this host has heard of.
    store_era m_era;
    duration m_backoff{0};
    // The generation increases whenever the entry has to be written: for a new value, for a new
    // lease, and when the entry has disappeared, also while it is being written.
    std::uint64_t m_generation = 0;
    // The last generation that the store has acknowledged.
    std::uint64_t m_written_generation = 0;
    bool m_has_call_in_progress = false;
    bool m_is_withdrawn = false;
};

} // namespace tanagerspur

#endif
