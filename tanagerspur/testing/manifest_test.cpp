#include "tanagerspur/manifest/configuration.hpp"
#include "tanagerspur/manifest/manifest.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace tanagerspur
{

namespace
{

const std::string valid = R"([manifest]
deployment = test
[service desk]
slots = 2
max_connections = 25
layouts = main
[layout desk/main]
shard.0 = 127.0.0.1:9000@a, 127.0.0.2:9000@b
shard.1 = 127.0.0.3:9000@a
)";

std::string error_of(const std::string& text)
{
    const auto parsed = capture([&] { return parse_manifest("file.ini", text); });
    const auto* error = std::get_if<input_error>(&parsed);
    return error != nullptr ? to_string(*error) : "";
}

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = valid;
    return text.replace(text.find(from), from.size(), to);
}

void check_error(const std::string& text, const std::string& part)
{
    const std::string error = error_of(text);
    CPPUNIT_ASSERT_MESSAGE("\"" + error + "\" lacks \"" + part + "\"",
                           error.find(part) != std::string::npos);
}

std::string read_example(const std::string& name)
{
    std::ifstream file(std::string{SOURCE_FOLDER} + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

class manifest_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(manifest_test);
    CPPUNIT_TEST(reads_services_and_shards);
    CPPUNIT_TEST(names_the_place_of_an_error);
    CPPUNIT_TEST(survives_every_truncation_and_byte_change);
    CPPUNIT_TEST(examples_have_the_sizes_of_today);
    CPPUNIT_TEST(configuration_never_goes_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_services_and_shards()
    {
        const auto parsed = capture([] { return parse_manifest("file.ini", valid); });
        const auto& made = std::get<manifest>(parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, made.shards().size());
        const service* desk = made.find(service_id{"desk"});
        CPPUNIT_ASSERT(desk != nullptr);
        CPPUNIT_ASSERT_EQUAL(3U, desk->limits.in_flight_limit());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, desk->layouts[0].shards[0].size());
    }

    void names_the_place_of_an_error()
    {
        check_error(replaced("slots = 2", "slots = 0"),
                    "file.ini: [service desk] slots: expected requests from 1");
        check_error(replaced("slots = 2", "slots = x"), "[service desk] slots");
        check_error(replaced("slots = 2", "slotz = 2"), "[service desk] slots");
        check_error(replaced("max_connections = 25", "max_connections = 4"), "max_connections");
        check_error(valid + "shardd.2 = x\n", "shardd.2: expected no such key");
        check_error(valid + "[other]\nkey = 1\n", "unknown section");
        check_error(valid + "[manifest]\ndeployment = x\n", "duplicate section");
        check_error(replaced("127.0.0.3:9000@a", "127.0.0.1:9000@a"), "each address once");
        check_error(replaced("127.0.0.3:9000@a", "localhost:9000@a"), "IP number");
        check_error(replaced("layouts = main", "layouts = main, new"), "[layout desk/new] shard.0");
        check_error("\xff\xfe", "UTF-8");
        check_error("", "[manifest] deployment");
        check_error(std::string(2'000'000, 'x'), "at most");
    }

    // Whatever is cut off or changed: a value or an error, and never a crash.
    void survives_every_truncation_and_byte_change()
    {
        for (std::size_t length = 0; length < valid.size(); ++length)
            error_of(valid.substr(0, length));
        for (std::size_t place = 0; place < valid.size(); ++place)
            for (const char c : {'\0', '\n', '=', '[', '\xff', '9'})
            {
                std::string changed = valid;
                changed[place] = c;
                error_of(changed);
            }
    }

    void examples_have_the_sizes_of_today()
    {
        struct expected
        {
            const char* file;
            const char* service;
            std::size_t shards;
            std::size_t replicas;
            std::uint32_t slots;
            std::uint32_t connections;
            int connect_ms;
        };
        static constexpr expected all[] = {
            {"sangh.ini", "dispatch-desk", 10, 3, 2, 25, 6},
            {"sangh.ini", "member-ledger", 15, 3, 2, 25, 6},
            {"sangh.ini", "family-portal", 1, 7, 3, 100, 1},
            {"sangh.ini", "training-roll", 1, 3, 3, 100, 1},
            {"mug-works.ini", "order-desk", 10, 3, 3, 30, 6},
            {"mug-works.ini", "proof-gallery", 15, 3, 3, 30, 6},
            {"mug-works.ini", "van-dispatch", 1, 10, 6, 50, 1},
            {"mug-works.ini", "ward-billing", 1, 5, 6, 50, 1},
        };
        for (const expected& each : all)
        {
            const auto parsed =
                capture([&] { return parse_manifest(each.file, read_example(each.file)); });
            const service* found = std::get<manifest>(parsed).find(service_id{each.service});
            CPPUNIT_ASSERT(found != nullptr);
            CPPUNIT_ASSERT_EQUAL(each.shards, found->layouts[0].shards.size());
            CPPUNIT_ASSERT_EQUAL(each.replicas, found->layouts[0].shards[0].size());
            CPPUNIT_ASSERT_EQUAL(each.slots, found->limits.slots);
            CPPUNIT_ASSERT_EQUAL(each.connections, found->limits.max_connections);
            CPPUNIT_ASSERT(found->limits.connect_time ==
                           std::chrono::milliseconds{each.connect_ms});
        }
    }

    void configuration_never_goes_back()
    {
        configuration held;
        const auto stored = [](std::uint64_t number)
        { return serialize({.number = generation{number}, .operation = "o", .text = valid}); };
        CPPUNIT_ASSERT(held.install(stored(3)) == install_outcome::installed);
        CPPUNIT_ASSERT(held.install(stored(2)) == install_outcome::not_newer);
        CPPUNIT_ASSERT(held.install(stored(3)) == install_outcome::not_newer);
        CPPUNIT_ASSERT(held.install("{}") == install_outcome::malformed);
        CPPUNIT_ASSERT(
            held.install(serialize({.number = generation{9}, .operation = "o", .text = "[x"})) ==
            install_outcome::malformed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, held.current().value());
        CPPUNIT_ASSERT(held.install(stored(4)) == install_outcome::installed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(manifest_test);

} // namespace tanagerspur
