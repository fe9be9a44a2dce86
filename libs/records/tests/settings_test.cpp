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

json minimal_settings()
{
    return json::parse(R"({"instance":"ikeja-1","availability_zone":"ikeja","region":"lagos",
        "caller_address":"127.0.0.1:0","peer_address":"127.0.0.1:9000","configuration_service":"127.0.0.1:9001",
        "instance_list":"127.0.0.1:9002","token_keys":[{"id":"k1","secret":"0123456789abcdef0123456789abcdef"}]})");
}

} // namespace

TEST_GROUP(settings){};

// Guards against defaults that the reader rejects or that change when the settings are written and read again.
TEST(settings, minimal_file_gets_the_defaults_and_round_trips)
{
    const auto read = read_settings(minimal_settings().dump());
    CHECK(read.has_value());
    LONGS_EQUAL(-1, read.value().entry_slot);
    LONGS_EQUAL(250, read.value().intervals.load_report.count());
    const std::string written = write_settings(read.value());
    const auto again = read_settings(written);
    CHECK(again.has_value());
    STRCMP_EQUAL(written.c_str(), write_settings(again.value()).c_str());
}

// Guards against a daemon that starts with an unknown or out-of-range field or without a signing key.
TEST(settings, each_invalid_field_is_reported_with_its_path)
{
    struct invalid_case
    {
        const char* patch;
        const char* path;
    };
    constexpr std::array invalid_cases{
        invalid_case{R"({"entry_slots":1})", "entry_slots"},
        invalid_case{R"({"caller_address":"localhost:80"})", "caller_address"},
        invalid_case{R"({"caller_address":"127.0.0.1:70000"})", "caller_address"},
        invalid_case{R"({"region":null})", "region"},
        invalid_case{R"({"token_keys":[]})", "token_keys"},
        invalid_case{R"({"token_keys":[{"id":"k1","secret":"short"}]})", "token_keys[0].secret"},
        invalid_case{R"({"bounds":{"max_connections":0}})", "bounds.max_connections"},
        invalid_case{R"({"intervals":{"load_report_ms":1.5}})", "intervals.load_report_ms"},
        invalid_case{R"({"log_format":"xml"})", "log_format"},
        invalid_case{R"({"operator_key":"short"})", "operator_key"},
    };
    for (const invalid_case& each : invalid_cases)
    {
        json document = minimal_settings();
        document.merge_patch(json::parse(each.patch));
        const auto read = read_settings(document.dump());
        CHECK_TRUE_TEXT(!read.has_value(), each.patch);
        LONGS_EQUAL_TEXT(1, read.error().all().size(), each.patch);
        STRCMP_EQUAL(each.path, read.error().all().front().path.c_str());
    }
}

// Guards against a committed schema that differs from the reader; `parsleyctl schema --write schemas` regenerates it.
TEST(settings, committed_schema_is_current_and_accepts_the_minimal_file)
{
    std::ifstream file{std::string{SCHEMA_FOLDER} + "/settings.json"};
    std::stringstream text;
    text << file.rdbuf();
    STRCMP_EQUAL(settings_schema().c_str(), text.str().c_str());
    CHECK(schema_check::accepts(json::parse(settings_schema()), minimal_settings()));
}

// Guards against a settings file that is not valid JSON crashing the reader or being accepted.
TEST(settings, arbitrary_text_is_rejected_with_issues)
{
    test_support::check_property("arbitrary text is rejected with at least one issue",
                                 [](const std::string& text)
                                 {
                                     const auto read = read_settings(text);
                                     RC_ASSERT(!read.has_value());
                                     RC_ASSERT(!read.error().empty());
                                 });
}
