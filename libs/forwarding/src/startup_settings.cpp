#include <parsleyshift/forwarding/startup_settings.hpp> // read_settings

#include <parsleyshift/runtime/startup_signals.hpp> // is_stop_held

#include <thread>  // sleep_for
#include <utility> // move

namespace parsleyshift
{

namespace
{
constexpr duration read_interval{50};
} // namespace

result<forwarder_settings> read_settings(settings_file& file)
{
    BOOST_OUTCOME_TRY(const std::string text, file.read());
    auto settings = read_forwarder_settings(text);
    if (settings.has_error())
    {
        return make_error(error_kind::invalid_field, "settings: " + settings.error().text());
    }
    return std::move(settings).value();
}

result<forwarder_settings> await_settings(settings_file& file, duration patience)
{
    const time_point give_up = millisecond_clock::now() + patience;
    auto settings = read_settings(file);
    while (settings.has_error() && !is_stop_held() && millisecond_clock::now() < give_up)
    {
        std::this_thread::sleep_for(read_interval);
        settings = read_settings(file);
    }
    return settings;
}

} // namespace parsleyshift
