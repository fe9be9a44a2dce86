#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point, never
#include <parsleyshift/messages/action.hpp> // action
#include <parsleyshift/messages/event.hpp>  // event

#include <vector> // vector

namespace parsleyshift
{

/// @brief Rejects every request, as an instance does that has no configuration. Stands in the program until it is
/// linked with decision_core.
class unready_core
{
  public:
    void handle(const event& what, time_point /*now*/, std::vector<action>& out)
    {
        if (std::holds_alternative<stop_planned>(what))
        {
            out.emplace_back(stop_complete{});
            return;
        }
        std::visit(
            [&out](const auto& each)
            {
                if constexpr (requires { request_rejected{.request = each.request}; })
                {
                    request_rejected rejected;
                    rejected.request = each.request;
                    rejected.why = make_error(error_kind::configuration_missing, "no configuration", duration{1'000});
                    out.emplace_back(std::move(rejected));
                }
            },
            what);
    }
    [[nodiscard]] time_point next_deadline() const noexcept
    {
        return never;
    }
};

} // namespace parsleyshift
