#include "bench/workload.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace tanagerspur::bench
{

double workload::capacity_per_second() const
{
    const double slots = static_cast<double>(replicas * targets.slots);
    return slots / targets.effective_mean_us() * 1e6;
}

double measured::extra_load() const
{
    return sub_requests_needed == 0
               ? 0
               : static_cast<double>(extra_attempts) / static_cast<double>(sub_requests_needed);
}

double measured::coverage() const
{
    return shards_expected == 0
               ? 1
               : static_cast<double>(shards_answered) / static_cast<double>(shards_expected);
}

double measured::goodput(const workload& offered_load) const
{
    const double seconds = std::chrono::duration<double>(offered_load.length).count();
    return static_cast<double>(complete_in_time) / seconds / offered_load.capacity_per_second();
}

measured run(const workload& offered, policy_factory make)
{
    event_loop loop;
    measured result;
    target_grid targets(offered.shards);
    std::uint64_t seed = offered.seed;
    for (auto& shard : targets)
        for (std::size_t i = 0; i < offered.replicas; ++i)
            shard.push_back(std::make_unique<fake_target>(loop, offered.targets, ++seed));
    auto tested = make({.loop = loop, .offered = offered, .targets = targets, .result = result});

    boost::random::mt19937_64 random(offered.seed);
    boost::random::exponential_distribution<double> gap(offered.capacity_per_second() *
                                                        offered.load);
    boost::random::uniform_int_distribution<std::size_t> host(0, offered.entry_hosts - 1);
    // The first second lets the policy learn.
    const time_point begin{std::chrono::seconds{1}};
    const time_point end = begin + offered.length;
    std::function<void()> arrive = [&]
    {
        if (loop.now() >= end)
            return;
        ++result.offered;
        tested->query(host(random));
        loop.after(duration{static_cast<duration::rep>(gap(random) * 1e6)}, arrive);
    };
    loop.at(begin, arrive);
    if (offered.failure == trouble::lost_replica)
        loop.at(begin + offered.length / 2,
                [&]
                {
                    for (auto& shard : targets)
                        shard.front()->lose();
                });
    loop.run_until(end + offered.deadline * 2);
    tested->finish();
    for (const auto& shard : targets)
        for (const auto& each : shard)
        {
            result.most_in_flight = std::max(result.most_in_flight, each->most_in_flight());
            result.started_at_targets += each->started();
            const std::size_t slots = offered.targets.slots;
            if (each->most_in_flight() > slots)
                result.longest_queue =
                    std::max(result.longest_queue, each->most_in_flight() - slots);
        }
    return result;
}

} // namespace tanagerspur::bench
