#pragma once

#include <spdlog/details/null_mutex.h> // null_mutex
#include <spdlog/sinks/base_sink.h>    // base_sink

#include <cstddef> // size_t
#include <string>  // string

namespace parsleyshift
{

/// @brief Collects log lines and writes them to a descriptor, many with one call and without blocking; one thread.
///
/// Lines beyond the bound are dropped and counted, so that a slow reader of the log never holds up the thread; a line
/// that says how many were dropped follows once there is room again.
class buffered_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
  public:
    /// @param descriptor made non-blocking
    /// @param bound bytes held
    explicit buffered_sink(int descriptor, std::size_t bound = std::size_t{256} * 1024);

    /// @brief Writes what the descriptor takes now.
    void write_out();
    /// @brief Lines dropped since the start.
    [[nodiscard]] std::size_t dropped() const noexcept
    {
        return dropped_;
    }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

  private:
    int descriptor_;
    std::size_t bound_;
    std::string held_;
    std::size_t dropped_ = 0;
    std::size_t dropped_reported_ = 0;
};

} // namespace parsleyshift
