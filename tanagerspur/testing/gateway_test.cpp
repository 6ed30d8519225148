// Tests what each host computes on its own: advertised hosts, the retry budget, overload and the
// stop schedule; and the daemon's settings, log lines and metrics.

#include "tanagerspur/common/event_log.hpp"
#include "tanagerspur/forwarding/retry_window.hpp"
#include "tanagerspur/gateway/host_directory.hpp"
#include "tanagerspur/gateway/host_monitor.hpp"
#include "tanagerspur/gateway/metrics_text.hpp"
#include "tanagerspur/gateway/overload_detector.hpp"
#include "tanagerspur/gateway/pause_detector.hpp"
#include "tanagerspur/gateway/settings_file.hpp"
#include "tanagerspur/gateway/startup_retry_after.hpp"
#include "tanagerspur/gateway/stop_schedule.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <set>
#include <unistd.h>

namespace tanagerspur
{

namespace
{

time_point at_ms(std::int64_t ms)
{
    return time_point{std::chrono::milliseconds{100'000 + ms}};
}

host_record make_host(const std::string& id, const std::string& zone, std::uint32_t capacity)
{
    return {.id = host_id{id},
            .zone = zone_id{zone},
            .callers = {.address = "10.0.0.1", .port = static_cast<std::uint16_t>(std::stoi(id))},
            .capacity = capacity,
            .is_ready = true};
}

// Hosts are reachable unless they are listed otherwise.
class known_reachability final : public reachability_source
{
public:
    reachability of(const host_id& id) const override
    {
        const auto found = m_others.find(id);
        return found == m_others.end() ? reachability::reachable : found->second;
    }

    std::map<host_id, reachability> m_others;
};

std::vector<endpoint> addresses_of(const host_directory& fleet, const std::string& zone,
                                   std::size_t max_count, const known_reachability& hosts = {})
{
    return fleet.addresses(zone_id{zone}, max_count, hosts);
}

// Returns the host directory of one host in a fleet of three zones.
host_directory make_fleet(std::size_t large, std::size_t small)
{
    host_directory directory{make_host("1", "a", large > 0 ? 500 : 250)};
    int number = 2;
    for (const char* zone : {"a", "b", "c"})
    {
        for (std::size_t i = *zone == 'a' ? 1 : 0; i < large; ++i)
            directory.put(make_host(std::to_string(number++), zone, 500));
        for (std::size_t i = *zone == 'a' && large == 0 ? 1 : 0; i < small; ++i)
            directory.put(make_host(std::to_string(number++), zone, large > 0 ? 120 : 250));
    }
    return directory;
}

const std::string valid_settings = R"([host]
id = h1
zone = a
cores = 0.25
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
directory = 10.0.0.1:82
metrics = 10.0.0.1:83
peers = 10.0.0.1:84
[platform]
store = 10.0.0.9:90
[bounds]
retry_ratio = 0.2
retry_slack = 54
stop_within_s = 6
)";

std::string settings_error(const std::string& text)
{
    const auto parsed = capture([&] { return parse_gateway_settings("file.ini", text); });
    const auto* error = std::get_if<input_error>(&parsed);
    return error != nullptr ? to_string(*error) : "";
}

} // namespace

class gateway_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_test);
    CPPUNIT_TEST(advertises_largest_hosts_of_zone);
    CPPUNIT_TEST(advertises_more_hosts_under_load);
    CPPUNIT_TEST(does_not_advertise_busy_host);
    CPPUNIT_TEST(registers_largest_hosts);
    CPPUNIT_TEST(advertises_all_zones_below_two_ready_hosts);
    CPPUNIT_TEST(dead_host_is_not_named_while_its_entry_lasts);
    CPPUNIT_TEST(watches_other_zones_only_for_their_callers);
    CPPUNIT_TEST(retains_removed_hosts_until_expiry);
    CPPUNIT_TEST(all_hosts_compute_same_advertised_set);
    CPPUNIT_TEST(retry_window_enforces_limit);
    CPPUNIT_TEST(increased_slack_ramps_up_over_window);
    CPPUNIT_TEST(late_timers_mark_host_busy_with_hysteresis);
    CPPUNIT_TEST(time_to_stop_includes_pause);
    CPPUNIT_TEST(stop_schedule_leaves_time_for_answers);
    CPPUNIT_TEST(stopping_host_starts_only_requests_with_time_for_answer);
    CPPUNIT_TEST(settings_errors_name_key);
    CPPUNIT_TEST(detects_changed_settings_file);
    CPPUNIT_TEST(longer_retry_after_while_store_fails);
    CPPUNIT_TEST(escapes_log_values);
    CPPUNIT_TEST(escapes_metric_labels);
    CPPUNIT_TEST(detects_settings_that_need_restart);
    CPPUNIT_TEST_SUITE_END();

private:
    // Steps through the time to stop with requests in progress, and compares with an idle host.
    static void check_stop(const stop_options& options)
    {
        stop_phase before = stop_phase::accepting;
        duration accepted{0};
        duration concluded{0};
        for (duration since{0}; since < options.time_to_stop;
             since += std::chrono::milliseconds{50})
        {
            const stop_phase phase = stop_phase_at(options, since, false);
            CPPUNIT_ASSERT(phase >= before);
            before = phase;
            if (phase == stop_phase::accepting)
                accepted = since;
            if (phase <= stop_phase::draining)
                concluded = since;
            const stop_phase when_idle = stop_phase_at(options, since, true);
            CPPUNIT_ASSERT(when_idle ==
                           (phase == stop_phase::accepting ? phase : stop_phase::done));
        }
        CPPUNIT_ASSERT(before == stop_phase::done);
        // The last accepted request has time to run, and its answer has time to be written.
        CPPUNIT_ASSERT(accepted == duration{0} ||
                       concluded - accepted >= std::chrono::milliseconds{900});
        CPPUNIT_ASSERT(options.time_to_stop - concluded >= std::chrono::milliseconds{1'000});
        const bool has_time =
            options.time_to_stop >= options.address_validity + std::chrono::seconds{2};
        CPPUNIT_ASSERT(!has_time ||
                       accepted + std::chrono::milliseconds{50} >= options.address_validity);
    }

public:
    void advertises_largest_hosts_of_zone()
    {
        const host_directory fleet = make_fleet(2, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.advertised_hosts().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses_of(fleet, "b", 64).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, addresses_of(fleet, "elsewhere", 64).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, addresses_of(fleet, "elsewhere", 4).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, make_fleet(0, 20).advertised_hosts().size());
    }

    // Returns how many hosts of zone b are advertised when its two large hosts publish the load.
    static std::size_t advertised_in_zone_b(std::uint32_t load_of_zone)
    {
        host_directory fleet = make_fleet(2, 20);
        for (const int id : {23, 24})
        {
            host_record loaded = make_host(std::to_string(id), "b", 500);
            loaded.load = load_of_zone / 2;
            fleet.put(loaded);
        }
        return addresses_of(fleet, "b", 64).size();
    }

    void advertises_more_hosts_under_load()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, advertised_in_zone_b(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, advertised_in_zone_b(300));
        // More than the two large hosts can carry in a burst, so more than 10 hosts share it.
        CPPUNIT_ASSERT(advertised_in_zone_b(900) > 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{22}, advertised_in_zone_b(5'000));
    }

    void does_not_advertise_busy_host()
    {
        host_directory fleet = make_fleet(3, 20);
        const auto is_advertised = [&fleet](const char* id)
        {
            const std::vector<host_record> advertised = fleet.advertised_hosts();
            return std::any_of(advertised.begin(), advertised.end(),
                               [id](const host_record& each) { return each.id == host_id{id}; });
        };
        CPPUNIT_ASSERT(is_advertised("2"));
        host_record busy = make_host("2", "a", 500);
        busy.is_busy = true;
        busy.load = 50;
        fleet.put(busy);
        CPPUNIT_ASSERT(!is_advertised("2") && is_advertised("1") && is_advertised("3"));
        // A single slow host does not cause more hosts to be advertised.
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.advertised_hosts().size());
    }

    // Starts hosts of one zone in sequence; each has the entries of those registered before it.
    static std::vector<host_record> register_all(const std::vector<host_record>& hosts)
    {
        std::vector<host_record> registered;
        for (const host_record& self : hosts)
        {
            host_directory directory{self};
            for (const host_record& other : registered)
                directory.put(other);
            if (directory.should_register())
                registered.push_back(self);
        }
        return registered;
    }

    void registers_largest_hosts()
    {
        const bool holds = rc::check(
            []
            {
                std::vector<host_record> hosts;
                const int count = *rc::gen::inRange(1, 60);
                for (int i = 1; i <= count; ++i)
                    hosts.push_back(
                        make_host(std::to_string(i), "a",
                                  *rc::gen::elementOf(std::vector<std::uint32_t>{120, 250, 500})));
                const std::vector<host_record> registered = register_all(hosts);
                RC_ASSERT(registered.size() >= std::min<std::size_t>(hosts.size(), 6));
                // At most six hosts of each size register, regardless of the order in which they
                // start.
                for (const std::uint32_t size : {120U, 250U, 500U})
                {
                    const auto of_size = [size](const host_record& each)
                    { return each.capacity == size; };
                    RC_ASSERT(std::count_if(registered.begin(), registered.end(), of_size) <= 6);
                }
                const auto large = [](const host_record& each) { return each.capacity == 500; };
                const auto all_large = std::count_if(hosts.begin(), hosts.end(), large);
                RC_ASSERT(std::count_if(registered.begin(), registered.end(), large) ==
                          std::min<std::ptrdiff_t>(all_large, 6));
            });
        CPPUNIT_ASSERT(holds);
        // A host that is shutting down is replaced by another one.
        host_directory directory{make_host("9", "a", 120)};
        for (int i = 1; i <= 6; ++i)
            directory.put(make_host(std::to_string(i), "a", 120));
        CPPUNIT_ASSERT(!directory.should_register());
        host_record leaving = make_host("3", "a", 120);
        leaving.is_ready = false;
        leaving.is_leaving = true;
        directory.put(leaving);
        CPPUNIT_ASSERT(directory.should_register());
    }

    void advertises_all_zones_below_two_ready_hosts()
    {
        host_directory fleet{make_host("1", "a", 250)};
        fleet.put(make_host("2", "b", 250));
        fleet.put(make_host("3", "b", 250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, addresses_of(fleet, "a", 64).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses_of(fleet, "b", 64).size());
        fleet.set_own_state({.is_ready = false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses_of(fleet, "a", 64).size());
    }

    void dead_host_is_not_named_while_its_entry_lasts()
    {
        host_directory fleet{make_host("1", "a", 250)};
        for (const char* id : {"2", "3", "4"})
            fleet.put(make_host(id, "a", 250));
        fleet.put(make_host("5", "b", 250));
        known_reachability hosts;
        const std::size_t named = addresses_of(fleet, "a", 64, hosts).size();
        const std::vector<host_record> shared = fleet.advertised_hosts();
        for (const reachability state : {reachability::unreachable, reachability::unknown})
            for (const host_record& each : shared)
            {
                hosts.m_others = {{each.id, state}};
                for (const endpoint& at : addresses_of(fleet, "a", 64, hosts))
                    CPPUNIT_ASSERT(each.id == fleet.self().id || at != each.callers);
            }
        // Others take the places of hosts that are unreachable.
        for (const host_record& each : shared)
            hosts.m_others = {{each.id, reachability::unreachable}};
        CPPUNIT_ASSERT_EQUAL(std::min<std::size_t>(named, 3),
                             addresses_of(fleet, "a", 64, hosts).size());
        // Callers of a zone without a running host get those of other zones.
        hosts.m_others = {{host_id{"5"}, reachability::unreachable}};
        CPPUNIT_ASSERT(!addresses_of(fleet, "b", 64, hosts).empty());
    }

    void watches_other_zones_only_for_their_callers()
    {
        host_directory fleet = make_fleet(3, 4);
        known_reachability hosts;
        for (const host_record& each : fleet.hosts_to_watch({zone_id{"a"}}, hosts))
            CPPUNIT_ASSERT(each.zone == zone_id{"a"} && each.id != fleet.self().id);
        std::set<zone_id> zones;
        for (const host_record& each : fleet.hosts_to_watch({zone_id{"a"}, zone_id{"b"}}, hosts))
            zones.insert(each.zone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, zones.size());
        // An unreachable host stays watched, so that its return is noticed.
        const host_record lost = fleet.hosts_to_watch({zone_id{"a"}}, hosts).front();
        hosts.m_others = {{lost.id, reachability::unreachable}};
        const auto watched = fleet.hosts_to_watch({zone_id{"a"}}, hosts);
        CPPUNIT_ASSERT(std::any_of(watched.begin(), watched.end(),
                                   [&](const auto& each) { return each.id == lost.id; }));
    }

    void retains_removed_hosts_until_expiry()
    {
        host_directory fleet{make_host("1", "a", 250)};
        fleet.put(make_host("2", "a", 250));
        fleet.remove(host_id{"2"}, at_ms(100));
        fleet.tick(at_ms(99));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.known_hosts());
        fleet.put(make_host("2", "a", 250));
        fleet.tick(at_ms(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.known_hosts());
        fleet.remove_unlisted({}, at_ms(300));
        fleet.tick(at_ms(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.known_hosts());
    }

    void all_hosts_compute_same_advertised_set()
    {
        const bool holds = rc::check(
            []
            {
                std::vector<host_record> hosts;
                const int count = *rc::gen::inRange(1, 40);
                for (int i = 1; i <= count; ++i)
                {
                    hosts.push_back(make_host(
                        std::to_string(i), std::string(1, *rc::gen::elementOf(std::string{"abc"})),
                        *rc::gen::elementOf(std::vector<std::uint32_t>{120, 250, 500})));
                    hosts.back().load = *rc::gen::inRange(0U, 500U);
                    hosts.back().is_busy = *rc::gen::arbitrary<bool>();
                }
                std::optional<std::set<host_id>> expected;
                for (const host_record& self : hosts)
                {
                    host_directory directory{self};
                    for (const host_record& other : hosts)
                        directory.put(other);
                    std::set<host_id> advertised;
                    for (const host_record& each : directory.advertised_hosts())
                        advertised.insert(each.id);
                    if (!expected)
                        expected = advertised;
                    RC_ASSERT(advertised == *expected);
                    RC_ASSERT(!advertised.empty());
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    // Compares with a list of all requests and extra attempts in the window that ends now.
    void retry_window_enforces_limit()
    {
        const bool holds = rc::check(
            []
            {
                retry_window window{{.ratio = 0.2, .length = std::chrono::seconds{10}}};
                std::deque<time_point> requests;
                std::deque<time_point> extras;
                std::int64_t now = 0;
                const auto steps = *rc::gen::container<std::vector<std::int64_t>>(
                    rc::gen::inRange<std::int64_t>(0, 900));
                for (const std::int64_t each : steps)
                {
                    now += each % 300;
                    if (each < 600)
                    {
                        window.count_request(at_ms(now));
                        requests.push_back(at_ms(now));
                    }
                    else if (window.left(at_ms(now), 3) >= 1)
                    {
                        window.spend(at_ms(now));
                        extras.push_back(at_ms(now));
                    }
                    const time_point begin = at_ms(now) - std::chrono::seconds{10};
                    while (!requests.empty() && requests.front() <= begin)
                        requests.pop_front();
                    while (!extras.empty() && extras.front() <= begin)
                        extras.pop_front();
                    RC_ASSERT(window.left(at_ms(now), 3) <=
                              3 + 0.2 * static_cast<double>(requests.size()) -
                                  static_cast<double>(extras.size()) + 1e-9);
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void increased_slack_ramps_up_over_window()
    {
        slack_share share{std::chrono::seconds{10}};
        share.set(8, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(0.0, share.at(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(4.0, share.at(at_ms(5'000)));
        share.set(2, at_ms(5'000));
        CPPUNIT_ASSERT_EQUAL(2.0, share.at(at_ms(5'000)));
        share.set(6, at_ms(6'000));
        CPPUNIT_ASSERT_EQUAL(2.0, share.at(at_ms(6'000)));
        CPPUNIT_ASSERT_EQUAL(6.0, share.at(at_ms(20'000)));
    }

    void late_timers_mark_host_busy_with_hysteresis()
    {
        overload_detector meter;
        std::int64_t now = 0;
        const auto run = [&](std::chrono::milliseconds late, int seconds)
        {
            for (int i = 0; i < 20 * seconds; ++i)
                meter.timer_fired(at_ms(now += 50), late);
        };
        run(std::chrono::milliseconds{0}, 3);
        run(std::chrono::milliseconds{30}, 1);
        run(std::chrono::milliseconds{0}, 1);
        CPPUNIT_ASSERT(!meter.is_busy());
        run(std::chrono::milliseconds{30}, 3);
        CPPUNIT_ASSERT(meter.is_busy());
        run(std::chrono::milliseconds{0}, 8);
        CPPUNIT_ASSERT(meter.is_busy());
        run(std::chrono::milliseconds{0}, 4);
        CPPUNIT_ASSERT(!meter.is_busy());
    }

    void time_to_stop_includes_pause()
    {
        pause_detector pauses;
        pauses.timer_fired(at_ms(0), at_ms(2));
        CPPUNIT_ASSERT(pauses.earliest_signal_time(at_ms(30), at_ms(50)) == at_ms(30));
        // The signal may be handled before the overdue timer or after it.
        CPPUNIT_ASSERT(pauses.earliest_signal_time(at_ms(2'500), at_ms(50)) == at_ms(50));
        pauses.timer_fired(at_ms(50), at_ms(2'500));
        CPPUNIT_ASSERT(pauses.earliest_signal_time(at_ms(2'501), at_ms(2'550)) == at_ms(50));
        pauses.timer_fired(at_ms(2'550), at_ms(2'551));
        CPPUNIT_ASSERT(pauses.earliest_signal_time(at_ms(2'600), at_ms(2'601)) == at_ms(50));
        CPPUNIT_ASSERT(pauses.earliest_signal_time(at_ms(2'800), at_ms(2'801)) == at_ms(2'800));
        // The timers of a busy host are late, which must not be taken for a pause.
        pauses.timer_fired(at_ms(3'000), at_ms(3'040));
        CPPUNIT_ASSERT(pauses.earliest_signal_time(at_ms(3'045), at_ms(3'090)) == at_ms(3'045));
    }

    void stop_schedule_leaves_time_for_answers()
    {
        for (int within_s = 1; within_s <= 12; ++within_s)
            for (int validity_s = 1; validity_s <= 12; ++validity_s)
                check_stop({.time_to_stop = std::chrono::seconds{within_s},
                            .address_validity = std::chrono::seconds{validity_s}});
    }

    void stopping_host_starts_only_requests_with_time_for_answer()
    {
        const stop_options times{.time_to_stop = std::chrono::seconds{6},
                                 .address_validity = std::chrono::seconds{4}};
        // Requests in progress are answered after 5 s.
        for (const auto& [objective_ms, last_ms] : {std::pair{40, 4'920}, std::pair{250, 4'500}})
        {
            const std::chrono::milliseconds objective{objective_ms};
            const std::chrono::milliseconds last{last_ms};
            CPPUNIT_ASSERT(may_start_request(times, duration{0}, objective));
            CPPUNIT_ASSERT(may_start_request(times, last, objective));
            CPPUNIT_ASSERT(
                !may_start_request(times, last + std::chrono::milliseconds{1}, objective));
        }
    }

    void settings_errors_name_key()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, settings_error(valid_settings));
        for (const auto& [from, to, part] :
             {std::tuple{"cores = 0.25", "cores = many", "cores"},
              std::tuple{"retry_ratio = 0.2", "retry_ratio = 1.2", "retry_ratio"},
              std::tuple{"callers = 10.0.0.1:80", "callers = here:80", "callers"},
              std::tuple{"stop_within_s = 6", "stop_within_s = 0", "stop_within_s"},
              std::tuple{"stop_within_s", "stop_in_s", "stop_in_s"},
              std::tuple{"zone = a\n", "", "zone"}})
        {
            std::string text = valid_settings;
            text.replace(text.find(from), std::string_view{from}.size(), to);
            const std::string error = settings_error(text);
            CPPUNIT_ASSERT_MESSAGE(error, error.find(part) != std::string::npos);
        }
    }

    void detects_changed_settings_file()
    {
        const std::string path =
            (std::filesystem::temp_directory_path() / ("settings-" + std::to_string(getpid())))
                .string();
        const auto write = [&path](const std::string& text) {
            std::ofstream{path, std::ios::trunc} << text;
        };
        std::string text = valid_settings;
        write(text);
        settings_file file{path};
        CPPUNIT_ASSERT(std::holds_alternative<gateway_settings>(file.read()));
        CPPUNIT_ASSERT(!file.read_if_changed());
        text.replace(text.find("stop_within_s = 6"), 17, "stop_within_s = 19");
        write(text);
        const auto changed = file.read_if_changed();
        CPPUNIT_ASSERT(changed.has_value());
        CPPUNIT_ASSERT(std::get<gateway_settings>(*changed).stop_within ==
                       std::chrono::seconds{19});
        CPPUNIT_ASSERT(!file.read_if_changed());
        // Invalid settings are reported once; an absent or empty file changes nothing.
        write(text + "[host]");
        CPPUNIT_ASSERT(std::holds_alternative<input_error>(*file.read_if_changed()));
        CPPUNIT_ASSERT(!file.read_if_changed());
        write("");
        CPPUNIT_ASSERT(!file.read_if_changed());
        std::filesystem::remove(path);
        CPPUNIT_ASSERT(!file.read_if_changed());
    }

    void longer_retry_after_while_store_fails()
    {
        const duration caller_timeout = std::chrono::milliseconds{2'400};
        const duration typical = startup_retry_after(false, caller_timeout);
        CPPUNIT_ASSERT(typical < std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(startup_retry_after(true, caller_timeout) == std::chrono::milliseconds{800});
        CPPUNIT_ASSERT(startup_retry_after(true, std::chrono::milliseconds{30}) == typical);
        CPPUNIT_ASSERT(startup_retry_after(true, std::nullopt) > typical);
    }

    void escapes_log_values()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"a-1:b/c"}, escape_value("a-1:b/c"));
        CPPUNIT_ASSERT_EQUAL(std::string{"\"\""}, escape_value(""));
        CPPUNIT_ASSERT_EQUAL(std::string{"\"a b=\\\"c\\\"\\n\""}, escape_value("a b=\"c\"\n"));
    }

    void escapes_metric_labels()
    {
        metrics_text text;
        text.add("plain", 7);
        text.add("labelled", {{"service", "a\"b\\\n"}, {"outcome", "failed"}}, 8);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"tanagerspur_plain 7\n"
                        "tanagerspur_labelled{service=\"a\\\"b\\\\\\n\",outcome=\"failed\"} 8\n"},
            text.take());
    }

    void detects_settings_that_need_restart()
    {
        const auto parsed = [](const std::string& from, const std::string& to)
        {
            std::string text = valid_settings;
            text.replace(text.find(from), from.size(), to);
            return std::get<gateway_settings>(
                capture([&] { return parse_gateway_settings("test", text); }));
        };
        const gateway_settings before = parsed("zone = a", "zone = a");
        CPPUNIT_ASSERT(!needs_restart(before, before));
        CPPUNIT_ASSERT(!needs_restart(before, parsed("stop_within_s = 6", "stop_within_s = 7")));
        CPPUNIT_ASSERT(!needs_restart(before, parsed("retry_slack = 54", "retry_slack = 9")));
        CPPUNIT_ASSERT(
            !needs_restart(before, parsed("[bounds]", "[bounds]\naddress_validity_s = 9")));
        for (const auto& [from, to] :
             {std::pair{"id = h1", "id = h2"}, std::pair{"zone = a", "zone = b"},
              std::pair{"cores = 0.25", "cores = 0.5"}, std::pair{"10.0.0.1:80", "10.0.0.1:90"},
              std::pair{"10.0.0.1:81", "10.0.0.1:91"}, std::pair{"10.0.0.1:82", "10.0.0.1:92"},
              std::pair{"10.0.0.1:83", "10.0.0.1:93"}, std::pair{"10.0.0.1:84", "10.0.0.1:94"},
              std::pair{"retry_ratio = 0.2", "retry_ratio = 0.3"},
              std::pair{"[bounds]", "[bounds]\nretry_window_s = 11"}})
            CPPUNIT_ASSERT_MESSAGE(to, needs_restart(before, parsed(from, to)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

} // namespace tanagerspur
