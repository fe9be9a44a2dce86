#include <parsleyshift/runtime/event_log.hpp> // event_log

#include <parsleyshift/core/clock.hpp>       // millisecond_clock
#include <parsleyshift/wire/json_string.hpp> // append_json_string

#include <spdlog/async.h>              // async_logger, thread_pool
#include <spdlog/sinks/stdout_sinks.h> // stderr_sink_mt

namespace parsleyshift
{

namespace
{

constexpr std::size_t max_queued_lines = 8192;

std::string json_line(log_level level, log_event kind, std::string_view detail, request_id request,
                      const instance_id& instance)
{
    std::string line = "{\"time_ms\":" + std::to_string(to_ms(millisecond_clock::now())) + ",\"level\":";
    append_json_string(line, name_of(level));
    line += ",\"event\":";
    append_json_string(line, name_of(kind));
    line += ",\"instance\":";
    append_json_string(line, instance.value());
    if (request != request_id{})
    {
        line += ",\"request\":" + std::to_string(request.value());
    }
    line += ",\"detail\":";
    append_json_string(line, detail);
    line += '}';
    return line;
}

std::string text_line(log_level level, log_event kind, std::string_view detail, request_id request,
                      const instance_id& instance)
{
    std::string line = std::to_string(to_ms(millisecond_clock::now())) + ' ';
    line += name_of(level);
    line += ' ';
    line += name_of(kind);
    line += " instance=" + instance.value();
    if (request != request_id{})
    {
        line += " request=" + std::to_string(request.value());
    }
    line += ' ';
    for (const char byte : detail)
    {
        // Replaces control characters, so that external text cannot forge a log line.
        line += static_cast<unsigned char>(byte) < 0x20 ? ' ' : byte;
    }
    return line;
}

} // namespace

event_log::event_log(log_format format, std::string_view min_level, instance_id instance)
    : format_(format),
      min_level_(value_of<log_level>(min_level).value_or(log_level::info)),
      instance_(std::move(instance)),
      pool_(std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1))
{
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    logger_ = std::make_shared<spdlog::async_logger>("parsleyshift", sink, pool_,
                                                     spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern("%v");
    logger_->set_level(spdlog::level::trace);
}

event_log::event_log(log_format format, std::string_view min_level, instance_id instance,
                     std::shared_ptr<spdlog::sinks::sink> sink)
    : format_(format),
      min_level_(value_of<log_level>(min_level).value_or(log_level::info)),
      instance_(std::move(instance)),
      logger_(std::make_shared<spdlog::logger>("parsleyshift", std::move(sink)))
{
    logger_->set_pattern("%v");
    logger_->set_level(spdlog::level::trace);
}

event_log::~event_log()
{
    logger_->flush();
}

void event_log::write(log_level level, log_event kind, std::string_view detail, request_id request)
{
    if (is_enabled(level))
    {
        logger_->info(line(level, kind, detail, request));
    }
}

void event_log::set_min_level(std::string_view min_level)
{
    min_level_ = value_of<log_level>(min_level).value_or(min_level_);
}

bool event_log::is_enabled(log_level level) const noexcept
{
    return level >= min_level_;
}

std::string event_log::line(log_level level, log_event kind, std::string_view detail, request_id request) const
{
    return format_ == log_format::json ? json_line(level, kind, detail, request, instance_)
                                       : text_line(level, kind, detail, request, instance_);
}

} // namespace parsleyshift
