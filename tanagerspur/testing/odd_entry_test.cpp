// Tests that an entry of another writer among those of the replicas neither ends a host nor keeps
// it from following the others.

#include "platform/header_names.hpp"
#include "platform/kv_store.hpp"
#include "stand_ins/kv_stand_in.hpp"
#include "tanagerspur/store/http_store.hpp"
#include "tanagerspur/store/relay_server.hpp"
#include "tanagerspur/store/store_mirror.hpp"
#include "tanagerspur/testing/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tanagerspur::testing
{

namespace
{

// Names with the characters that have a meaning in a URL, a form or JSON, and with bytes outside of
// ASCII.
const std::vector<std::string>& odd_names()
{
    static const std::vector<std::string> names{"a&b",
                                                "a+b",
                                                "a#b",
                                                "a%b",
                                                "a%2Bb",
                                                "a b",
                                                "a=b",
                                                "a?b",
                                                "a/b",
                                                "a;b",
                                                "a,b",
                                                "a:b",
                                                "a@b",
                                                "a\"b",
                                                "a\\b",
                                                "a\001b",
                                                "+",
                                                "%",
                                                " a ",
                                                "a+",
                                                "a%",
                                                "a\xc3\xa9",
                                                "a\xf0\x9f\x98\x80",
                                                "servers/a",
                                                "a\x7f"};
    return names;
}

// Keeps the keys of the store as a mirror reports them.
class key_observer final : public mirror_observer
{
public:
    duration on_first_read(const std::vector<store_change>& /*items*/) override { return {}; }
    void on_full_read(full_read_cause /*why*/, store_position /*as_of*/) override {}
    void on_page_repeated(const std::string& last_key) override
    {
        m_repeated_pages.push_back(last_key);
    }
    void on_store_restored(store_position /*now*/, store_position /*last_known*/) override {}
    void on_snapshot(const std::vector<store_change>& items) override
    {
        m_has_snapshot = true;
        for (const store_change& each : items)
            m_keys.push_back(each.key);
    }
    void on_change(const store_change& change) override { m_keys.push_back(change.key); }
    void on_read() override {}
    void on_store_lost() override {}
    void on_store_regained() override {}

    bool m_has_snapshot = false;
    std::vector<std::string> m_keys;
    // Last keys of pages that came twice.
    std::vector<std::string> m_repeated_pages;
};

} // namespace

class odd_entry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_entry_test);
    CPPUNIT_TEST(odd_entry_does_not_keep_host_from_following_others);
    CPPUNIT_TEST(unexpected_exception_at_entry_does_not_fail_snapshot);
    CPPUNIT_TEST(any_text_survives_as_parameter_of_query);
    CPPUNIT_TEST(odd_name_last_on_page_does_not_repeat_page);
    CPPUNIT_TEST(unreadable_item_does_not_fail_page_or_watch);
    CPPUNIT_TEST(removed_item_of_page_is_left_out);
    CPPUNIT_TEST(repeated_page_is_not_read_without_end);
    CPPUNIT_TEST(key_that_is_not_utf8_does_not_fail_relayed_changes);
    CPPUNIT_TEST(odd_line_does_not_fail_host_list);
    CPPUNIT_TEST_SUITE_END();

