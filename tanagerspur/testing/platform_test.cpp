// Tests the formats of the platform: valid values are decoded in full, and an entry that violates
// the format in any way yields no replica and has no other effect.

#include "platform/codec.hpp"
#include "platform/kv_store.hpp"
#include "tanagerspur/common/base64.hpp"
#include "tanagerspur/testing/scripted_server.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace tanagerspur
{

namespace
{

const std::string replica_text =
    R"({"service":"desk","address":"10.1.2.3:8080","zone":"a","version":"v1","slots":2,)"
    R"("state":"ready","warmup-left-ms":1500,"seq":4,"born":1700000000000})";

const std::string configuration_text =
    R"({"version":7,"routes":[)"
    R"({"name":"r1","host":"h.example","prefix":"/a/","type":"idempotent","timeout-ms":400,)"
    R"("target-latency-ms":40,"priority":2,"gather":["s1","s2"],"max-attempts":2,"top-k":5,)"
    R"("min-coverage":0.75},)"
    R"({"name":"r2","host":"h.example","prefix":"/b/","type":"non_idempotent","timeout-ms":2500,)"
    R"("target-latency-ms":250,"priority":1,"max-attempts":1,)"
    R"("traffic-split":[{"service":"x","weight":3},{"service":"y","weight":1}]},)"
    R"({"name":"r3","host":"h.example","prefix":"/c/","type":"idempotent","timeout-ms":2500,)"
    R"("target-latency-ms":250,"priority":1,"max-attempts":2,"service":"z"}],)"
    R"("services":[{"name":"s1","health-path":"/health","max-connections":26}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000}})";

bool is_usable(const std::string& text)
{
    const replica_value value = platform::codec{}.decode_replica(replica_id{"i"}, text);
    return std::holds_alternative<replica_record>(value);
}

// Returns the entry with one field replaced by the JSON value, or removed if json is empty.
std::string with_field(const std::string& name, const std::string& json)
{
    boost::json::object entry = boost::json::parse(replica_text).as_object();
    entry.erase(name);
    if (!json.empty())
        entry[name] = boost::json::parse(json);
    return boost::json::serialize(entry);
}

} // namespace

class platform_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_test);
    CPPUNIT_TEST(decodes_replica);
    CPPUNIT_TEST(replica_with_malformed_field_is_rejected);
    CPPUNIT_TEST(truncated_or_altered_entries_are_decoded_safely);
    CPPUNIT_TEST(odd_values_of_other_writers_are_decoded_safely);
    CPPUNIT_TEST(replica_whose_key_is_no_header_value_is_rejected);
    CPPUNIT_TEST(decodes_configuration);
    CPPUNIT_TEST(malformed_configuration_is_rejected);
    CPPUNIT_TEST(host_entry_survives_round_trip);
    CPPUNIT_TEST(keys_are_classified);
    CPPUNIT_TEST(base64_round_trips_and_matches_known_values);
    CPPUNIT_TEST(store_calls_match_documented_format);
    CPPUNIT_TEST(store_failures_map_to_outcomes);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodes_replica()
    {
        const replica_value value =
            platform::codec{}.decode_replica(replica_id{"i-1"}, replica_text);
        const auto& record = std::get<replica_record>(value);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, record.id.value());
        CPPUNIT_ASSERT_EQUAL(std::string{"desk"}, record.service.value());
        CPPUNIT_ASSERT_EQUAL(std::string{"10.1.2.3:8080"}, to_string(record.address));
        CPPUNIT_ASSERT_EQUAL(2U, record.slots);
        CPPUNIT_ASSERT(record.warmup_left == duration{std::chrono::milliseconds{1'500}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'700'000'000'000}, record.started_ms);
    }

    void replica_with_malformed_field_is_rejected()
    {
        CPPUNIT_ASSERT(is_usable(with_field("unknown", "1")));
        for (const char* name :
             {"service", "address", "zone", "version", "slots", "state", "warmup-left-ms", "seq"})
        {
            CPPUNIT_ASSERT_MESSAGE(name, !is_usable(with_field(name, "")));
            CPPUNIT_ASSERT_MESSAGE(name, !is_usable(with_field(name, "null")));
            CPPUNIT_ASSERT_MESSAGE(name, !is_usable(with_field(name, "[1]")));
            CPPUNIT_ASSERT_MESSAGE(name, !is_usable(with_field(name, "true")));
        }
        for (const char* name : {"slots", "seq", "born", "warmup-left-ms"})
            for (const char* value : {"-1", "2.5", "\"2\"", "1e400"})
                CPPUNIT_ASSERT_MESSAGE(std::string{name} + value,
                                       !is_usable_with_field(name, value));
        CPPUNIT_ASSERT(!is_usable(with_field("slots", "0")));
        CPPUNIT_ASSERT(!is_usable(with_field("state", "\"gone\"")));
        for (const char* address :
             {"\"desk.example:80\"", "\"10.1.2.3\"", "\"10.1.2.3:0\"", "\"10.1.2.3:99999\""})
            CPPUNIT_ASSERT_MESSAGE(address, !is_usable(with_field("address", address)));
    }

    void truncated_or_altered_entries_are_decoded_safely()
    {
        for (std::size_t length = 0; length < replica_text.size(); ++length)
            CPPUNIT_ASSERT(!is_usable(replica_text.substr(0, length)));
        const bool holds = rc::check(
            []
            {
                std::string text = replica_text;
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
                is_usable(text);
                std::string configuration = configuration_text;
                configuration[*rc::gen::inRange<std::size_t>(0, configuration.size())] =
                    *rc::gen::arbitrary<char>();
                platform::codec{}.decode_configuration(configuration);
            });
        CPPUNIT_ASSERT(holds);
    }

    // Fuzzes the decoders with values of any shape, in each field and as a whole.
    void odd_values_of_other_writers_are_decoded_safely()
    {
        const std::vector<std::string> odd{std::string(500'000, '['),
                                           nested(20, "1"),
                                           nested(40, "1"),
                                           nested(100'000, "1"),
                                           R"({"a":)" + nested(31, "{}") + "}",
                                           "18446744073709551616",
                                           "18446744073709551615",
                                           "-9223372036854775809",
                                           "1e308",
                                           "1e400",
                                           "-1e400",
                                           std::string(400, '9'),
                                           "1.0",
                                           "\"10.1.2.3:65536\"",
                                           "\"10.1.2.3:18446744073709551697\"",
                                           "\"10.1.2.3:-1\"",
                                           "\"[::1]:80\"",
                                           "\"\\ud800\"",
                                           "\"\\u0000\"",
                                           "\"" + std::string(100'000, 'x') + "\"",
                                           "NaN",
                                           "",
                                           std::string("\0", 1)};
        const bool holds = rc::check(
            [&odd]
            {
                std::string text = *rc::gen::element(replica_text, configuration_text);
                const auto edits = *rc::gen::inRange(1, 4);
                for (int i = 0; i < edits; ++i)
                {
                    const auto from = *rc::gen::inRange<std::size_t>(0, text.size());
                    // A whole value, where one begins here.
                    const std::size_t begin = std::min(text.size(), text.find(':', from) + 1);
                    const std::size_t end = std::min(text.find_first_of(",}", begin), text.size());
                    text.replace(begin, end - begin, *rc::gen::elementOf(odd));
                }
                check_decoders(text);
            });
        CPPUNIT_ASSERT(holds);
        for (const std::string& each : odd)
            check_decoders(each);
    }

    void replica_whose_key_is_no_header_value_is_rejected()
    {
        const platform::codec codec;
        CPPUNIT_ASSERT(std::holds_alternative<replica_id>(codec.decode_key("servers/i-7f")));
        for (const char* id : {"", "a\r\nX-Request-Id: 1", "a b", "\x01", "\x7f", "\xc3\xa9"})
            CPPUNIT_ASSERT_MESSAGE(id, std::holds_alternative<unrecognized_key>(
                                           codec.decode_key(std::string{"servers/"} + id)));
    }

    void decodes_configuration()
    {
        const configuration_value value =
            platform::codec{}.decode_configuration(configuration_text);
        const auto& configuration_read = std::get<routing_configuration>(value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, configuration_read.version.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, configuration_read.routes.size());
        const route& scatter = configuration_read.routes[0];
        CPPUNIT_ASSERT(scatter.is_idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, scatter.scatter->shards.size());
        CPPUNIT_ASSERT_EQUAL(5U, scatter.scatter->top_records);
        CPPUNIT_ASSERT_EQUAL(0.75, scatter.scatter->min_coverage);
        const route& split = configuration_read.routes[1];
        CPPUNIT_ASSERT(!split.is_idempotent);
        CPPUNIT_ASSERT_EQUAL(3U, split.services[0].weight);
        CPPUNIT_ASSERT_EQUAL(std::string{"z"},
                             configuration_read.routes[2].services[0].service.value());
        CPPUNIT_ASSERT_EQUAL(26U, configuration_read.services.at(service_id{"s1"}).max_connections);
        CPPUNIT_ASSERT(configuration_read.limits.idle_timeout ==
                       duration{std::chrono::seconds{15}});
    }

    void malformed_configuration_is_rejected()
    {
        for (const auto& [from, to] :
             {std::pair{"\"idempotent\"", "\"sometimes\""}, std::pair{"\"/a/\"", "\"/a\""},
              std::pair{"0.75", "1.75"}, std::pair{"[\"s1\",\"s2\"]", "[]"},
              std::pair{"\"version\":7", "\"version\":0"}})
        {
            std::string text = configuration_text;
            text.replace(text.find(from), std::string_view{from}.size(), to);
            const configuration_value value = platform::codec{}.decode_configuration(text);
            CPPUNIT_ASSERT_MESSAGE(to, std::holds_alternative<malformed_value>(value));
        }
    }

    void host_entry_survives_round_trip()
    {
        const platform::codec codec;
        for (const bool is_ready : {false, true})
        {
            const host_record record{.id = host_id{"h"},
                                     .zone = zone_id{"a"},
                                     .callers = {.address = "10.0.0.1", .port = 80},
                                     .peers = {.address = "10.0.0.1", .port = 81},
                                     .capacity = 250,
                                     .load = 76,
                                     .is_ready = is_ready,
                                     .is_busy = is_ready,
                                     .is_leaving = !is_ready};
            const host_value read = codec.decode_host(record.id, codec.encode_host(record));
            const auto& decoded = std::get<host_record>(read);
            CPPUNIT_ASSERT(decoded.callers == record.callers && decoded.peers == record.peers);
            CPPUNIT_ASSERT(decoded.is_ready == is_ready && decoded.is_busy == is_ready);
            CPPUNIT_ASSERT(decoded.is_leaving == !is_ready);
            CPPUNIT_ASSERT_EQUAL(76U, decoded.load);
            CPPUNIT_ASSERT_EQUAL(250U, decoded.capacity);
        }
    }

    void keys_are_classified()
    {
        const platform::codec codec;
        CPPUNIT_ASSERT(std::holds_alternative<configuration_key>(codec.decode_key("op/config")));
        CPPUNIT_ASSERT(std::get<replica_id>(codec.decode_key("servers/i-1")).value() == "i-1");
        CPPUNIT_ASSERT(std::get<host_id>(codec.decode_key(codec.host_key(host_id{"h"}))).value() ==
                       "h");
        CPPUNIT_ASSERT(std::holds_alternative<unrecognized_key>(codec.decode_key("status/x")));
    }

    void base64_round_trips_and_matches_known_values()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"bm9kZS0x"}, encode_base64("node-1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"YQ=="}, encode_base64("a"));
        CPPUNIT_ASSERT(!decode_base64("YQ=") && !decode_base64("Y===") && !decode_base64("!!!!"));
        const bool holds = rc::check([](const std::string& bytes)
                                     { RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes); });
        CPPUNIT_ASSERT(holds);
    }

    void store_calls_match_documented_format()
    {
        boost::asio::io_context io;
        std::vector<std::string> heads;
        testing::scripted_server server(
            io,
            [&](const std::string& head)
            {
                heads.push_back(head.substr(0, head.find(" HTTP")));
                const bool is_range = head.find("kv-range") != std::string::npos;
                return json_answer(
                    200, is_range ? R"({"items":[{"key":"k","value":"YQ==","revision":4,)"
                                    R"("created":4,"lease":0}],"truncated":true,"as-of":9})"
                                  : R"({"events":[{"key":"k","revision":10,"tombstone":true}],)"
                                    R"("as-of":11})");
            });
        platform::kv_store store(io, {.store = server.address()});
        range_page page;
        change_list list;
        store.range("", "j/1", true, [&](range_page got) { page = std::move(got); });
        CPPUNIT_ASSERT(testing::run_until(io, [&] { return page.as_of.revision.value() == 9; }));
        CPPUNIT_ASSERT(page.is_truncated && page.items[0].value == "a");
        store.watch("", {.revision = store_revision{9}}, std::chrono::milliseconds{1'000},
                    [&](change_list got) { list = std::move(got); });
        CPPUNIT_ASSERT(testing::run_until(io, [&] { return list.as_of.revision.value() == 11; }));
        CPPUNIT_ASSERT(!list.changes[0].value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections());
        CPPUNIT_ASSERT(heads[0].find("after=j") != std::string::npos);
        CPPUNIT_ASSERT(heads[0].find("stale-ok=1") != std::string::npos);
        CPPUNIT_ASSERT(heads[1].find("after=9") != std::string::npos);
        CPPUNIT_ASSERT(heads[1].find("wait-ms=1000") != std::string::npos);
    }

    void store_failures_map_to_outcomes()
    {
        for (const auto& [status, body, expected] :
             {std::tuple{410, "{}", store_outcome::history_lost},
              std::tuple{503, "{}", store_outcome::unavailable},
              std::tuple{429, "{}", store_outcome::unavailable},
              std::tuple{200, "not json", store_outcome::unavailable},
              std::tuple{200, R"({"events":[{"key":1}],"as-of":1})", store_outcome::unavailable},
              std::tuple{200, R"({"events":[]})", store_outcome::unavailable}})
        {
            boost::asio::io_context io;
            testing::scripted_server server(io, [status = status, body = body](const std::string&)
                                            { return json_answer(status, body); });
            platform::kv_store store(io, {.store = server.address()});
            std::optional<store_outcome> outcome;
            store.watch("", {.revision = store_revision{1}}, std::chrono::milliseconds{10},
                        [&](const change_list& got) { outcome = got.outcome; });
            CPPUNIT_ASSERT(testing::run_until(io, [&] { return outcome.has_value(); }));
            CPPUNIT_ASSERT_MESSAGE(body, *outcome == expected);
        }
    }

private:
    static std::string nested(std::size_t depth, const std::string& inner)
    {
        return std::string(depth, '[') + inner + std::string(depth, ']');
    }

    // Decodes the text as each kind of value; what is accepted is within its bounds.
    static void check_decoders(const std::string& text)
    {
        const platform::codec codec;
        const replica_value replica = codec.decode_replica(replica_id{"i"}, text);
        if (const auto* record = std::get_if<replica_record>(&replica))
        {
            RC_ASSERT(record->address.port != 0);
            RC_ASSERT(record->slots >= 1U && record->slots <= 100'000U);
            RC_ASSERT(record->warmup_left <= std::chrono::hours{24});
        }
        codec.decode_configuration(text);
        codec.decode_host(host_id{"h"}, text);
        codec.decode_quarantine(request_fingerprint{"f"}, text);
    }

    // Also false if the value is not valid JSON.
    static bool is_usable_with_field(const char* name, const char* value)
    {
        boost::json::error_code error;
        const boost::json::value parsed = boost::json::parse(value, error);
        return !error && is_usable(with_field(name, value));
    }

    static testing::scripted_answer json_answer(int status, const std::string& body)
    {
        return {"HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);

} // namespace tanagerspur
