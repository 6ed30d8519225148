// A complete gateway on an in-memory store, with scripted replicas and a caller.

#ifndef TANAGERSPUR_TESTING_GATEWAY_FIXTURE_HPP
#define TANAGERSPUR_TESTING_GATEWAY_FIXTURE_HPP

#include "platform/codec.hpp"
#include "stand_ins/memory_store.hpp"
#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace tanagerspur::testing
{

class gateway_fixture
{
public:
    // The service "z" is the only one; its routes are /c/ (idempotent) and /once/.
    gateway_fixture();
    ~gateway_fixture();

    // Starts a replica and writes its entry. The script returns the status line and the header
    // fields of its answer, beside its id and signature; an empty string gives a plain success.
    void add_replica(const std::string& id, scripted_server::script script);

    // Writes the replica's entry; started_ms distinguishes its incarnations.
    void put_entry(const std::string& id, std::uint64_t started_ms);

    void remove_entry(const std::string& id);

    // Writes the entry of another host of the same zone and capacity. The host does not run.
    void add_host(const std::string& id);

    // Starts the gateway and waits until it is ready.
    void start();

    // Sends a request on a connection of its own; returns the whole answer, empty if there is none.
    std::string request(const std::string& path = "/c/x");

    void run_for(duration time);

    gateway& host() { return *m_gateway; }
    // Times at which each replica got requests.
    std::map<std::string, std::vector<time_point>> m_arrivals;

private:
    struct scripted_replica
    {
        std::string id;
        std::unique_ptr<scripted_server> server;
    };
    endpoint free_endpoint();

    boost::asio::io_context m_io;
    platform::codec m_codec;
    stand_ins::memory_store m_store;
    std::vector<scripted_replica> m_replicas;
    endpoint m_callers;
    std::unique_ptr<gateway> m_gateway;
    std::uint64_t m_next_request = 1;
};

} // namespace tanagerspur::testing

#endif
