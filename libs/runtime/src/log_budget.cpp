#include <parsleyshift/runtime/log_budget.hpp> // log_budget

#include <utility> // exchange

namespace parsleyshift
{

std::optional<std::size_t> log_budget::admit(log_event kind, time_point now)
{
    usage& used = usage_[kind];
    if (used.window_start == time_point::min() || now >= used.window_start + window)
    {
        used.window_start = now;
        used.lines = 0;
    }
    if (used.lines >= max_lines)
    {
        ++used.left_out;
        return std::nullopt;
    }
    ++used.lines;
    return std::exchange(used.left_out, 0);
}

bool is_budgeted(log_event kind) noexcept
{
    switch (kind)
    {
    case log_event::member_changed:
    case log_event::endpoint_leaving:
    case log_event::endpoint_ejected:
    case log_event::endpoint_restored:
    case log_event::endpoint_limit_changed:
    case log_event::endpoint_pace_changed:
    case log_event::endpoint_paused:
    case log_event::endpoint_cold:
    case log_event::endpoint_warm:
    case log_event::permit_declined:
    case log_event::input_rejected:
        return true;
    default:
        return false;
    }
}

} // namespace parsleyshift
