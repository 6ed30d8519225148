// Checks the planner's rules over generated fleets and host losses.

#include "tanagerspur/ownership/assignment.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace tanagerspur
{

namespace
{

std::vector<shard_key> make_shards(std::uint32_t count)
{
    std::vector<shard_key> keys;
    for (std::uint32_t number = 0; number < count; ++number)
        keys.push_back(
            {.service = service_id{"s"}, .layout = layout_id{"l"}, .number = shard_number{number}});
    return keys;
}

std::vector<candidate_host> make_hosts(std::size_t count)
{
    std::vector<candidate_host> hosts;
    for (std::size_t i = 0; i < count; ++i)
        hosts.push_back(
            {.id = host_id{"h" + std::to_string(i)}, .zone = zone_id{"z" + std::to_string(i % 3)}});
    return hosts;
}

std::vector<host_id> ids_of(const std::vector<candidate_host>& hosts)
{
    std::vector<host_id> ids;
    ids.reserve(hosts.size());
    for (const candidate_host& each : hosts)
        ids.push_back(each.id);
    return ids;
}

} // namespace

class assignment_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(assignment_test);
    CPPUNIT_TEST(spreads_shards_over_hosts_and_zones);
    CPPUNIT_TEST(moves_only_rows_of_lost_hosts);
    CPPUNIT_TEST(parses_what_it_serializes);
    CPPUNIT_TEST_SUITE_END();

public:
    void spreads_shards_over_hosts_and_zones()
    {
        for (std::size_t host_count = 1; host_count <= 9; ++host_count)
        {
            const auto hosts = make_hosts(host_count);
            const auto made = plan({}, {.shards = make_shards(27),
                                        .candidates = hosts,
                                        .may_act = ids_of(hosts),
                                        .dead = {}});
            CPPUNIT_ASSERT(made.has_value());
            std::map<host_id, std::size_t> owned;
            for (const auto& [key, row] : made->rows)
            {
                ++owned[row.owner];
                CPPUNIT_ASSERT(row.owner != row.deputy);
                CPPUNIT_ASSERT(row.predecessor.value().empty());
                if (host_count < 3)
                    continue;
                const auto zone = [&](const host_id& id)
                { return std::stoul(id.value().substr(1)) % 3; };
                CPPUNIT_ASSERT(zone(row.owner) != zone(row.deputy));
            }
            for (const auto& [id, count] : owned)
                CPPUNIT_ASSERT(count <= 27 / host_count + 1);
        }
    }

    void moves_only_rows_of_lost_hosts()
    {
        const bool holds = rc::check(
            "planner",
            []
            {
                const auto host_count = *rc::gen::inRange<std::size_t>(3, 9);
                const auto hosts = make_hosts(host_count);
                const auto shards = make_shards(20);
                assignment_table table = *plan(
                    {},
                    {.shards = shards, .candidates = hosts, .may_act = ids_of(hosts), .dead = {}});
                const auto lost_bits = *rc::gen::inRange<unsigned>(0, 1U << (host_count - 2));
                const bool are_dead = *rc::gen::arbitrary<bool>();
                std::vector<candidate_host> remaining;
                std::vector<host_id> lost;
                for (std::size_t i = 0; i < host_count; ++i)
                    if ((lost_bits >> i & 1U) != 0)
                        lost.push_back(hosts[i].id);
                    else
                        remaining.push_back(hosts[i]);
                const auto next = plan(table, {.shards = shards,
                                               .candidates = remaining,
                                               .may_act = ids_of(remaining),
                                               .dead = are_dead ? lost : std::vector<host_id>{}});
                RC_ASSERT(next.has_value() == !lost.empty());
                if (!next)
                    return;
                RC_ASSERT(next->current.value() == table.current.value() + 1);
                const auto is_lost = [&](const host_id& id)
                { return std::find(lost.begin(), lost.end(), id) != lost.end(); };
                for (const auto& [key, row] : next->rows)
                {
                    const shard_assignment& before = table.rows.at(key);
                    const bool lost_both = is_lost(before.owner) && is_lost(before.deputy);
                    // An owner is replaced only if both are lost; otherwise its deputy decides.
                    RC_ASSERT((row.owner != before.owner) == lost_both);
                    if (!is_lost(before.deputy))
                        RC_ASSERT(row.deputy == before.deputy);
                    RC_ASSERT(row.owner != row.deputy);
                    // A host that may still act is named as predecessor, so that its successors
                    // wait for it.
                    const bool must_wait = row != before && !are_dead;
                    RC_ASSERT(row.predecessor.value().empty() == !must_wait);
                    RC_ASSERT((row.since == next->current) == (row != before));
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void parses_what_it_serializes()
    {
        const auto hosts = make_hosts(4);
        const auto made = plan(
            {},
            {.shards = make_shards(8), .candidates = hosts, .may_act = ids_of(hosts), .dead = {}});
        const std::string text = serialize(*made);
        CPPUNIT_ASSERT(*parse_assignment(text) == *made);
        for (std::size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT(!parse_assignment(text.substr(0, length)));
        CPPUNIT_ASSERT(!parse_assignment(R"({"epoch":-1,"rows":[]})"));
        CPPUNIT_ASSERT(!parse_assignment(R"({"epoch":1,"rows":[{"shard":"a"}]})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(assignment_test);

} // namespace tanagerspur