public:
    void odd_entry_does_not_keep_host_from_following_others()
    {
        const auto plain = [](const std::string&) { return scripted_answer{}; };
        gateway_fixture fixture;
        // Some are there when the host starts, the others come later.
        fixture.put_odd_entry("nested", std::string(200'000, '[') + std::string(200'000, ']'));
        fixture.add_replica("first", plain);
        fixture.put_odd_entry("port", entry_with("address", R"("127.0.0.1:99999")"));
        fixture.start();
        fixture.put_odd_entry("number", entry_with("slots", "1e999"));
        fixture.put_odd_entry("long", entry_with("seq", std::string(500, '9')));
        fixture.put_odd_entry("", entry_with("seq", "1"));
        fixture.put_odd_entry("a\r\nX-Request-Id: 1", entry_with("seq", "1"));
        fixture.put_odd_entry("object", std::string(200'000, '{'));
        fixture.put_odd_entry("bytes", std::string("\0\xff\xfe", 3));
        fixture.run_for(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT(fixture.request().starts_with("HTTP/1.1 200"));
        fixture.add_replica("second", plain);
        fixture.run_for(std::chrono::milliseconds{300});
        fixture.remove_entry("first");
        fixture.run_for(std::chrono::milliseconds{300});
        CPPUNIT_ASSERT(fixture.request().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_arrivals["first"].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_arrivals["second"].size());
    }

    void unexpected_exception_at_entry_does_not_fail_snapshot()
    {
        gateway_fixture fixture;
        fixture.fail_decoding_of("a");
        fixture.put_odd_entry("a", "{}");
        fixture.fail_decoding_of("b");
        fixture.add_host("b");
        fixture.add_replica("good", [](const std::string&) { return scripted_answer{}; });
        fixture.start();
        CPPUNIT_ASSERT(fixture.request().starts_with("HTTP/1.1 200"));
    }

    // A store may read a query as a form, in which a plus sign stands for a blank.
    void any_text_survives_as_parameter_of_query()
    {
        const auto check_text = [](const std::string& text)
        {
            const std::string escaped = escape_parameter(text);
            RC_ASSERT(escaped.find_first_of("+ &#=?") == std::string::npos);
            http_call read;
            RC_ASSERT(parse_target("/p?v=" + escaped + "&w=1", read));
            RC_ASSERT(read.parameters.at("v") == text);
            RC_ASSERT(read.parameters.at("w") == "1");
        };
        const bool holds = rc::check(
            [&check_text]
            {
                check_text(*rc::gen::elementOf(odd_names()));
                check_text(*rc::gen::arbitrary<std::string>());
            });
        CPPUNIT_ASSERT(holds);
    }

    // The next page begins after the last key of the one before. With a key that is read as another
    // one, the same page would come again and the first read would not end.
    void odd_name_last_on_page_does_not_repeat_page()
    {
        boost::asio::io_context io;
        const endpoint address = free_endpoint(io);
        stand_ins::kv_stand_in platform_store(io, address, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{}, platform_store.start());
        platform_store.store().page_size = 1;
        for (const std::string& each : odd_names())
            platform_store.store().set(platform::replica_prefix + each, "{}");
        platform::kv_store store(io, {.store = address});
        key_observer observer;
        store_mirror mirror(io, store, {}, observer);
        mirror.start();
        CPPUNIT_ASSERT(run_until(io, [&observer] { return observer.m_has_snapshot; }));
        std::vector<std::string> expected;
        for (const auto& [key, item] : platform_store.store().items())
            expected.push_back(key);
        CPPUNIT_ASSERT(observer.m_keys == expected);
    }

    // What another writer stored: a value that is not base64 text, or is none, and keys that are
    // not valid Unicode.
    void unreadable_item_does_not_fail_page_or_watch()
    {
        for (const std::string odd :
             {R"("key":"servers/o","value":"*")", R"("key":"servers/o")",
              R"("key":"servers/o","value":null)", R"("key":"servers/o","value":[7])",
              R"("key":"servers/\ud800","value":"e30=")",
              R"("key":"servers/\udc00\ud800","value":"e30=")",
              R"("key":"servers/\\ud800\udfff","value":"e30=")",
              "\"key\":\"servers/\xff\xfe\",\"value\":\"e30=\""})
        {
            std::string items = R"([{"key":"servers/a","value":"e30=","revision":4},{)";
            items.append(odd).append(R"(,"revision":5},)");
            items.append(R"({"key":"servers/z","value":"e30=","revision":6}])");
            std::string body = R"({"as-of":6,"truncated":false,"items":)";
            body.append(items).append(R"(,"events":)").append(items).append("}");
            boost::asio::io_context io;
            scripted_server server(io, [&body](const std::string&) { return ok_answer(body); });
            platform::kv_store store(io, {.store = server.address()});
            std::optional<range_page> page;
            std::optional<change_list> list;
            store.range("", "", false, [&page](range_page read) { page = std::move(read); });
            store.watch("", {.revision = store_revision{3}}, std::chrono::milliseconds{10},
                        [&list](change_list read) { list = std::move(read); });
            CPPUNIT_ASSERT_MESSAGE(odd, run_until(io, [&] { return page && list; }));
            CPPUNIT_ASSERT_MESSAGE(odd, page->outcome == store_outcome::ok);
            CPPUNIT_ASSERT_MESSAGE(odd, list->outcome == store_outcome::ok);
            check_others_are_usable(odd, page->items);
            check_others_are_usable(odd, list->changes);
        }
    }

    // Pages hold items that exist; readers of a page rely on their values.
    void removed_item_of_page_is_left_out()
    {
        boost::asio::io_context io;
        scripted_server server(
            io,
            [](const std::string&)
            {
                return ok_answer(
                    R"({"as-of":6,"truncated":false,"items":[{"key":"servers/a","value":"e30=",)"
                    R"("revision":4},{"key":"servers/o","tombstone":true,"revision":5}]})");
            });
        platform::kv_store store(io, {.store = server.address()});
        std::optional<range_page> page;
        store.range("", "", false, [&page](range_page read) { page = std::move(read); });
        CPPUNIT_ASSERT(run_until(io, [&page] { return page.has_value(); }));
        CPPUNIT_ASSERT(page->outcome == store_outcome::ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page->items.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"servers/a"}, page->items[0].key);
    }

    // A store that takes the last key of a page for another one gives the same pages again. The
    // delays between the reads are at least 30, 60, 120 and 240 ms, and each reads three pages.
    void repeated_page_is_not_read_without_end()
    {
        boost::asio::io_context io;
        int requests = 0;
        bool is_last_page = false;
        scripted_server server(io,
                               [&](const std::string&)
                               {
                                   const std::string key =
                                       ++requests % 2 == 0 ? "servers/a" : "servers/b";
                                   return ok_answer(R"({"as-of":6,"truncated":)" +
                                                    std::string{is_last_page ? "false" : "true"} +
                                                    R"(,"events":[],"items":[{"key":")" + key +
                                                    R"(","value":"e30=","revision":4}]})");
                               });
        platform::kv_store store(io, {.store = server.address()});
        key_observer observer;
        store_mirror mirror(io, store, {}, observer);
        mirror.start();
        io.run_for(std::chrono::milliseconds{400});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(requests), requests <= 4 * 3);
        CPPUNIT_ASSERT(!observer.m_repeated_pages.empty());
        CPPUNIT_ASSERT(observer.m_repeated_pages[0].starts_with("servers/"));
        CPPUNIT_ASSERT(!observer.m_has_snapshot);
        is_last_page = true;
        CPPUNIT_ASSERT(run_until(io, [&observer] { return observer.m_has_snapshot; }));
    }

    void key_that_is_not_utf8_does_not_fail_relayed_changes()
    {
        const store_position begin{store_era{1}, store_revision{1}};
        change_log log;
        log.replace_all({}, begin);
        log.add(
            {.key = "servers/\xff", .value = "{}", .position = {store_era{1}, store_revision{2}}});
        log.add({.key = "servers/a", .value = "", .position = {store_era{1}, store_revision{3}}});
        relay_server relay(log);
        relay.set_connected(true, boot_now());
        relay.set_reads_store(true, boot_now());
        change_list list;
        relay.handle(make_relay_call(begin, duration{0}), 1,
                     [&list](const http_reply& reply) { list = decode_relay_answer(reply); });
        CPPUNIT_ASSERT(list.outcome == store_outcome::ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list.changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"servers/\xff"}, list.changes[0].key);
        CPPUNIT_ASSERT_EQUAL(std::string{"servers/a"}, list.changes[1].key);
        CPPUNIT_ASSERT_EQUAL(std::string{}, list.changes[1].value.value());
    }

    // A port that is out of range would name another one after its conversion.
    void odd_line_does_not_fail_host_list()
    {
        const auto line = [](const std::string& id, const std::string& port) {
            return R"({"id":")" + id + R"(","address":"10.0.0.1","role":"target","port":)" + port +
                   "}";
        };
        for (const std::string& odd :
             {line("\xff", "80"), line("\\ud800", "80"), line("odd", "65616"), line("odd", "-1"),
              line("odd", "\"80\""), line("odd", "1e2"), line("", "80"), std::string{"7"}})
        {
            const host_list list = parse_host_list(R"({"hosts":[)" + line("first", "80") + "," +
                                                   odd + "," + line("last", "80") + "]}");
            CPPUNIT_ASSERT_MESSAGE(odd, list.available);
            CPPUNIT_ASSERT_MESSAGE(odd, list.hosts.size() >= 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string{"first"}, list.hosts.front().id.value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string{"last"}, list.hosts.back().id.value());
            for (const listed_host& each : list.hosts)
                CPPUNIT_ASSERT_MESSAGE(odd, each.id.value() != "odd");
        }
    }

