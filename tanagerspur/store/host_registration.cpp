#include "tanagerspur/store/host_registration.hpp"

#include <algorithm>

namespace tanagerspur
{

host_registration::host_registration(boost::asio::io_context& io, shared_store& store,
                                     registration_options options)
    : m_store(store)
    , m_options(std::move(options))
    , m_timer(io)
{
}

void host_registration::publish(const std::string& value)
{
    if (m_value == value || m_is_withdrawn)
        return;
    m_value = value;
    ++m_generation;
    make_next_call();
}

void host_registration::entry_lost()
{
    if (m_value.empty() || m_is_withdrawn)
        return;
    ++m_generation;
    make_next_call();
}

void host_registration::store_restored(store_era era)
{
    m_era = std::max(m_era, era);
    if (!m_value.empty())
        make_next_call();
}

void host_registration::forget_lease_of_earlier_era()
{
    m_era = std::max(m_era, m_store.era());
    if (!m_lease || m_lease->era >= m_era)
        return;
    m_lease.reset();
    ++m_generation;
}

void host_registration::withdraw()
{
    m_is_withdrawn = true;
    m_timer.cancel();
    forget_lease_of_earlier_era();
    if (m_lease)
        m_store.end_lease(m_lease->lease, [](store_outcome) {});
}

void host_registration::schedule_next_call(duration wait)
{
    if (m_is_withdrawn)
        return;
    m_timer.expires_after(wait);
    m_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                make_next_call();
        });
}

void host_registration::retry()
{
    m_backoff = std::clamp(2 * m_backoff, m_options.initial_retry_delay, m_options.max_retry_delay);
    schedule_next_call(m_backoff);
}

// Makes one call at a time: opens a lease, writes the entry under it, then renews the lease.
void host_registration::make_next_call()
{
    if (m_has_call_in_progress || m_is_withdrawn)
        return;
    forget_lease_of_earlier_era();
    m_has_call_in_progress = true;
    if (!m_lease)
    {
        m_store.open_lease(m_options.lease_length,
                           [this](const lease_grant& grant)
                           {
                               m_has_call_in_progress = false;
                               if (grant.outcome != store_outcome::ok)
                                   return retry();
                               m_lease = grant;
                               ++m_generation;
                               make_next_call();
                           });
        return;
    }
    if (!is_written())
        return write_entry();
    m_store.renew_lease(m_lease->lease,
                        [this](store_outcome outcome)
                        {
                            m_has_call_in_progress = false;
                            forget_lease_of_earlier_era();
                            if (outcome == store_outcome::ok)
                            {
                                m_backoff = duration{0};
                                return is_written() ? schedule_next_call(m_options.renew_interval)
                                                    : make_next_call();
                            }
                            if (outcome == store_outcome::no_lease)
                            {
                                m_lease.reset();
                                return make_next_call();
                            }
                            retry();
                        });
}

void host_registration::write_entry()
{
    m_store.put(m_options.key, m_value, m_lease->lease,
                [this, generation = m_generation](store_outcome outcome)
                {
                    m_has_call_in_progress = false;
                    forget_lease_of_earlier_era();
                    if (outcome == store_outcome::no_lease)
                    {
                        m_lease.reset();
                        return make_next_call();
                    }
                    if (outcome != store_outcome::ok)
                        return retry();
                    m_written_generation = generation;
                    m_backoff = duration{0};
                    if (!is_written())
                        return make_next_call();
                    schedule_next_call(m_options.renew_interval);
                });
}

} // namespace tanagerspur
