// Compares the route table with a linear search, and checks the shares of weighted splits over
// short runs.

#include "tanagerspur/routing/route_table.hpp"
#include "tanagerspur/routing/split_picker.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

namespace tanagerspur
{

namespace
{

route make_route(const std::string& host, const std::string& prefix)
{
    return {.name = host + prefix,
            .host = host,
            .prefix = prefix,
            .services = {{.service = service_id{"s"}}}};
}

// Finds the route with the longest matching prefix by linear search.
const route* reference_match(const std::vector<route>& routes, const std::string& host,
                             const std::string& path)
{
    const route* best = nullptr;
    for (const route& each : routes)
        if (each.host == host && path.starts_with(each.prefix) &&
            (best == nullptr || each.prefix.size() > best->prefix.size()))
            best = &each;
    return best;
}

rc::Gen<std::string> path_of(const std::string& letters)
{
    return rc::gen::map(rc::gen::container<std::string>(rc::gen::elementOf(letters)),
                        [](const std::string& rest) { return "/" + rest; });
}

} // namespace

class routing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(longest_prefix_matches_reference);
    CPPUNIT_TEST(matches_host_ignoring_port_and_case);
    CPPUNIT_TEST(splits_keep_shares_over_short_runs);
    CPPUNIT_TEST(changed_weights_apply_to_next_request);
    CPPUNIT_TEST_SUITE_END();

public:
    void longest_prefix_matches_reference()
    {
        const bool holds = rc::check(
            []
            {
                const std::string letters = "ab/";
                const auto prefixes = *rc::gen::unique<std::vector<std::string>>(path_of(letters));
                routing_configuration configuration;
                for (const std::string& each : prefixes)
                    configuration.routes.push_back(
                        make_route("h.example", each.ends_with('/') ? each : each + "/"));
                const route_table table{configuration};
                const std::string path = *path_of(letters);
                const route* expected = reference_match(configuration.routes, "h.example", path);
                const route* found = table.match("h.example", path);
                RC_ASSERT((found == nullptr) == (expected == nullptr));
                if (found != nullptr)
                    RC_ASSERT(found->prefix == expected->prefix);
                RC_ASSERT(table.match("other.example", path) == nullptr);
            });
        CPPUNIT_ASSERT(holds);
    }

    void matches_host_ignoring_port_and_case()
    {
        routing_configuration configuration;
        configuration.routes.push_back(make_route("desk.example", "/a/"));
        const route_table table{configuration};
        CPPUNIT_ASSERT(table.match("Desk.Example:8080", "/a/b") != nullptr);
        CPPUNIT_ASSERT(table.match("desk.example", "/a") == nullptr);
        CPPUNIT_ASSERT(table.match("desk.example", "a/") == nullptr);
        CPPUNIT_ASSERT(table.match("", "/a/") == nullptr);
    }

    void splits_keep_shares_over_short_runs()
    {
        const bool holds = rc::check(
            []
            {
                route split = make_route("h", "/");
                split.services.clear();
                const auto weights = *rc::gen::nonEmpty(
                    rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(1U, 50U)));
                double total = 0;
                for (std::size_t i = 0; i < weights.size(); ++i)
                {
                    split.services.push_back(
                        {.service = service_id{std::to_string(i)}, .weight = weights[i]});
                    total += weights[i];
                }
                split_picker picker{*rc::gen::arbitrary<std::uint64_t>()};
                std::map<service_id, double> picked;
                const int runs = *rc::gen::inRange(1, 300);
                for (int i = 0; i < runs; ++i)
                    ++picked[picker.pick(split)];
                for (const weighted_service& each : split.services)
                {
                    const double exact = runs * each.weight / total;
                    RC_ASSERT(std::abs(picked[each.service] - exact) <
                              static_cast<double>(weights.size()) + 1);
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void changed_weights_apply_to_next_request()
    {
        route split = make_route("h", "/");
        split.services = {{.service = service_id{"a"}, .weight = 1},
                          {.service = service_id{"b"}, .weight = 0}};
        split_picker picker{1};
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, picker.pick(split).value());
        split.services[0].weight = 0;
        split.services[1].weight = 1;
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string{"b"}, picker.pick(split).value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

} // namespace tanagerspur
