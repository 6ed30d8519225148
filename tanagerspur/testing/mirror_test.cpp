// Tests the mirror of the store, the relay between hosts and the registration of a host during
// outages, after lost history, with stale reads and with failed readers.

#include "stand_ins/memory_store.hpp"
#include "tanagerspur/net/http_server.hpp"
#include "tanagerspur/store/host_registration.hpp"
#include "tanagerspur/store/reader_choice.hpp"
#include "tanagerspur/store/relay_server.hpp"
#include "tanagerspur/store/relayed_store.hpp"
#include "tanagerspur/store/store_mirror.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <set>

namespace tanagerspur
{

namespace
{

using stand_ins::memory_store;
using testing::run_until;

using contents = std::map<std::string, std::string>;

// Records the keys and events that a mirror reports.
class recording_observer final : public mirror_observer
{
public:
    duration on_first_read(const std::vector<store_change>& /*items*/) override
    {
        ++m_first_reads;
        return m_first_wait;
    }
    void on_full_read(full_read_cause /*why*/, store_position /*as_of*/) override
    {
        ++m_full_reads;
    }
    void on_page_repeated(const std::string& /*last_key*/) override {}
    void on_store_restored(store_position now, store_position /*last_known*/) override
    {
        m_era = now.era;
    }
    void on_snapshot(const std::vector<store_change>& items) override
    {
        m_keys.clear();
        for (const store_change& each : items)
            m_keys[each.key] = *each.value;
        ++m_snapshots;
    }
    void on_change(const store_change& change) override
    {
        if (change.value)
            m_keys[change.key] = *change.value;
        else
            m_keys.erase(change.key);
    }
    void on_read() override
    {
        if (m_on_read)
            m_on_read();
    }
    void on_store_lost() override { ++m_lost; }
    void on_store_regained() override { ++m_regained; }

