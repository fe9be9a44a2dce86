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

/// @brief Severity of a log line, in ascending order.
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

/// @brief Writes one line per event, as text or JSON. Thread-safe with the default sink, standard error.
///
/// Lines for standard error go through a queue of 8192 lines that drops the oldest when it is full, so that a blocked
/// standard error never blocks a thread.
class event_log
{
  public:
    /// @brief Writes to standard error.
    /// @param min_level name of the lowest level that is written: debug, info, warning or error; an unknown
    /// name selects info
    event_log(log_format format, std::string_view min_level, instance_id instance);
    /// @brief Writes to a sink on the calling thread. The sink must not block.
    event_log(log_format format, std::string_view min_level, instance_id instance,
              std::shared_ptr<spdlog::sinks::sink> sink);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;

    /// @brief Writes one line if its level is enabled.
    /// @param request id of the request that the event belongs to; 0 when there is none
    void write(log_level level, log_event kind, std::string_view detail, request_id request = request_id{});

    /// @brief Changes the lowest level that is written; an unknown name leaves the level unchanged. Not thread-safe.
    void set_min_level(std::string_view min_level);
    /// @brief Returns true when lines of the level are written. Lets callers avoid composing a text that is discarded.
    [[nodiscard]] bool is_enabled(log_level level) const noexcept;

    /// @brief Returns the text of one line, without a line feed.
    [[nodiscard]] std::string line(log_level level, log_event kind, std::string_view detail, request_id request) const;

  private:
    log_format format_;
    log_level min_level_;
    instance_id instance_;
    std::shared_ptr<spdlog::details::thread_pool> pool_;
    std::shared_ptr<spdlog::logger> logger_;
};

} // namespace parsleyshift
