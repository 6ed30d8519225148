// Baselines: every entry host dispatches by itself, without owners.

#include "bench/workload.hpp"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <map>

namespace tanagerspur::bench
{

namespace
{

// Common to the baselines: one attempt for each shard, chosen by the derived class.
class direct_policy : public policy
{
public:
    explicit direct_policy(bench_world world)
        : m_world(world)
        , m_random(world.offered.seed + 1)
    {
    }

    void query(std::size_t entry_host) override { start(entry_host); }

protected:
    struct pending
    {
        std::size_t entry = 0;
        time_point started;
        std::size_t missing = 0;
        std::vector<bool> is_answered;
    };
    using query_ptr = std::shared_ptr<pending>;

    query_ptr start(std::size_t entry_host)
    {
        auto each = std::make_shared<pending>();
        each->entry = entry_host;
        each->started = m_world.loop.now();
        each->missing = m_world.offered.shards;
        each->is_answered.resize(m_world.offered.shards);
        m_world.result.sub_requests_needed += m_world.offered.shards;
        for (std::size_t shard = 0; shard < m_world.offered.shards; ++shard)
            attempt(each, shard, choose(entry_host, shard));
        return each;
    }

    virtual std::size_t choose(std::size_t entry, std::size_t shard) = 0;
    virtual void on_start(std::size_t /*entry*/, std::size_t /*shard*/, std::size_t /*replica*/) {}
    virtual void on_end(std::size_t /*entry*/, std::size_t /*shard*/, std::size_t /*replica*/,
                        duration /*latency*/)
    {
    }

    void attempt(const query_ptr& each, std::size_t shard, std::size_t replica)
    {
        on_start(each->entry, shard, replica);
        const std::uint64_t id = m_next++;
        const time_point sent = m_world.loop.now();
        m_world.loop.after(m_world.offered.hop,
                           [this, each, shard, replica, id, sent]
                           {
                               m_world.targets[shard][replica]->arrive(
                                   id,
                                   [this, each, shard, replica, sent](bool)
                                   {
                                       m_world.loop.after(m_world.offered.hop,
                                                          [this, each, shard, replica, sent]
                                                          { end(each, shard, replica, sent); });
                                   });
                           });
    }

    void end(const query_ptr& each, std::size_t shard, std::size_t replica, time_point sent)
    {
        on_end(each->entry, shard, replica, m_world.loop.now() - sent);
        if (each->is_answered[shard])
            return;
        each->is_answered[shard] = true;
        if (--each->missing > 0)
            return;
        const duration latency = m_world.loop.now() - each->started;
        measured& result = m_world.result;
        result.latency.record(latency);
        ++result.answered;
        ++result.complete;
        result.complete_in_time += latency <= m_world.offered.deadline ? 1 : 0;
        result.shards_answered += m_world.offered.shards;
        result.shards_expected += m_world.offered.shards;
    }

    std::size_t random_replica()
    {
        boost::random::uniform_int_distribution<std::size_t> any(0, m_world.offered.replicas - 1);
        return any(m_random);
    }

    bench_world m_world;
    boost::random::mt19937_64 m_random;
    std::uint64_t m_next = 1;
};

class random_policy final : public direct_policy
{
public:
    using direct_policy::direct_policy;

protected:
    std::size_t choose(std::size_t, std::size_t) override { return random_replica(); }
};

// The less loaded of two random replicas, by the entry host's own counts.
class power_of_two_policy : public direct_policy
{
public:
    explicit power_of_two_policy(bench_world world)
        : direct_policy(world)
        , m_in_flight(world.offered.entry_hosts,
                      std::vector<std::vector<int>>(world.offered.shards,
                                                    std::vector<int>(world.offered.replicas)))
    {
    }

protected:
    std::size_t choose(std::size_t entry, std::size_t shard) override
    {
        const std::size_t first = random_replica();
        const std::size_t second = random_replica();
        const auto& counts = m_in_flight[entry][shard];
        return counts[second] < counts[first] ? second : first;
    }
    void on_start(std::size_t entry, std::size_t shard, std::size_t replica) override
    {
        ++m_in_flight[entry][shard][replica];
    }
    void on_end(std::size_t entry, std::size_t shard, std::size_t replica, duration) override
    {
        --m_in_flight[entry][shard][replica];
    }

private:
    std::vector<std::vector<std::vector<int>>> m_in_flight;
};

// Power of two, and a second attempt after the 95th percentile of recent latencies.
class timer_hedge_policy final : public power_of_two_policy
{
public:
    using power_of_two_policy::power_of_two_policy;

    void query(std::size_t entry_host) override
    {
        const query_ptr each = start(entry_host);
        for (std::size_t shard = 0; shard < m_world.offered.shards; ++shard)
            m_world.loop.after(hedge_delay(),
                               [this, each, shard]
                               {
                                   if (each->is_answered[shard])
                                       return;
                                   ++m_world.result.extra_attempts;
                                   attempt(each, shard, choose(each->entry, shard));
                               });
    }

protected:
    void on_end(std::size_t entry, std::size_t shard, std::size_t replica,
                duration latency) override
    {
        power_of_two_policy::on_end(entry, shard, replica, latency);
        m_recent.push_back(latency);
        if (m_recent.size() < window)
            return;
        const auto place = m_recent.begin() + window * 95 / 100;
        std::nth_element(m_recent.begin(), place, m_recent.end());
        m_delay = *place;
        m_recent.clear();
    }

private:
    static constexpr std::ptrdiff_t window = 1'000;

    duration hedge_delay() const { return m_delay; }

    std::vector<duration> m_recent;
    duration m_delay = std::chrono::milliseconds{20};
};

// Least in flight, with the targets' true counts at every moment.
class perfect_knowledge_policy final : public direct_policy
{
public:
    explicit perfect_knowledge_policy(bench_world world)
        : direct_policy(world)
        , m_in_flight(world.offered.shards, std::vector<int>(world.offered.replicas))
    {
    }

protected:
    std::size_t choose(std::size_t, std::size_t shard) override
    {
        const auto& counts = m_in_flight[shard];
        const int least = *std::min_element(counts.begin(), counts.end());
        std::vector<std::size_t> best;
        for (std::size_t i = 0; i < counts.size(); ++i)
            if (counts[i] == least)
                best.push_back(i);
        boost::random::uniform_int_distribution<std::size_t> any(0, best.size() - 1);
        return best[any(m_random)];
    }
    void on_start(std::size_t, std::size_t shard, std::size_t replica) override
    {
        ++m_in_flight[shard][replica];
    }
    void on_end(std::size_t, std::size_t shard, std::size_t replica, duration) override
    {
        --m_in_flight[shard][replica];
    }

private:
    std::vector<std::vector<int>> m_in_flight;
};

} // namespace

std::unique_ptr<policy> make_random(bench_world world)
{
    return std::make_unique<random_policy>(world);
}

std::unique_ptr<policy> make_power_of_two(bench_world world)
{
    return std::make_unique<power_of_two_policy>(world);
}

std::unique_ptr<policy> make_timer_hedges(bench_world world)
{
    return std::make_unique<timer_hedge_policy>(world);
}

std::unique_ptr<policy> make_perfect_knowledge(bench_world world)
{
    return std::make_unique<perfect_knowledge_policy>(world);
}

} // namespace tanagerspur::bench
