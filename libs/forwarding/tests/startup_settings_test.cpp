#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/forwarding/startup_settings.hpp> // read_settings
#include <parsleyshift/runtime/startup_signals.hpp>     // hold_startup_signals

#include <unistd.h> // getpid

#include <csignal>    // raise
#include <filesystem> // remove, rename, temp_directory_path
#include <fstream>    // ofstream
#include <string>     // string
#include <thread>     // thread

using namespace parsleyshift;
using namespace parsleyshift::literals;

namespace
{

const std::string valid_settings = R"({
    "instance": "one", "availability_zone": "z", "region": "r", "caller_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2", "entry_address": "127.0.0.1:3", "peer_address": "127.0.0.1:4",
    "metrics_address": "127.0.0.1:5", "store_address": "127.0.0.1:6", "stop_grace_ms": 7.5e3})";

} // namespace

TEST_GROUP(startup_settings)
{
    const std::string path =
        (std::filesystem::temp_directory_path() / ("startup-settings-" + std::to_string(getpid()))).string();

    void teardown() override
    {
        std::filesystem::remove(path);
    }
    void write(const std::string& text) const
    {
        // Renamed into place, so that no read sees a part.
        std::ofstream{path + ".new"} << text;
        std::filesystem::rename(path + ".new", path);
    }
};

// Guards against a process that ends at its start because its settings are still being written.
TEST(startup_settings, are_read_again_until_they_are_valid)
{
    write(valid_settings.substr(0, valid_settings.size() / 2));
    settings_file file{path};
    std::thread writer(
        [this]
        {
            std::this_thread::sleep_for(100_ms);
            write(valid_settings);
        });
    const auto settings = await_settings(file, 60_s);
    writer.join();
    CHECK_TRUE(settings.has_value());
    LONGS_EQUAL(7'500, settings.value().stop_grace.count());
}

// Guards against an error that is not reported, and against a wait that a stop does not end.
TEST(startup_settings, are_given_up_after_a_time_or_at_a_signal)
{
    settings_file missing{path};
    CHECK(await_settings(missing, 1_ms).error().kind == error_kind::file_unreadable);
    write("{}");
    settings_file invalid{path};
    CHECK(read_settings(invalid).error().kind == error_kind::invalid_field);
    CHECK(read_settings(invalid).error().detail.find("store_address") != std::string::npos);
    hold_startup_signals();
    std::raise(SIGTERM);
    CHECK(await_settings(invalid, 3'600_s).has_error());
    take_startup_signals();
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
    {
        std::signal(number, SIG_DFL);
    }
}
