// Request ids and the promise that a request which is not idempotent runs at most once.
//
// An id names the host that issued it, that host's incarnation, and a number. Only that
// incarnation runs the request; every other host passes it on. What it has seen it remembers
// for as long as the id is valid, and a later repeat is refused. When the host is gone nobody
// runs the request, and the answer is may_have_run. No store is needed, and no host but one can
// ever decide to run an id.

#ifndef TANAGERSPUR_QUERY_REQUEST_LEDGER_HPP
#define TANAGERSPUR_QUERY_REQUEST_LEDGER_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace tanagerspur
{

// The parts of an issued id, "host.incarnation.number" with the numbers in decimal.
struct issued_id
{
    host_id host;
    incarnation start;
    std::uint64_t number = 0;
};

request_id make_request_id(const issued_id& parts);
std::optional<issued_id> parse_request_id(const request_id& id);

// What may be done with a request under an id.
enum class claim
{
    first,    // run it
    running,  // a copy is under way here
    finished, // it ended; the recorded answer stands
    expired,  // too old to know
    foreign,  // another host issued it
    lost,     // an earlier incarnation of this host issued it
    unknown   // never issued
};

struct request_ledger_options
{
    host_id self;
    incarnation start;
    // How long an id may be used after it was issued.
    duration validity = std::chrono::minutes{10};
    // Ids in use or remembered at once.
    std::size_t max_entries = 200'000;
    // Bytes of recorded answers; beyond, only verdicts are kept.
    std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
};

class request_ledger
{
public:
    explicit request_ledger(request_ledger_options options);

    request_id issue(time_point now);

    // Takes the id for a run; claim::first is given once per id, unless release() undoes it.
    claim take(time_point now, const request_id& id);
    // The request surely did not run: a repeat may.
    void release(const request_id& id);
    // Records the answer for repeats.
    void finish(const request_id& id, int status, const std::string& body);
    // Recorded answer; nothing when it was too large to keep.
    std::optional<std::pair<int, std::string>> recorded_answer(const request_id& id) const;

    // False when so many ids are remembered that no further request can be taken.
    bool has_capacity() const { return m_entries.size() < m_options.max_entries; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        bool is_finished = false;
        int status = 0;
        std::optional<std::string> body;
    };
    // Ids from this number on were issued at this time or later.
    struct issue_checkpoint
    {
        std::uint64_t first_number = 0;
        time_point issued;
    };

    void forget_expired(time_point now);
    entry* find(const request_id& id);

    request_ledger_options m_options;
    std::uint64_t m_next_number = 1;
    std::uint64_t m_oldest_valid = 1;
    std::deque<issue_checkpoint> m_checkpoints;
    std::map<std::uint64_t, entry> m_entries;
    std::size_t m_answer_bytes = 0;
};

} // namespace tanagerspur

#endif
