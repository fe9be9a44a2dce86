#include <parsleyshift/placement/service_plan.hpp>

#include <parsleyshift/placement/assignment.hpp> // orders_for, placement_score, no_model

#include <algorithm> // find, lower_bound, max, nth_element
#include <string>    // string
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
    if (endpoint.accepted.plan != plans[model] || !endpoint.report || !endpoint.confirmed)
    {
        return false;
    }
    const std::string& role = models[model].role;
    return holds(*endpoint.report, models[model].name) && (role.empty() || endpoint.report->role == role);
}

bool service_plan::may_be_loading(const endpoint_knowledge& endpoint) const
{
    if (endpoint.accepted.plan == 0)
    {
        return false;
    }
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        if (settled(endpoint, model))
        {
            return false;
        }
    }
    return true;
}

void service_plan::measure_capacity(const std::vector<endpoint_knowledge>& all, time_point oldest_report)
{
    std::vector<std::vector<std::uint64_t>> other_scores(models.size());
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
            const std::uint64_t score = placement_score(held, endpoint.where.endpoint, endpoint.natural == model);
            std::vector<std::uint64_t>& scores = settled(endpoint, model) ? settled_scores[model] : other_scores[model];
            scores.push_back(score);
        }
    }
    capacity.assign(models.size(), {});
    for (std::size_t model = 0; model < models.size(); ++model)
    {
        const std::size_t need = needed(models[model]);
        const std::size_t settled_count = settled_scores[model].size();
        capacity[model].settled = settled_count;
        capacity[model].below_settled = highest_score(std::move(settled_scores[model]), need);
        if (settled_count < need)
        {
            capacity[model].below_others = highest_score(std::move(other_scores[model]), need - settled_count);
        }
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
        const std::uint64_t score = placement_score(held, endpoint.where.endpoint, endpoint.natural == model);
        const model_capacity& others = capacity[model];
        const bool enough = settled(endpoint, model)
                                ? score < others.below_settled
                                : others.settled >= needed(models[model]) || score < others.below_others;
        if (!enough)
        {
            return false;
        }
    }
    return true;
}

bool service_plan::may_unload(const model_id& model) const
{
    const std::size_t index = index_of(model);
    // Without a record here it was withdrawn, or belongs to another service.
    return index == no_model || capacity[index].settled >= std::max<std::size_t>(1, needed(models[index]));
}

std::optional<placement_step> service_plan::next_step(const endpoint_knowledge& endpoint, std::size_t model) const
{
    if (endpoint.report->models.size() == 1 && settled(endpoint, model))
    {
        return std::nullopt;
    }
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
        if (other != models[model].name && may_unload(other))
        {
            // Unloading leaves the hash of the plan as it is: the endpoint remains settled.
            return placement_step{
                {endpoint.where.endpoint, placement_action::unload_model, other, {}, {}, {}, {}}, hashes.back(), false};
        }
    }
    return std::nullopt;
}

} // namespace parsleyshift
