// A caller of the soak: asks hosts for addresses, keeps its connection while it lasts, and checks
// every answer against what the replicas did.

#ifndef TANAGERSPUR_SOAK_SOAK_CALLER_HPP
#define TANAGERSPUR_SOAK_SOAK_CALLER_HPP

#include "soak/soak_world.hpp"
#include "tanagerspur/net/http_connection.hpp"

#include <set>
#include <string>
#include <vector>

namespace tanagerspur::soak
{

class soak_caller
{
public:
    soak_caller(soak_world& world, std::string zone, std::string name);

    void start() { schedule(); }
    // What was promised must still hold when all is over.
    void final_checks();

    // A request that was not served as it should be, by a host that kept its log.
    struct complaint
    {
        std::string id;
        int status = 0;
        std::size_t missing = 0;
    };
    const std::vector<complaint>& complaints() const { return m_complaints; }

private:
    // One request under way.
    struct asked
    {
        std::string id;
        request_kind kind = request_kind::scatter;
        soak_host* host = nullptr;
        int incarnation = 0;
        time_point sent;
        // The host had no accident for a while when the request was sent.
        bool is_host_sound = false;
        bool is_deadly = false;
    };

    void schedule();
    void ask();
    void ask_directory(std::size_t tries);
    void connect();
    void send();
    void done(const asked& request, const call_outcome& outcome);
    bool check_answer(const asked& request, const http_reply& reply);
    bool check_scatter(const asked& request, const http_reply& reply);
    bool check_single(const asked& request, const http_reply& reply);
    void check_lost(const asked& request);
    void complain(const asked& request, const http_reply& reply);
    void check_runs_once(const std::string& id);
    const std::vector<stand_ins::run_record>& runs_of(const std::string& id) const;
    void violation(const asked& request, const std::string& what);

    soak_world& m_world;
    std::string m_zone;
    std::string m_name;
    boost::asio::steady_timer m_timer;
    std::vector<std::string> m_addresses;
    time_point m_addresses_until{};
    std::shared_ptr<http_connection> m_connection;
    soak_host* m_host = nullptr;
    std::uint64_t m_next = 1;
    // Requests that may run once, and those that were said not to have run.
    std::vector<std::string> m_once;
    std::vector<std::string> m_promised;
    std::vector<complaint> m_complaints;
};

} // namespace tanagerspur::soak

#endif
