#include <parsleyshift/placement/service_plan.hpp>

#include <parsleyshift/placement/assignment.hpp> // orders_for, placement_score, no_model

#include <algorithm> // find, lower_bound, max, nth_element
#include <string>    // string
#include <utility>   // move

namespace parsleyshift
{

namespace
{

bool reports_model(const load_report& report, const model_id& model)
{
    return std::find(report.models.begin(), report.models.end(), model) != report.models.end();
}

/// @brief The score at a rank, 1 being the highest, or 0, below which no score lies, when there is no such rank.
std::uint64_t nth_highest_score(std::vector<std::uint64_t> scores, std::size_t rank)
{
    if (rank == 0 || scores.size() < rank)
    {
        return 0;
    }
    const auto nth = scores.begin() + static_cast<std::ptrdiff_t>(rank - 1);
    std::nth_element(scores.begin(), nth, scores.end(), std::greater<>{});
    return *nth;
}

std::size_t required_ready(const model_record& model)
{
    return static_cast<std::size_t>(std::max(0, model.min_ready));
}

/// @brief True when the report shows the effect of an order; always true for orders whose effect is not part of a load
/// report.
bool effect_reported(const load_report& report, const placement_order& order)
{
    switch (order.action)
    {
    case placement_action::load_model:
        return reports_model(report, order.model);
    case placement_action::set_role:
        return report.role == order.role;
    case placement_action::load_adapter:
    case placement_action::unload_model:
        break;
    }
    return true;
}

} // namespace

std::size_t service_plan::index_of(const model_id& model) const
{
    const auto name_less = [](const model_record& record, const model_id& name)
    {
        return record.name < name;
    };
    const auto found = std::lower_bound(models.begin(), models.end(), model, name_less);
    if (found == models.end() || found->name != model)
    {
        return no_model;
    }
    return static_cast<std::size_t>(found - models.begin());
}

bool service_plan::converged(const planned_endpoint& endpoint, std::size_t model) const
{
    if (endpoint.accepted.sequence_hash != sequence_hashes[model] || !endpoint.report || !endpoint.confirmed)
    {
        return false;
    }
    const std::string& role = models[model].role;
    return reports_model(*endpoint.report, models[model].name) && (role.empty() || endpoint.report->role == role);
}

bool service_plan::may_be_loading(const planned_endpoint& endpoint) const
{
    if (endpoint.accepted.sequence_hash == 0)
    {
        return false;
    }
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        if (converged(endpoint, model))
        {
            return false;
        }
    }
    return true;
}

void service_plan::update_capacity(const std::vector<planned_endpoint>& all, time_point oldest_report)
{
    std::vector<std::vector<std::uint64_t>> unconverged_scores(models.size());
    std::vector<std::vector<std::uint64_t>> converged_scores(models.size());
    for (const std::size_t index : endpoints)
    {
        const planned_endpoint& endpoint = all[index];
        if (!endpoint.report || endpoint.reported_at < oldest_report || endpoint.report->leaving)
        {
            continue;
        }
        for (const model_id& reported : endpoint.report->models)
        {
            const std::size_t model = index_of(reported);
            if (model == no_model)
            {
                continue;
            }
            const std::uint64_t score =
                placement_score(reported, endpoint.properties.endpoint, endpoint.preferred == model);
            std::vector<std::uint64_t>& scores =
                converged(endpoint, model) ? converged_scores[model] : unconverged_scores[model];
            scores.push_back(score);
        }
    }
    capacity.assign(models.size(), {});
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        const std::size_t required = required_ready(models[model]);
        const std::size_t converged_count = converged_scores[model].size();
        capacity[model].converged = converged_count;
        capacity[model].converged_score_limit = nth_highest_score(std::move(converged_scores[model]), required);
        if (converged_count < required)
        {
            capacity[model].unconverged_score_limit =
                nth_highest_score(std::move(unconverged_scores[model]), required - converged_count);
        }
    }
}

bool service_plan::may_take_out_of_service(const planned_endpoint& endpoint) const
{
    for (const model_id& reported : endpoint.report->models)
    {
        const std::size_t model = index_of(reported);
        if (model == no_model || required_ready(models[model]) == 0)
        {
            continue;
        }
        const std::uint64_t score =
            placement_score(reported, endpoint.properties.endpoint, endpoint.preferred == model);
        const model_capacity& available = capacity[model];
        const bool replaceable = converged(endpoint, model) ? score < available.converged_score_limit
                                                            : available.converged >= required_ready(models[model]) ||
                                                                  score < available.unconverged_score_limit;
        if (!replaceable)
        {
            return false;
        }
    }
    return true;
}

bool service_plan::may_unload(const model_id& model) const
{
    const std::size_t index = index_of(model);
    // A model without a record in this plan was withdrawn or belongs to another service.
    return index == no_model || capacity[index].converged >= std::max<std::size_t>(1, required_ready(models[index]));
}

std::optional<placement_step> service_plan::next_step(const planned_endpoint& endpoint, std::size_t model) const
{
    if (endpoint.report->models.size() == 1 && converged(endpoint, model))
    {
        return std::nullopt;
    }
    const std::vector<placement_order> orders = orders_for(models[model], endpoint.properties.endpoint);
    std::vector<std::uint64_t> hashes;
    std::size_t accepted_count = 0;
    for (const placement_order& order : orders)
    {
        hashes.push_back(extend_sequence_hash(hashes.empty() ? 0 : hashes.back(), order));
        accepted_count = hashes.back() == endpoint.accepted.sequence_hash ? hashes.size() : accepted_count;
    }
    if (accepted_count > 1 && !reports_model(*endpoint.report, models[model].name))
    {
        // The engine has lost the model, for example by a restart: the order sequence starts again from the load.
        accepted_count = 0;
    }
    if (accepted_count > 0 && !effect_reported(*endpoint.report, orders[accepted_count - 1]))
    {
        return placement_step{orders[accepted_count - 1], hashes[accepted_count - 1], true};
    }
    if (accepted_count < orders.size())
    {
        return placement_step{orders[accepted_count], hashes[accepted_count], false};
    }
    std::vector<model_id> others = endpoint.report->models;
    std::sort(others.begin(), others.end());
    for (const model_id& other : others)
    {
        if (other != models[model].name && may_unload(other))
        {
            // An unload keeps the sequence hash, so the endpoint remains converged.
            return placement_step{{endpoint.properties.endpoint, placement_action::unload_model, other, {}, {}, {}, {}},
                                  hashes.back(),
                                  false};
        }
    }
    return std::nullopt;
}

} // namespace parsleyshift
