// Tests that an entry of another writer among those of the replicas neither ends a host nor keeps
// it from following the others.

#include "tanagerspur/testing/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerspur::testing
{

class odd_entry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_entry_test);
    CPPUNIT_TEST(odd_entry_does_not_keep_host_from_following_others);
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

private:
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
