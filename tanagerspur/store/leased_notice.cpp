#include "tanagerspur/store/leased_notice.hpp"

namespace tanagerspur
{

namespace
{

constexpr duration retry_delay = std::chrono::milliseconds{500};
// The store does not take shorter leases.
constexpr duration min_length = std::chrono::seconds{1};

} // namespace

leased_notice::leased_notice(boost::asio::io_context& io, shared_store& store, std::string key,
                             std::string value, duration length)
    : m_store(store)
    , m_timer(io)
    , m_key(std::move(key))
    , m_value(std::move(value))
    , m_end(boot_now() + length)
{
}

void leased_notice::write()
{
    open_lease();
}

void leased_notice::open_lease()
{
    const duration left = m_end - boot_now();
    if (left < min_length)
        return;
    m_store.open_lease(left,
                       [self = shared_from_this()](const lease_grant& grant)
                       {
                           if (grant.outcome != store_outcome::ok)
                               return self->retry();
                           self->put(grant.lease);
                       });
}

void leased_notice::put(lease_id lease)
{
    m_store.put(m_key, m_value, lease,
                [self = shared_from_this()](store_outcome outcome)
                {
                    if (outcome != store_outcome::ok)
                        self->retry();
                });
}

void leased_notice::retry()
{
    m_timer.expires_after(retry_delay);
    m_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error)
                self->open_lease();
        });
}

} // namespace tanagerspur
