// A small stand-in for the platform: the key-value service with compare-and-swap, leases and
// watches, and the lagging list of hosts. Faults are switched over HTTP. For tests and demos.

#ifndef TANAGERSPUR_STAND_INS_PLATFORM_STAND_IN_HPP
#define TANAGERSPUR_STAND_INS_PLATFORM_STAND_IN_HPP

#include "tanagerspur/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <list>
#include <map>
#include <string>

namespace tanagerspur::stand_ins
{

struct platform_options
{
    endpoint listen;
    // Calls a second; more are refused with 429.
    std::uint64_t writes_per_second = 400;
    std::uint64_t reads_per_second = 2'000;
    std::size_t max_value_bytes = 1'000'000;
};

class platform_stand_in final : public http_handler
{
public:
    platform_stand_in(boost::asio::io_context& io, platform_options options);

    std::string start();

    void handle(http_call call, std::uint64_t token, http_responder respond) override;
    void abandoned(std::uint64_t token) override;

private:
    struct value
    {
        std::uint64_t version = 0;
        std::string text;
        std::string lease;
    };
    struct watch
    {
        std::uint64_t token = 0;
        std::string key;
        std::uint64_t known_version = 0;
        http_responder respond;
        time_point end;
    };
    struct faults
    {
        // "none", "error" (503), or "silent" (no answer).
        std::string outage = "none";
        duration delay{0};
        // Writes that take effect but get no answer, from now on.
        std::int64_t lose_write_replies = 0;
        // Reads that show the value before the present one, from now on.
        std::int64_t stale_reads = 0;
        duration list_lag{0};
        // Addresses of callers that get no answer: a cut between them and the platform.
        std::vector<std::string> cut;
    };
    struct counters
    {
        std::uint64_t reads = 0;
        std::uint64_t watches = 0;
        std::uint64_t writes = 0;
        std::uint64_t lists = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t limited = 0;
        std::uint64_t most_reads_in_a_second = 0;
        std::uint64_t most_writes_in_a_second = 0;
    };

    void serve(const http_call& call, std::uint64_t token, const http_responder& respond);
    void serve_kv(const http_call& call, std::uint64_t token, const http_responder& respond);
    void read(const std::string& key, const http_call& call, std::uint64_t token,
              const http_responder& respond);
    void write(const std::string& key, const http_call& call, const http_responder& respond);
    void serve_lease(const http_call& call, const http_responder& respond);
    void serve_control(const http_call& call, const http_responder& respond);
    void set_faults(const boost::json::object& wanted);
    bool admit(bool is_write);
    void answer_watches(const std::string& key);
    void tick();
    static http_reply value_reply(const value& found);
    boost::json::object report() const;

    boost::asio::io_context& m_io;
    platform_options m_options;
    http_server m_server;
    boost::asio::steady_timer m_timer;
    std::map<std::string, value> m_values;
    std::map<std::string, value> m_previous;
    std::list<watch> m_watches;
    std::map<std::string, std::pair<duration, time_point>> m_leases;
    std::string m_hosts = R"({"hosts":[]})";
    std::multimap<time_point, std::string> m_coming_hosts;
    faults m_faults;
    counters m_counters;
    time_point m_second;
    std::uint64_t m_reads_in_second = 0;
    std::uint64_t m_writes_in_second = 0;
    std::uint64_t m_next_version = 1;
    std::uint64_t m_next_lease = 1;
};

} // namespace tanagerspur::stand_ins

#endif
