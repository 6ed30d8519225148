// Writes one key of the store that is to last for a set time, under a lease of its own, and repeats
// calls that fail until that time is over.

#ifndef TANAGERSPUR_STORE_LEASED_NOTICE_HPP
#define TANAGERSPUR_STORE_LEASED_NOTICE_HPP

#include "tanagerspur/store/shared_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace tanagerspur
{

class leased_notice : public std::enable_shared_from_this<leased_notice>
{
public:
    leased_notice(boost::asio::io_context& io, shared_store& store, std::string key,
                  std::string value, duration length);

    // The object lives until the key is written or the time is over.
    void write();

private:
    void open_lease();
    void put(lease_id lease);
    void retry();

    shared_store& m_store;
    boost::asio::steady_timer m_timer;
    std::string m_key;
    std::string m_value;
    time_point m_end;
};

} // namespace tanagerspur

#endif
