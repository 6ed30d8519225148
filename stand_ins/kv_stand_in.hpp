// The platform's store over HTTP, on a memory_store: what the adapter calls, as its protocol says.
// For tests and the soak.

#ifndef TANAGERSPUR_STAND_INS_KV_STAND_IN_HPP
#define TANAGERSPUR_STAND_INS_KV_STAND_IN_HPP

#include "stand_ins/memory_store.hpp"
#include "tanagerspur/net/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <random>

namespace tanagerspur::stand_ins
{

// Faults of the store, switched while it runs.
struct kv_faults
{
    // Answers 503 to everything.
    bool is_busy = false;
    // Takes this much longer to answer.
    duration delay{0};
    // Share of the answers to writes that are lost: the write takes effect.
    double lost_writes = 0;
};

class kv_stand_in final : public http_handler
{
public:
    kv_stand_in(boost::asio::io_context& io, endpoint listen, std::uint64_t seed);

    std::string start();
    memory_store& store() { return m_store; }
    void set_faults(const kv_faults& faults) { m_faults = faults; }

    void handle(http_call call, std::uint64_t token, http_responder respond) override;

private:
    void serve(const http_call& call, const http_responder& respond);
    void serve_range(const http_call& call, const http_responder& respond);
    void serve_watch(const http_call& call, const http_responder& respond);
    void serve_transaction(const http_call& call, const http_responder& respond);
    void serve_lease(const http_call& call, const http_responder& respond);
    void schedule_tick();

    boost::asio::io_context& m_io;
    memory_store m_store;
    http_server m_server;
    boost::asio::steady_timer m_timer;
    kv_faults m_faults;
    std::mt19937_64 m_random;
};

} // namespace tanagerspur::stand_ins

#endif
