#pragma once

#include <parsleyshift/core/ids.hpp>         // instance_id, request_id
#include <parsleyshift/messages/action.hpp>  // log_event
#include <parsleyshift/records/settings.hpp> // log_format

#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view

namespace spdlog
{
class logger;
namespace details
{
class thread_pool;
}
namespace sinks
{
class sink;
}
} // namespace spdlog

namespace parsleyshift
{

/// @brief Importance of a log line.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

template <>
struct enum_names<log_level>
{
    static constexpr std::array rows{
        enum_name<log_level>{log_level::debug, "debug"}, enum_name<log_level>{log_level::info, "info"},
        enum_name<log_level>{log_level::warning, "warning"}, enum_name<log_level>{log_level::error, "error"}};
};

/// @brief Writes one line for each event to standard error, as text or JSON. All threads; a full queue drops the
/// oldest lines, so that a slow reader of the log never holds up a thread.
class event_log
{
  public:
    /// @param least name of the lowest level that is written: debug, info, warning or error
    event_log(log_format format, std::string_view least, instance_id instance);
    /// @brief Writes to a sink on the calling thread; the sink must not block.
    event_log(log_format format, std::string_view least, instance_id instance,
              std::shared_ptr<spdlog::sinks::sink> sink);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;

    /// @param request the request concerned; 0 when there is none
    void write(log_level level, log_event what, std::string_view detail, request_id request = request_id{});

    /// @brief Changes the lowest level that is written. No other thread may write meanwhile.
    void set_least(std::string_view least);
    /// @brief True when lines of the level are written; saves making their text.
    [[nodiscard]] bool writes(log_level level) const noexcept;

    /// @brief The text of one line without a line feed.
    [[nodiscard]] std::string line(log_level level, log_event what, std::string_view detail, request_id request) const;

  private:
    log_format format_;
    log_level least_;
    instance_id instance_;
    std::shared_ptr<spdlog::details::thread_pool> pool_;
    std::shared_ptr<spdlog::logger> logger_;
};

} // namespace parsleyshift
