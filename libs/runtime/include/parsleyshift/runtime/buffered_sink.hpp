#pragma once

#include <spdlog/details/null_mutex.h> // null_mutex
#include <spdlog/sinks/base_sink.h>    // base_sink

#include <cstddef> // size_t
#include <string>  // string

namespace parsleyshift
{

/// @brief Buffers log lines and writes them to a descriptor without blocking, many lines per call. Single-threaded.
///
/// Lines that do not fit into the buffer are dropped and counted, so that a slow reader of the log never blocks the
/// thread. Once the buffer has been written out, a line with the event log_lines_dropped gives their number.
class buffered_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
  public:
    /// @param descriptor set to non-blocking mode; not closed
    /// @param max_bytes size limit of the buffer
    explicit buffered_sink(int descriptor, std::size_t max_bytes = std::size_t{256} * 1024);

    /// @brief Writes as much of the buffer as the descriptor accepts now.
    void write_out();
    /// @brief Number of lines dropped since construction.
    [[nodiscard]] std::size_t dropped() const noexcept
    {
        return dropped_;
    }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

  private:
    int descriptor_;
    std::size_t max_bytes_;
    std::string buffer_;
    std::size_t dropped_ = 0;
    std::size_t dropped_reported_ = 0;
};

} // namespace parsleyshift
