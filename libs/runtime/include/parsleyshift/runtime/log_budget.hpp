#pragma once

#include <parsleyshift/core/clock.hpp>      // duration, time_point
#include <parsleyshift/messages/action.hpp> // log_event

#include <cstddef>       // size_t
#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Bounds the number of log lines of each kind that many members or endpoints can cause at once, and counts
/// those that are left out.
class log_budget
{
  public:
    /// Lines of one kind that are written in a window.
    static constexpr std::size_t max_lines = 5;
    static constexpr duration window{1'000};

    /// @brief Decides whether a line is written.
    /// @return number of lines of this kind left out before it, or nothing when this line is to be left out
    std::optional<std::size_t> admit(log_event kind, time_point now);

  private:
    struct usage
    {
        time_point window_start = time_point::min();
        std::size_t lines = 0;
        std::size_t left_out = 0;
    };
    std::unordered_map<log_event, usage> usage_;
};

/// @brief True for kinds of lines whose number grows with the members of the fleet or the endpoints. Lines about
/// requests are all written, since each is the only trace of its request.
[[nodiscard]] bool is_budgeted(log_event kind) noexcept;

} // namespace parsleyshift
