#include <parsleyshift/placement/service_plan.hpp>

#include <parsleyshift/placement/assignment.hpp> // orders_for, placement_score, no_model

#include <algorithm> // find, lower_bound, max, nth_element
#include <utility>   // move

namespace parsleyshift
{

namespace
{

bool holds(const load_report& report, const model_id& model)
{
    return std::find(report.models.begin(), report.models.end(), model) != report.models.end();
}

/// @brief The count-th highest score, or 0 when there are fewer.
std::uint64_t highest_score(std::vector<std::uint64_t> scores, std::size_t count)
{
    if (count == 0 || scores.size() < count)
    {
        return 0;
    }
    const auto wanted = scores.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(scores.begin(), wanted, scores.end(), std::greater<>{});
    return *wanted;
}

std::size_t needed(const model_record& model)
{
    return static_cast<std::size_t>(std::max(0, model.min_ready));
}

/// @brief True when the report shows what an order should have done.
bool shows_effect(const load_report& report, const placement_order& order)
{
    switch (order.action)
    {
    case placement_action::load_model:
        return holds(report, order.model);
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
    const auto before = [](const model_record& record, const model_id& name)
    {
        return record.name < name;
    };
    const auto found = std::lower_bound(models.begin(), models.end(), model, before);
    if (found == models.end() || found->name != model)
    {
        return no_model;
    }
    return static_cast<std::size_t>(found - models.begin());
}

bool service_plan::settled(const endpoint_knowledge& endpoint, std::size_t model) const
{
    return endpoint.accepted.plan == plans[model] && endpoint.report && holds(*endpoint.report, models[model].name);
}

void service_plan::measure_capacity(const std::vector<endpoint_knowledge>& all, time_point oldest_report)
{
    std::vector<std::vector<std::uint64_t>> ready_scores(models.size());
    std::vector<std::vector<std::uint64_t>> settled_scores(models.size());
    for (const std::size_t index : endpoints)
    {
        const endpoint_knowledge& endpoint = all[index];
        if (!endpoint.report || endpoint.reported_at < oldest_report || endpoint.report->leaving)
        {
            continue;
        }
        for (const model_id& held : endpoint.report->models)
        {
            const std::size_t model = index_of(held);
            if (model == no_model)
            {
                continue;
            }
            const std::uint64_t score = placement_score(held, endpoint.where.endpoint);
            ready_scores[model].push_back(score);
            if (settled(endpoint, model))
            {
                settled_scores[model].push_back(score);
            }
        }
    }
    capacity.assign(models.size(), {});
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        const std::size_t need = needed(models[model]);
        capacity[model].settled = settled_scores[model].size();
        capacity[model].below_settled = highest_score(settled_scores[model], need);
        capacity[model].below_ready = highest_score(std::move(ready_scores[model]), need);
        capacity[model].below_settled_for_unload =
            highest_score(std::move(settled_scores[model]), std::max<std::size_t>(1, need));
    }
}

bool service_plan::may_disturb(const endpoint_knowledge& endpoint) const
{
    for (const model_id& held : endpoint.report->models)
    {
        const std::size_t model = index_of(held);
        if (model == no_model || needed(models[model]) == 0)
        {
            continue;
        }
        const std::uint64_t score = placement_score(held, endpoint.where.endpoint);
        const model_capacity& others = capacity[model];
        const bool enough = settled(endpoint, model)
                                ? score < others.below_settled
                                : others.settled >= needed(models[model]) || score < others.below_ready;
        if (!enough)
        {
            return false;
        }
    }
    return true;
}

bool service_plan::may_unload(const endpoint_knowledge& endpoint, const model_id& model) const
{
    const std::size_t index = index_of(model);
    if (index == no_model)
    {
        // Its record was withdrawn, or names another service.
        return true;
    }
    return placement_score(model, endpoint.where.endpoint) < capacity[index].below_settled_for_unload;
}

std::optional<placement_step> service_plan::next_step(const endpoint_knowledge& endpoint, std::size_t model) const
{
    const std::vector<placement_order> orders = orders_for(models[model], endpoint.where.endpoint);
    std::vector<std::uint64_t> hashes;
    std::size_t accepted = 0;
    for (const placement_order& order : orders)
    {
        hashes.push_back(continue_plan(hashes.empty() ? 0 : hashes.back(), order));
        accepted = hashes.back() == endpoint.accepted.plan ? hashes.size() : accepted;
    }
    if (accepted > 1 && !holds(*endpoint.report, models[model].name))
    {
        // The engine has lost the model, for example by a restart.
        accepted = 0;
    }
    if (accepted > 0 && !shows_effect(*endpoint.report, orders[accepted - 1]))
    {
        return placement_step{orders[accepted - 1], hashes[accepted - 1], true};
    }
    if (accepted < orders.size())
    {
        return placement_step{orders[accepted], hashes[accepted], false};
    }
    std::vector<model_id> others = endpoint.report->models;
    std::sort(others.begin(), others.end());
    for (const model_id& other : others)
    {
        if (other != models[model].name && may_unload(endpoint, other))
        {
            // Unloading leaves the hash of the plan as it is: the endpoint remains settled.
            return placement_step{
                {endpoint.where.endpoint, placement_action::unload_model, other, {}, {}, {}, {}}, hashes.back(), false};
        }
    }
    return std::nullopt;
}

} // namespace parsleyshift
