// Request ids and the guarantee that a request that is not idempotent runs at most once.
//
// An id names the host that issued it, the host's incarnation, and a number. Only that incarnation
// runs the request; every other host forwards it. The issuing host records each id that it was
// sent for as long as the id is valid, and refuses repeats after that. If the issuing incarnation
// has ended, no host runs the request, and the answer is may_have_run. This needs no store, and
// only one host can ever decide to run an id.

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

// Result of taking an id: whether a request with this id may run.
enum class claim
{
    first,    // the request may run
    running,  // a request with this id is in progress here
    finished, // the request has ended; the recorded answer is valid
    expired,  // the id is too old to tell whether the request ran
    foreign,  // another host issued the id
    lost,     // an earlier incarnation of this host issued the id
    unknown   // the id was never issued
};

struct request_ledger_options
{
    host_id self;
    incarnation start;
    // How long an id may be used after it was issued.
    duration validity = std::chrono::minutes{10};
    // Maximum number of recorded ids.
    std::size_t max_entries = 200'000;
    // Maximum size of all recorded answers; above it, only verdicts are kept.
    std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
};

class request_ledger
{
public:
    explicit request_ledger(request_ledger_options options);

    request_id issue(time_point now);

    // Takes the id for a run. Returns claim::first once per id, unless release() was called.
    claim take(time_point now, const request_id& id);
    // The request is known not to have run, so that a repeat may run.
    void release(const request_id& id);
    // Records the answer, which repeats of the request then get.
    void finish(const request_id& id, int status, const std::string& body);
    // Returns the recorded answer, or nullopt if it was too large to keep.
    std::optional<std::pair<int, std::string>> recorded_answer(const request_id& id) const;

    // False if max_entries ids are recorded, so that no further request can be taken.
    bool has_capacity() const { return m_entries.size() < m_options.max_entries; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        bool is_finished = false;
        int status = 0;
        std::optional<std::string> body;
    };
    // Ids from first_number on were issued at this time or later.
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
