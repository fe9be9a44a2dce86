// The members of forwarded_request that keep it in the regions in which it may be served.
#include "forwarded_request.hpp" // forwarded_request

#include <string>  // string, to_string
#include <utility> // move

namespace parsleyshift::detail
{
namespace
{

std::string text_of(const region_set& regions)
{
    if (!regions.restricted())
    {
        return "all regions";
    }
    std::string text;
    for (const region_id& region : regions.regions())
    {
        text += (text.empty() ? "" : ",") + region.value();
    }
    return text.empty() ? "no region" : text;
}

/// For example "other_region:6,leaving:2"; empty when no endpoint is excluded.
std::string text_of(const obstacle_counts& counts)
{
    std::string text;
    for (const auto& [obstacle, count] : counts)
    {
        if (obstacle != start_obstacle::none)
        {
            text.append(text.empty() ? "" : ",").append(name_of(obstacle)).append(":").append(std::to_string(count));
        }
    }
    return text;
}

bool has(const obstacle_counts& counts, start_obstacle obstacle)
{
    return counts.find(obstacle) != counts.end();
}

} // namespace

std::string forwarded_request::region_names() const
{
    return text_of(admission_.regions);
}

bool forwarded_request::reject_outside_regions()
{
    if (!admission_.regions.restricted() || pools_.pool_for(admission_.service, admission_.regions))
    {
        return false;
    }
    if (admission_.regions.empty())
    {
        reject(make_error(error_kind::region_not_allowed,
                          "route " + admission_.matched_route.name + " allows " +
                              text_of(admission_.matched_route.regions) + ", customer " + admission_.customer.value() +
                              " allows " + text_of(admission_.customer_regions) + ", and no region is in both"));
        return true;
    }
    const obstacle_counts counts = pools_.count_obstacles(admission_.service, admission_.regions);
    if (!has(counts, start_obstacle::other_region) && !has(counts, start_obstacle::unknown_region))
    {
        return false;
    }
    // Endpoints may start in a region that exists; a name that no zone has is wrong until the operators change it.
    const bool may_change = state_.entries.has_zone_in(admission_.regions);
    reject(make_error(error_kind::region_not_allowed,
                      "service " + admission_.service.value() + " has no usable endpoint in " + region_names() +
                          "; excluded: " + text_of(counts),
                      may_change ? std::optional{state_.draw_retry_after(default_expected_wait)} : std::nullopt));
    return true;
}

void forwarded_request::set_regions(const region_set& route_regions, const region_set& customer_regions)
{
    admission_.matched_route.regions = route_regions;
    admission_.customer_regions = customer_regions;
    region_set regions = route_regions.intersection(customer_regions);
    if (regions == admission_.regions)
    {
        return;
    }
    admission_.regions = std::move(regions);
    if (permit_)
    {
        permit_->set_regions(admission_.regions);
    }
    if (attempt_ != attempt_id{})
    {
        cancel_move_outside_regions();
        return;
    }
    if (!reject_outside_regions() && permit_ && permit_->waiting())
    {
        permit_->release(0, false);
        select_endpoint();
    }
}

void forwarded_request::on_endpoints_changed()
{
    if (attempt_ == attempt_id{})
    {
        reject_outside_regions();
    }
}

std::string forwarded_request::region_note(outcome final_outcome) const
{
    if (!admission_.regions.restricted())
    {
        return {};
    }
    std::string note = " regions=" + region_names();
    if (final_outcome == outcome::not_run)
    {
        note += " excluded=" + text_of(pools_.count_obstacles(admission_.service, admission_.regions));
    }
    return note;
}

} // namespace parsleyshift::detail
