// The requests that this host does not pass on because they crash replicas.
//
// A suspect request is quarantined at once, for a short time. If the replicas that it was lost at
// turn out to have ended, it stays quarantined for longer; if they still run, their connections
// were lost for another reason, and the quarantine lapses. Hosts tell each other through the store.

#ifndef TANAGERSPUR_QUARANTINE_REQUEST_QUARANTINE_HPP
#define TANAGERSPUR_QUARANTINE_REQUEST_QUARANTINE_HPP

#include "tanagerspur/common/time.hpp"
#include "tanagerspur/quarantine/crash_detector.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tanagerspur
{

struct quarantine_options
{
    // Replicas that crashed are missed in the store, or registered anew, within this time.
    duration unconfirmed_length = std::chrono::seconds{10};
    duration confirmed_length = std::chrono::minutes{10};
    // Number of replicas that must have ended for a confirmation.
    std::size_t min_ended = 3;
    // Bounds the memory; the quarantine that ends first gives way.
    std::size_t max_requests = 1'024;
};

// What hosts tell each other of a quarantined request.
struct quarantine_notice
{
    request_fingerprint request;
    // From when it is read; zero if the request crashes no replicas after all.
    duration length{0};
};

class request_quarantine
{
public:
    explicit request_quarantine(quarantine_options options = {})
        : m_options(options)
    {
    }

    // This host suspects the request, which was lost at the replicas. Returns what to tell the
    // other hosts; nullopt if the request is in quarantine already.
    std::optional<quarantine_notice> suspect(const request_fingerprint& request,
                                             std::vector<replica_incarnation> lost_at,
                                             time_point now);

    // Another host told of the request. Returns true if the quarantine begins with it.
    bool heard(const quarantine_notice& notice, time_point now);

    // The request was answered after all. Returns what to tell the other hosts; nullopt if it was
    // not in quarantine.
    std::optional<quarantine_notice> lift(const request_fingerprint& request, time_point now);

    // Confirms quarantines of this host whose replicas have ended, and returns what to tell the
    // other hosts of them.
    std::vector<quarantine_notice>
    confirm(const std::function<bool(const replica_incarnation&)>& has_ended, time_point now);

    // Returns what to tell the other hosts again when the store has lost it.
    std::vector<quarantine_notice> own_notices(time_point now) const;

    // How long the request will not be passed on; nullopt if it is not in quarantine.
    std::optional<duration> time_left(const request_fingerprint& request, time_point now) const;

    // Number of quarantined requests.
    std::size_t size(time_point now) const;

private:
    struct entry
    {
        time_point until;
        // What this host has seen itself, until it is confirmed.
        std::vector<replica_incarnation> lost_at;
        bool is_own = false;
    };

    void extend(const request_fingerprint& request, time_point until);
    void make_room(time_point now);

    quarantine_options m_options;
    std::map<request_fingerprint, entry> m_entries;
};

} // namespace tanagerspur

#endif
