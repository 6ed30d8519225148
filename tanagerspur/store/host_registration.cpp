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
    step();
}

void host_registration::entry_lost()
{
    if (m_value.empty() || m_is_withdrawn)
        return;
    ++m_generation;
    step();
}

void host_registration::withdraw()
{
    m_is_withdrawn = true;
    m_timer.cancel();
    if (m_lease)
        m_store.end_lease(*m_lease, [](store_outcome) {});
}

void host_registration::schedule(duration wait)
{
    if (m_is_withdrawn)
        return;
    m_timer.expires_after(wait);
    m_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                step();
        });
}

void host_registration::retry()
{
    m_backoff = std::clamp(2 * m_backoff, m_options.first_retry, m_options.last_retry);
    schedule(m_backoff);
}

// One call at a time: open a lease, write the entry under it, then renew.
void host_registration::step()
{
    if (m_is_calling || m_is_withdrawn)
        return;
    m_is_calling = true;
    if (!m_lease)
    {
        m_store.open_lease(m_options.lease_length,
                           [this](const lease_grant& grant)
                           {
                               m_is_calling = false;
                               if (grant.outcome != store_outcome::ok)
                                   return retry();
                               m_lease = grant.lease;
                               ++m_generation;
                               step();
                           });
        return;
    }
    if (!is_written())
        return write();
    m_store.renew_lease(*m_lease,
                        [this](store_outcome outcome)
                        {
                            m_is_calling = false;
                            if (outcome == store_outcome::ok)
                            {
                                m_backoff = duration{0};
                                return is_written() ? schedule(m_options.renew_interval) : step();
                            }
                            if (outcome == store_outcome::no_lease)
                            {
                                m_lease.reset();
                                return step();
                            }
                            retry();
                        });
}

void host_registration::write()
{
    m_store.put(m_options.key, m_value, *m_lease,
                [this, generation = m_generation](store_outcome outcome)
                {
                    m_is_calling = false;
                    if (outcome == store_outcome::no_lease)
                    {
                        m_lease.reset();
                        return step();
                    }
                    if (outcome != store_outcome::ok)
                        return retry();
                    m_written = generation;
                    m_backoff = duration{0};
                    if (!is_written())
                        return step();
                    schedule(m_options.renew_interval);
                });
}

} // namespace tanagerspur