private:
    static scripted_answer ok_answer(const std::string& body)
    {
        return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body};
    }

    // The second of three is the odd one.
    static void check_others_are_usable(const std::string& odd,
                                        const std::vector<store_change>& items)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{3}, items.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string{"servers/a"}, items[0].key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string{"{}"}, items[0].value.value());
        // A value, if only an empty one: an item without one would be the removal of its key.
        CPPUNIT_ASSERT_MESSAGE(odd, items[1].key.starts_with("servers/"));
        CPPUNIT_ASSERT_MESSAGE(odd, items[1].value.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string{"servers/z"}, items[2].key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string{"{}"}, items[2].value.value());
    }

    // An entry that would be usable with another value of the field.
    static std::string entry_with(const std::string& name, const std::string& value)
    {
        const auto field = [&](const char* each, const char* usual)
        { return "\"" + std::string{each} + "\":" + (name == each ? value : usual); };
        return "{" + field("service", R"("z")") + "," + field("address", R"("127.0.0.1:1")") + "," +
               field("zone", R"("a")") + "," + field("version", R"("v1")") + "," +
               field("slots", "4") + "," + field("state", R"("ready")") + "," +
               field("warmup-left-ms", "0") + "," + field("seq", "1") + "," + field("born", "1") +
               "}";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entry_test);

} // namespace tanagerspur::testing
