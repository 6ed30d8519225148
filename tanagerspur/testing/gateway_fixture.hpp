// A complete gateway on an in-memory store, with scripted replicas and a caller.

#ifndef TANAGERSPUR_TESTING_GATEWAY_FIXTURE_HPP
#define TANAGERSPUR_TESTING_GATEWAY_FIXTURE_HPP

#include "stand_ins/memory_store.hpp"
#include "tanagerspur/gateway/gateway.hpp"
#include "tanagerspur/testing/failing_codec.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace tanagerspur::testing
{

class gateway_fixture
{
public:
    // The service "z" is the only one. Its routes are /c/ (idempotent), /once/, and /long/, which
    // is not idempotent either and has a latency objective of 800 ms.
    gateway_fixture();
    ~gateway_fixture();

    // Starts a replica and writes its entry. The script returns the status line and the header
    // fields of its answer, beside its id and signature; an empty string gives a plain success.
    void add_replica(const std::string& id, scripted_server::script script);

    // Writes the replica's entry; started_ms distinguishes its incarnations.
    void put_entry(const std::string& id, std::uint64_t started_ms);

    // Writes what another writer left among the entries of replicas.
    void put_odd_entry(const std::string& id, const std::string& value);

    // Makes an unexpected exception of each reading of the entry of a replica or host.
    void fail_decoding_of(const std::string& id) { m_codec.fail_for(id); }

    void remove_entry(const std::string& id);

    // Writes the entry of another host of the same zone and capacity. The host does not run.
    void add_host(const std::string& id);

    // Starts a replica that reads requests and never answers, and writes its entry.
    void add_silent_replica(const std::string& id);

    // Starts a replica that closes its connection without an answer when it gets a request whose
    // target contains the text, and writes its entry.
    void add_crashing_replica(const std::string& id, const std::string& text);

    // Writes what another host tells of a request.
    void put_quarantine(const quarantine_notice& notice);
    bool has_key_with_prefix(const std::string& prefix) const;

    // Starts the gateway and waits until it is ready. Its id, zone and addresses are set here.
    void start(gateway_settings settings = {});

    // A caller with a connection of its own.
    class caller
    {
    public:
        caller(boost::asio::io_context& io, const endpoint& to, std::string request_id);

        // Sends a request and asks for a close after its answer.
        void send(const std::string& path);
        // What has arrived so far.
        const std::string& answer() const { return m_received->answer; }
        bool is_closed() const { return m_received->is_closed; }

    private:
        // Outlives the caller until its read has ended.
        struct received
        {
            std::string answer;
            bool is_closed = false;
        };

        boost::asio::ip::tcp::socket m_socket;
        std::string m_request_id;
        std::shared_ptr<received> m_received = std::make_shared<received>();
    };
    std::unique_ptr<caller> connect();

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
    void start_replica(const std::string& id, scripted_server::script script);

    boost::asio::io_context m_io;
    failing_codec m_codec;
    stand_ins::memory_store m_store;
    std::vector<scripted_replica> m_replicas;
    endpoint m_callers;
    std::unique_ptr<gateway> m_gateway;
    std::uint64_t m_next_request = 1;
    // Of the entries of replicas.
    std::uint64_t m_sequence = 0;
};

} // namespace tanagerspur::testing

#endif
