// Finds requests that crash the replicas that run them.
//
// A replica that ends takes the connections of all its requests with it, so a lost attempt alone
// says little about its request. A request is suspect once it was lost at several replicas and none
// has answered it: any other request that was at those replicas has answers from elsewhere, or from
// an earlier time that it was sent.

#ifndef TANAGERSPUR_QUARANTINE_CRASH_DETECTOR_HPP
#define TANAGERSPUR_QUARANTINE_CRASH_DETECTOR_HPP

#include "tanagerspur/common/time.hpp"
#include "tanagerspur/quarantine/request_fingerprint.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace tanagerspur
{

// One run of a replica's process.
struct replica_incarnation
{
    replica_id id;
    std::uint64_t started_ms = 0;

    friend auto operator<=>(const replica_incarnation&, const replica_incarnation&) = default;
};

struct crash_detector_options
{
    // Number of replicas that a suspect request was lost at.
    std::size_t min_replicas = 3;
    // Number of replicas from which on the other hosts are warned of a scatter. Its legs run at the
    // same time, so that it may soon be lost at more.
    std::size_t min_replicas_to_warn = 2;
    // How long losses count after the last one.
    duration memory = std::chrono::minutes{2};
    // Bounds the memory when many different requests are lost.
    std::size_t max_requests = 4'096;
    // Number of answered requests that are remembered, the latest ones with few exceptions.
    std::size_t answered_slots = 8'192;
};

class crash_detector
{
public:
    explicit crash_detector(crash_detector_options options = {})
        : m_options(options)
        , m_answered(options.answered_slots)
    {
    }

    // The connection of an attempt ended without an answer.
    void lost(const request_fingerprint& request, const replica_incarnation& at, time_point now);

    // A replica answered the request with a success. Returns true if hosts may have been warned of
    // it.
    bool answered(const request_fingerprint& request);
    bool was_answered(const request_fingerprint& request) const;

    bool is_suspect(const request_fingerprint& request) const
    {
        return lost_at(request).size() >= m_options.min_replicas;
    }

    // True if the other hosts should be warned of the request, a scatter.
    bool is_doubtful(const request_fingerprint& request) const
    {
        return lost_at(request).size() >= m_options.min_replicas_to_warn;
    }

    // Replicas at which the request was lost; none if it was answered before.
    const std::vector<replica_incarnation>& lost_at(const request_fingerprint& request) const;

    std::size_t followed() const { return m_losses.size(); }

private:
    struct losses
    {
        std::vector<replica_incarnation> replicas;
        time_point last;
    };

    void make_room(time_point now);
    std::size_t slot_of(const request_fingerprint& request) const;

    crash_detector_options m_options;
    std::map<request_fingerprint, losses> m_losses;
    // Hashes of answered requests; a later one takes the slot of an earlier one.
    std::vector<std::size_t> m_answered;
};

} // namespace tanagerspur

#endif