    contents m_keys;
    // Returned by each on_first_read().
    duration m_first_wait{0};
    int m_first_reads = 0;
    int m_snapshots = 0;
    int m_full_reads = 0;
    // The last era reported.
    store_era m_era;
    int m_lost = 0;
    int m_regained = 0;
    std::function<void()> m_on_read;
};

contents contents_of(const memory_store& store)
{
    contents found;
    for (const auto& [key, item] : store.items())
        found[key] = *item.value;
    return found;
}

store_position at(std::uint64_t revision, std::uint64_t era = 1)
{
    return {store_era{era}, store_revision{revision}};
}

mirror_options fast_options()
{
    return {.watch_wait = std::chrono::milliseconds{50},
            .coalesce_delay = std::chrono::milliseconds{1},
            .initial_backoff = std::chrono::milliseconds{2},
            .max_backoff = std::chrono::milliseconds{10}};
}

// Within this time a configuration is in force on all hosts of the smallest deployments.
constexpr duration configuration_bound = std::chrono::seconds{3};

reader_candidate make_candidate(const std::string& id, const std::string& zone,
                                std::uint32_t capacity)
{
    return {.id = host_id{id}, .zone = zone_id{zone}, .capacity = capacity};
}

} // namespace

class mirror_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mirror_test);
    CPPUNIT_TEST(mirror_converges_through_outages_and_lost_history);
    CPPUNIT_TEST(stale_first_read_is_hidden_until_caught_up);
    CPPUNIT_TEST(first_read_is_repeated_after_delay);
    CPPUNIT_TEST(reconnection_is_reported_before_new_changes);
    CPPUNIT_TEST(restored_store_hides_no_changes);
    CPPUNIT_TEST(restored_store_whose_revision_has_passed_hides_no_changes);
    CPPUNIT_TEST(change_log_returns_all_missing_changes);
    CPPUNIT_TEST(reader_relays_changes_and_outages);
    CPPUNIT_TEST(reader_start_is_not_reported_as_outage);
    CPPUNIT_TEST(relayed_outage_is_counted_once);
    CPPUNIT_TEST(follower_falls_back_to_store_when_reader_is_disconnected);
    CPPUNIT_TEST(hosts_following_each_other_still_receive_changes);
    CPPUNIT_TEST(short_reader_history_causes_no_full_read);
    CPPUNIT_TEST(reader_rejects_followers_above_limit);
    CPPUNIT_TEST(each_large_zone_has_a_reader);
    CPPUNIT_TEST(failed_store_is_not_retried_during_backoff);
    CPPUNIT_TEST(recovered_store_is_noticed_within_settling_time);
    CPPUNIT_TEST(silent_readers_do_not_keep_changes_from_host);
    CPPUNIT_TEST(readers_are_few_with_most_capacity_in_different_zones);
    CPPUNIT_TEST(entry_is_rewritten_after_lost_leases_and_outages);
    CPPUNIT_TEST(lease_of_another_host_is_not_used_after_restore);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io.emplace();
        m_store.emplace(*m_io);
    }

    void mirror_converges_through_outages_and_lost_history()
    {
        recording_observer observer;
        store_mirror mirror(*m_io, *m_store, fast_options(), observer);
        for (const char* key : {"a", "b", "c", "d", "e"})
            m_store->set(key, "1");
        mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys == contents_of(*m_store); }));
        m_store->set("b", "2");
        m_store->erase("c");
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys == contents_of(*m_store); }));
        m_store->set_away(true);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_lost == 1; }));
        m_store->erase("a");
        m_store->set("f", "1");
        m_store->set_away(false);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys == contents_of(*m_store); }));
        const int snapshots = observer.m_snapshots;
        m_store->set_away(true);
        m_store->erase("d");
        m_store->compact();
        m_store->set_away(false);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys == contents_of(*m_store); }));
        CPPUNIT_ASSERT(observer.m_snapshots > snapshots);
        CPPUNIT_ASSERT(mirror.is_connected());
    }

    void stale_first_read_is_hidden_until_caught_up()
    {
        recording_observer observer;
        store_mirror mirror(*m_io, *m_store, fast_options(), observer);
        m_store->set("replica", "ready");
        m_store->freeze_stale_reads();
        m_store->erase("replica");
        m_store->set("other", "ready");
        bool was_stale_state_shown = false;
        observer.m_on_read = [&] { was_stale_state_shown |= observer.m_keys.contains("replica"); };
        mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys.contains("other"); }));
        CPPUNIT_ASSERT(!was_stale_state_shown);
    }

    void first_read_is_repeated_after_delay()
    {
        recording_observer observer;
        observer.m_first_wait = std::chrono::milliseconds{10};
        store_mirror mirror(*m_io, *m_store, fast_options(), observer);
        mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_first_reads == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, observer.m_snapshots);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_snapshots == 1; }));
        CPPUNIT_ASSERT_EQUAL(2, observer.m_first_reads);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_store->calls().ranges);
    }

    void reconnection_is_reported_before_new_changes()
    {
        recording_observer observer;
        store_mirror mirror(*m_io, *m_store, fast_options(), observer);
        mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_regained == 1; }));
        m_store->set_away(true);
        m_store->set("x", "1");
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_lost == 1; }));
        observer.m_on_read = [&] { CPPUNIT_ASSERT_EQUAL(2, observer.m_regained); };
        m_store->set_away(false);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys.contains("x"); }));
    }

    void restored_store_hides_no_changes()
    {
        follow_restored_store([] {});
    }

    void restored_store_whose_revision_has_passed_hides_no_changes()
    {
        follow_restored_store(
            [this]
            {
                for (const char* key : {"g", "h", "i", "j", "k", "l"})
                    m_store->set(key, "1");
            });
    }

    void change_log_returns_all_missing_changes()
    {
        const bool holds = rc::check(
            []
            {
                change_log log{8};
                contents now;
                contents follower;
                store_position seen;
                std::uint64_t revision = 10;
                log.replace_all({}, at(revision));
                seen = at(revision);
                const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
                for (const int each : steps)
                {
                    const std::string key(1, static_cast<char>('a' + each % 5));
                    const store_position next = at(++revision);
                    if (each < 10)
                    {
                        log.add({.key = key, .value = std::to_string(each), .position = next});
                        now[key] = std::to_string(each);
                    }
                    else if (each < 15)
                    {
                        log.add({.key = key, .position = next});
                        now.erase(key);
                    }
                    else if (each < 18)
                    {
                        // Changes that become known through a full read.
                        now[key] = std::to_string(each);
                        now.erase("a");
                        std::vector<store_change> items;
                        for (const auto& [name, value] : now)
                            items.push_back({.key = name,
                                             .value = value,
                                             .position = name == key ? next : at(1)});
                        log.replace_all(items, next);
                    }
                    else
                        apply_to_follower(log, now, follower, seen);
                }
                apply_to_follower(log, now, follower, seen);
                RC_ASSERT(follower == now);
            });
        CPPUNIT_ASSERT(holds);
    }

    void reader_relays_changes_and_outages()
    {
        reader_host reader(*m_io, *m_store);
        follower_host follower(*m_io, *m_store, reader);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return reader.observer.m_regained == 1; }));
        follower.mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return follower.observer.m_regained >= 1; }));
        const std::uint64_t watches = m_store->calls().watches;
        m_store->set("x", std::string{"\0\xff", 2});
        CPPUNIT_ASSERT(
            run_until(*m_io, [&] { return follower.observer.m_keys == contents_of(*m_store); }));
        m_store->erase("x");
        CPPUNIT_ASSERT(
            run_until(*m_io, [&] { return follower.observer.m_keys == contents_of(*m_store); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, follower.relayed.counters().fallbacks);
        CPPUNIT_ASSERT(follower.relayed.counters().watches > 1);
        CPPUNIT_ASSERT(m_store->calls().watches > watches);
        m_store->set_away(true);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return follower.observer.m_lost >= 1; }));
    }

    // Followers keep entries that disappeared for a while after an outage. The start of a reader
    // must not be reported to them as an outage.
    void reader_start_is_not_reported_as_outage()
    {
        change_log log;
        log.replace_all({}, at(1));
        relay_server relay{log};
        const time_point now = boot_now();
        relay.set_connected(true, now);
        relay.set_reads_store(true, now);
        CPPUNIT_ASSERT(!had_recent_outage(relay));
        relay.set_connected(false, now);
        relay.set_connected(true, now);
        CPPUNIT_ASSERT(had_recent_outage(relay));
        relay.set_connected(true, now);
        CPPUNIT_ASSERT(had_recent_outage(relay));
    }

    // A reader reports an outage in several consecutive answers. If the follower counted each of
    // them, it would restart each time the period in which it keeps entries that disappeared.
    void relayed_outage_is_counted_once()
    {
        reader_host reader(*m_io, *m_store);
        follower_host follower(*m_io, *m_store, reader);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return reader.observer.m_regained == 1; }));
        reader.relay.set_connected(false, boot_now());
        reader.relay.set_connected(true, boot_now());
        follower.mirror.start();
        for (const char* key : {"a", "b", "c", "d"})
        {
            m_store->set(key, "1");
            CPPUNIT_ASSERT(
                run_until(*m_io, [&] { return follower.observer.m_keys.contains(key); }));
        }
        CPPUNIT_ASSERT_EQUAL(1, follower.observer.m_lost);
        CPPUNIT_ASSERT(follower.mirror.is_connected());
    }

    void follower_falls_back_to_store_when_reader_is_disconnected()
    {
        std::optional<reader_host> reader{std::in_place, *m_io, *m_store};
        relayed_store relayed(*m_io, *m_store, {.call_timeout = std::chrono::milliseconds{100}});
        relayed.set_readers({reader->candidate()});
        recording_observer observer;
        store_mirror follower(*m_io, relayed, fast_options(), observer);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return reader->observer.m_regained == 1; }));
        follower.start();
        m_store->set("x", "1");
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys.contains("x"); }));
        reader->disconnect_from_store();
        m_store->set("y", "1");
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return observer.m_keys.contains("y"); }));
        CPPUNIT_ASSERT(relayed.counters().fallbacks > 0);
        CPPUNIT_ASSERT(follower.is_connected());
    }

    // While hosts see different lists, two hosts may each regard the other as a reader and follow
    // it, which must not cut both off from changes.
    void hosts_following_each_other_still_receive_changes()
    {
        following_host first(*m_io, *m_store);
        following_host second(*m_io, *m_store);
        first.follow(second);
        second.follow(first);
        const auto have_key = [&](const std::string& key)
        {
            first.relay.tick(boot_now());
            second.relay.tick(boot_now());
            return first.observer.m_keys.contains(key) && second.observer.m_keys.contains(key);
        };
        for (const char* key : {"a", "b", "c", "d", "e"})
        {
            m_store->set(key, "1");
            CPPUNIT_ASSERT_MESSAGE(key, run_until(*m_io, [&] { return have_key(key); }));
            // Gives each host time to follow the other one again.
            m_io->restart();
            m_io->run_for(std::chrono::milliseconds{40});
        }
    }

    void short_reader_history_causes_no_full_read()
    {
        m_store->set("x", "1");
        m_store->set("y", "1");
        reader_host reader(*m_io, *m_store);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return reader.observer.m_regained == 1; }));
        relayed_store relayed(*m_io, *m_store, {.call_timeout = std::chrono::milliseconds{200}});
        relayed.set_readers({reader.candidate()});
        const std::uint64_t ranges = m_store->calls().ranges;
        std::optional<change_list> received;
        relayed.watch("", at(1), std::chrono::milliseconds{5},
                      [&received](change_list list) { received = std::move(list); });
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return received.has_value(); }));
        CPPUNIT_ASSERT(received->outcome == store_outcome::ok);
        CPPUNIT_ASSERT(!received->changes.empty());
        CPPUNIT_ASSERT_EQUAL(ranges, m_store->calls().ranges);
    }

    void reader_rejects_followers_above_limit()
    {
        change_log log;
        log.replace_all({}, at(5));
        relay_server relay{log, {.max_followers = 2}};
        relay.set_connected(true, boot_now());
        relay.set_reads_store(true, boot_now());
        std::vector<int> statuses;
        for (std::uint64_t token = 1; token <= 3; ++token)
            relay.handle(make_relay_call(at(5), std::chrono::seconds{1}), token,
                         [&statuses](const http_reply& reply)
                         { statuses.push_back(reply.status); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, relay.waiting());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statuses.size());
        CPPUNIT_ASSERT_EQUAL(503, statuses[0]);
        // A host that no longer reads the store itself refuses all pending and new waits.
        relay.set_reads_store(false, boot_now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, relay.waiting());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, statuses.size());
        CPPUNIT_ASSERT_EQUAL(503, statuses[2]);
        relay.handle(make_relay_call(at(5), std::chrono::seconds{1}), 4,
                     [&statuses](const http_reply& reply) { statuses.push_back(reply.status); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, statuses.size());
        CPPUNIT_ASSERT_EQUAL(503, statuses[3]);
    }

    void each_large_zone_has_a_reader()
    {
        std::vector<reader_candidate> hosts;
        for (const char* zone : {"a", "b", "c", "d", "e"})
            for (int i = 0; i < 6; ++i)
            {
                hosts.push_back(make_candidate(zone + std::to_string(i), zone, 500));
                // Among equals, hosts whose addresses are given to callers are chosen last.
                hosts.back().is_advertised = i < 3;
            }
        const std::vector<reader_candidate> readers = choose_readers(hosts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, readers.size());
        std::set<zone_id> zones;
        for (const reader_candidate& each : readers)
        {
            zones.insert(each.zone);
            CPPUNIT_ASSERT(!each.is_advertised);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, zones.size());
    }

    void failed_store_is_not_retried_during_backoff()
    {
        relayed_store relayed(*m_io, *m_store);
        relayed.set_readers({make_candidate("gone", "a", 1)});
        m_store->set_away(true);
        int failures = 0;
        const std::function<void(const change_list&)> repeat_watch = [&](const change_list& list)
        {
            CPPUNIT_ASSERT(list.outcome == store_outcome::unavailable);
            if (++failures < 20)
                relayed.watch("", at(1), std::chrono::milliseconds{1}, repeat_watch);
        };
        relayed.watch("", at(1), std::chrono::milliseconds{1}, repeat_watch);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return failures == 20; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_store->calls().watches);
    }

    // All readers have failed, and a call to the store is silently lost just before the store
    // answers again. Deployments count as settled four seconds after that, so changes must arrive
    // by then.
    void recovered_store_is_noticed_within_settling_time()
    {
        unresponsive_store direct(*m_io, *m_store);
        relayed_store relayed(*m_io, direct);
        relayed.set_readers({make_candidate("gone", "a", 1)});
        recording_observer observer;
        store_mirror mirror(*m_io, relayed, {}, observer);
        mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, [&observer] { return observer.m_regained == 1; }));
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{100});
        // The next watch is lost.
        direct.is_unresponsive = true;
        CPPUNIT_ASSERT(run_until(*m_io, [&direct] { return direct.lost_watches == 1; }));
        direct.is_unresponsive = false;
        m_store->set("x", "1");
        const time_point returned = boot_now();
        while (!observer.m_keys.contains("x") && boot_now() < returned + std::chrono::seconds{8})
            run_until(*m_io, [&observer] { return observer.m_keys.contains("x"); });
        CPPUNIT_ASSERT(observer.m_keys.contains("x"));
        CPPUNIT_ASSERT(boot_now() - returned < std::chrono::seconds{4});
    }

    // Each reader is tried again before the last one has failed.
    void silent_readers_do_not_keep_changes_from_host()
    {
        std::deque<testing::scripted_server> silent;
        std::vector<reader_candidate> readers;
        for (const char* id : {"1", "2", "3", "4", "5", "6"})
        {
            silent.emplace_back(*m_io,
                                [](const std::string&) { return testing::scripted_answer{}; });
            readers.push_back(make_candidate(id, "a", 1));
            readers.back().peers = silent.back().address();
        }
        relayed_store relayed(*m_io, *m_store);
        relayed.set_readers(std::move(readers));
        bool is_answered = false;
        relayed.watch("", at(1), std::chrono::milliseconds{1},
                      [&is_answered](const change_list&) { is_answered = true; });
        const time_point begun = boot_now();
        while (!is_answered && boot_now() < begun + configuration_bound)
            run_until(*m_io,
                      [&] { return is_answered || boot_now() > begun + configuration_bound; });
        CPPUNIT_ASSERT(is_answered);
    }

    void readers_are_few_with_most_capacity_in_different_zones()
    {
        std::vector<reader_candidate> hosts;
        hosts.reserve(70);
        for (int i = 0; i < 70; ++i)
            hosts.push_back(
                make_candidate("h" + std::to_string(i), i % 2 == 0 ? "a" : "b", i < 4 ? 500 : 120));
        const std::vector<reader_candidate> readers = choose_readers(hosts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers.size());
        CPPUNIT_ASSERT(readers[0].zone != readers[1].zone);
        for (const reader_candidate& each : readers)
            CPPUNIT_ASSERT_EQUAL(500U, each.capacity);
        std::reverse(hosts.begin(), hosts.end());
        CPPUNIT_ASSERT(choose_readers(hosts)[0].id == readers[0].id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{181}, choose_readers({7'200, hosts[0]}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose_readers({hosts[0]}).size());
    }

    void entry_is_rewritten_after_lost_leases_and_outages()
    {
        host_registration registration(*m_io, *m_store,
                                       {.key = "me",
                                        .renew_interval = std::chrono::milliseconds{5},
                                        .initial_retry_delay = std::chrono::milliseconds{2},
                                        .max_retry_delay = std::chrono::milliseconds{5}});
        const auto has = [&](const char* value)
        {
            const auto found = m_store->items().find("me");
            return found != m_store->items().end() && found->second.value == value;
        };
        registration.publish("1");
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return has("1"); }));
        m_store->end_all_leases();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return has("1"); }));
        m_store->set_away(true);
        registration.publish("2");
        m_store->end_all_leases();
        m_io->restart();
        m_io->run_for(std::chrono::milliseconds{20});
        m_store->set_away(false);
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return has("2"); }));
        // The entry disappears although its lease is still valid.
        m_store->erase("me");
        registration.entry_lost();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return has("2"); }));
        registration.withdraw();
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return !m_store->items().contains("me"); }));
    }

    void lease_of_another_host_is_not_used_after_restore()
    {
        m_store->take_copy();
        host_registration registration(
            *m_io, *m_store, {.key = "me", .renew_interval = std::chrono::milliseconds{5}});
        registration.publish("1");
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_store->items().contains("me"); }));
        m_store->restore_copy();
        lease_grant other;
        m_store->open_lease(std::chrono::seconds{10},
                            [&other](const lease_grant& grant) { other = grant; });
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return m_store->items().contains("me"); }));
        bool has_ended = false;
        m_store->end_lease(other.lease, [&has_ended](store_outcome) { has_ended = true; });
        CPPUNIT_ASSERT(run_until(*m_io, [&] { return has_ended; }));
        CPPUNIT_ASSERT(m_store->items().contains("me"));
    }

