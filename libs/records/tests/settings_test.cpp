#include <parsleyshift/test_support/property.hpp> // check_property

#include "schema_check.hpp" // schema_check

#include <parsleyshift/records/read_settings.hpp> // read_settings

#include <fstream> // ifstream
#include <sstream> // stringstream
#include <string>  // string

using namespace parsleyshift;
using nlohmann::json;

namespace
{

json smallest_settings()
{
    return json::parse(R"({"instance":"ikeja-1","availability_zone":"ikeja","region":"lagos",
        "caller_address":"127.0.0.1:0","peer_address":"127.0.0.1:9000","configuration_service":"127.0.0.1:9001",
        "instance_list":"127.0.0.1:9002","token_keys":[{"id":"k1","secret":"0123456789abcdef0123456789abcdef"}]})");
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, smallest_file_gets_the_defaults_and_writes_back)
{
    const auto read = read_settings(smallest_settings().dump());
    CHECK(read.has_value());
    LONGS_EQUAL(-1, read.value().entry_slot);
    LONGS_EQUAL(250, read.value().intervals.load_report.count());
    const std::string written = write_settings(read.value());
    const auto again = read_settings(written);
    CHECK(again.has_value());
    STRCMP_EQUAL(written.c_str(), write_settings(again.value()).c_str());
}

// Guards against a daemon that starts with a field misspelt or out of range, or without a key to sign with.
TEST(settings, each_mistake_is_found_at_its_path)
{
    struct mistake
    {
        const char* patch;
        const char* path;
    };
    constexpr std::array mistakes{
        mistake{R"({"entry_slots":1})", "entry_slots"},
        mistake{R"({"caller_address":"localhost:80"})", "caller_address"},
        mistake{R"({"caller_address":"127.0.0.1:70000"})", "caller_address"},
        mistake{R"({"region":null})", "region"},
        mistake{R"({"token_keys":[]})", "token_keys"},
        mistake{R"({"token_keys":[{"id":"k1","secret":"short"}]})", "token_keys[0].secret"},
        mistake{R"({"bounds":{"max_connections":0}})", "bounds.max_connections"},
        mistake{R"({"intervals":{"load_report_ms":1.5}})", "intervals.load_report_ms"},
        mistake{R"({"log_format":"xml"})", "log_format"},
        mistake{R"({"operator_key":"short"})", "operator_key"},
    };
    for (const mistake& each : mistakes)
    {
        json document = smallest_settings();
        document.merge_patch(json::parse(each.patch));
        const auto read = read_settings(document.dump());
        CHECK_TRUE_TEXT(!read.has_value(), each.patch);
        LONGS_EQUAL_TEXT(1, read.error().all().size(), each.patch);
        STRCMP_EQUAL(each.path, read.error().all().front().path.c_str());
    }
}

TEST(settings, schema_is_committed_and_accepts_the_smallest_file)
{
    std::ifstream file{std::string{SCHEMA_FOLDER} + "/settings.json"};
    std::stringstream text;
    text << file.rdbuf();
    STRCMP_EQUAL(settings_schema().c_str(), text.str().c_str());
    CHECK(schema_check::accepts(json::parse(settings_schema()), smallest_settings()));
}

TEST(settings, arbitrary_text_never_crashes_the_reader)
{
    test_support::check_property("any text gives settings or issues",
                                 [](const std::string& text)
                                 {
                                     const auto read = read_settings(text);
                                     RC_ASSERT(!read.has_value());
                                     RC_ASSERT(!read.error().empty());
                                 });
}