private:
    // A reader and a follower, whose store is restored from a copy and then written by others.
    void follow_restored_store(const std::function<void()>& write_while_away)
    {
        m_store->page_size = 100;
        reader_host reader(*m_io, *m_store);
        follower_host follower(*m_io, *m_store, reader);
        const auto are_current = [&]
        {
            return reader.observer.m_keys == contents_of(*m_store) &&
                   follower.observer.m_keys == contents_of(*m_store);
        };
        m_store->set("a", "1");
        m_store->set("b", "1");
        follower.mirror.start();
        CPPUNIT_ASSERT(run_until(*m_io, are_current));
        m_store->take_copy();
        m_store->set("a", "2");
        m_store->erase("b");
        for (const char* key : {"c", "d", "e"})
            m_store->set(key, "1");
        CPPUNIT_ASSERT(run_until(*m_io, are_current));
        const std::uint64_t ranges = m_store->calls().ranges;
        m_store->set_away(true);
        m_store->restore_copy();
        write_while_away();
        m_store->set_away(false);
        CPPUNIT_ASSERT(run_until(*m_io, are_current));
        m_store->set("f", "1");
        CPPUNIT_ASSERT(run_until(*m_io, are_current));
        CPPUNIT_ASSERT(m_store->calls().ranges <= ranges + 2);
    }

    static bool had_recent_outage(relay_server& relay)
    {
        bool seen = false;
        relay.handle(make_relay_call(at(1), duration{0}), 1,
                     [&seen](const http_reply& reply)
                     { seen = decode_relay_answer(reply).had_recent_outage; });
        return seen;
    }

    // A host that reads the store and relays its changes.
    struct reader_host
    {
        reader_host(boost::asio::io_context& io, shared_store& store)
            : mirror(io, store, fast_options(), observer)
            , relay(mirror.log())
        {
            // The port is taken from the system and may be lost to another program in between.
            for (std::uint16_t port = 21'000; !http; ++port)
            {
                listen = {.address = "127.0.0.1", .port = port};
                http.emplace(io, http_server_options{.listen = listen}, relay);
                if (!http->start().empty())
                    http.reset();
            }
            observer.m_on_read = [this]
            {
                relay.set_connected(mirror.is_connected(), boot_now());
                relay.set_reads_store(true, boot_now());
                relay.publish(boot_now());
                relay.tick(boot_now());
            };
            mirror.start();
        }

        reader_candidate candidate() const
        {
            reader_candidate made = make_candidate("reader", "a", 1);
            made.peers = listen;
            return made;
        }

        // Simulates that the reader can no longer reach the store.
        void disconnect_from_store()
        {
            observer.m_on_read = nullptr;
            relay.set_connected(false, boot_now());
        }

        recording_observer observer;
        store_mirror mirror;
        relay_server relay;
        endpoint listen;
        std::optional<http_server> http;
    };

    // A store whose watches can be silently lost. A lost watch fails after its wait and the timeout
    // for its answer.
    struct unresponsive_store final : shared_store
    {
        unresponsive_store(boost::asio::io_context& context, shared_store& inner)
            : io(context)
            , store(inner)
        {
        }

        void range(const std::string& prefix, const std::string& after_key, bool may_be_stale,
                   page_handler handler) override
        {
            store.range(prefix, after_key, may_be_stale, std::move(handler));
        }
        void watch(const std::string& prefix, store_position after, duration wait,
                   change_handler handler) override
        {
            if (!is_unresponsive)
                return store.watch(prefix, after, wait, std::move(handler));
            ++lost_watches;
            auto timer = std::make_shared<boost::asio::steady_timer>(
                io, wait + std::chrono::milliseconds{700});
            timer->async_wait([timer, handler](boost::system::error_code) { handler({}); });
        }
        void open_lease(duration length, lease_handler handler) override
        {
            store.open_lease(length, std::move(handler));
        }
        void renew_lease(lease_id lease, done_handler handler) override
        {
            store.renew_lease(lease, std::move(handler));
        }
        void end_lease(lease_id lease, done_handler handler) override
        {
            store.end_lease(lease, std::move(handler));
        }
        void put(const std::string& key, const std::string& value, lease_id lease,
                 done_handler handler) override
        {
            store.put(key, value, lease, std::move(handler));
        }
        store_era era() const override { return store.era(); }
        shared_store_calls calls() const override { return store.calls(); }

        boost::asio::io_context& io;
        shared_store& store;
        bool is_unresponsive = false;
        int lost_watches = 0;
    };

    // A host that follows another host and relays the changes it receives, as all hosts do.
    struct following_host
    {
        following_host(boost::asio::io_context& io, shared_store& store)
            : relayed(io, store,
                      {.call_timeout = std::chrono::milliseconds{200},
                       .failed_reader_backoff = std::chrono::milliseconds{10},
                       .fallback_wait = std::chrono::milliseconds{20}})
            , mirror(io, relayed, fast_options(), observer)
            , relay(mirror.log())
        {
            for (std::uint16_t port = 22'000; !http; ++port)
            {
                listen = {.address = "127.0.0.1", .port = port};
                http.emplace(io, http_server_options{.listen = listen}, relay);
                if (!http->start().empty())
                    http.reset();
            }
            observer.m_on_read = [this]
            {
                relay.set_connected(mirror.is_connected(), boot_now());
                relay.set_reads_store(relayed.reads_store(), boot_now());
                relay.publish(boot_now());
                relay.tick(boot_now());
            };
        }

        void follow(const following_host& reader)
        {
            reader_candidate reader_entry = make_candidate("other", "a", 1);
            reader_entry.peers = reader.listen;
            relayed.set_readers({reader_entry});
            mirror.start();
        }

        recording_observer observer;
        relayed_store relayed;
        store_mirror mirror;
        relay_server relay;
        endpoint listen;
        std::optional<http_server> http;
    };

    // A host that follows the reader.
    struct follower_host
    {
        follower_host(boost::asio::io_context& io, shared_store& store, const reader_host& reader)
            : relayed(io, store, {.call_timeout = std::chrono::milliseconds{200}})
            , mirror(io, relayed, fast_options(), observer)
        {
            relayed.set_readers({reader.candidate()});
        }

        recording_observer observer;
        relayed_store relayed;
        store_mirror mirror;
    };

    static void apply_to_follower(const change_log& log, const contents& now, contents& follower,
                                  store_position& seen)
    {
        const auto changes = log.since(seen);
        if (changes)
            for (const store_change& each : *changes)
                if (each.value)
                    follower[each.key] = *each.value;
                else
                    follower.erase(each.key);
        else
            follower = now; // The follower reads the store itself.
        seen = log.as_of();
        RC_ASSERT(follower == now);
    }

    std::optional<boost::asio::io_context> m_io;
    std::optional<memory_store> m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(mirror_test);

} // namespace tanagerspur
