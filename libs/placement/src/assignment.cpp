#include <parsleyshift/placement/assignment.hpp>

#include <parsleyshift/core/hash.hpp>       // rendezvous_score
#include <parsleyshift/placement/fence.hpp> // continue_plan

#include <algorithm> // max
#include <cmath>     // log

namespace parsleyshift
{

namespace
{

/// @brief Index of the endpoint without a model that has the highest score for the model, or no_model.
std::size_t best_free(const model_record& model, std::size_t model_index,
                      std::span<const placement_endpoint* const> endpoints, const std::vector<std::size_t>& natural,
                      const std::vector<std::size_t>& chosen)
{
    std::size_t best = no_model;
    std::uint64_t best_score = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        if (chosen[index] != no_model)
        {
            continue;
        }
        const bool is_natural = natural[index] == model_index;
        const std::uint64_t score = placement_score(model.name, endpoints[index]->endpoint, is_natural);
        if (best == no_model || score > best_score)
        {
            best = index;
            best_score = score;
        }
    }
    return best;
}

} // namespace

std::size_t natural_model(std::span<const model_record> models, const endpoint_id& endpoint)
{
    std::size_t best = no_model;
    double best_score = 0;
    for (std::size_t index = 0; index < models.size(); ++index)
    {
        const std::uint64_t bits = rendezvous_score(models[index].name.value(), endpoint.value()) >> 11U;
        const double uniform = (static_cast<double>(bits) + 0.5) / 9007199254740992.0; // 2^53
        const double score = std::max(0.0, models[index].share) / -std::log(uniform);
        if (best == no_model || score > best_score)
        {
            best = index;
            best_score = score;
        }
    }
    return best;
}

std::uint64_t placement_score(const model_id& model, const endpoint_id& endpoint, bool natural) noexcept
{
    const std::uint64_t score = rendezvous_score(model.value(), endpoint.value()) >> 1U;
    return natural ? score | (std::uint64_t{1} << 63U) : score;
}

std::vector<std::size_t> assign_models(std::span<const model_record> models,
                                       std::span<const placement_endpoint* const> endpoints)
{
    std::vector<std::size_t> chosen(endpoints.size(), no_model);
    std::vector<std::size_t> natural;
    for (const placement_endpoint* endpoint : endpoints)
    {
        natural.push_back(natural_model(models, endpoint->endpoint));
    }
    int rounds = 0;
    for (const model_record& model : models)
    {
        rounds = std::max(rounds, model.min_ready + 1);
    }
    std::size_t free = endpoints.size();
    for (int round = 0; round < rounds && free > 0; ++round)
    {
        for (std::size_t index = 0; index < models.size() && free > 0; ++index)
        {
            if (models[index].min_ready >= round)
            {
                chosen[best_free(models[index], index, endpoints, natural, chosen)] = index;
                --free;
            }
        }
    }
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        if (chosen[index] == no_model)
        {
            chosen[index] = natural[index];
        }
    }
    return chosen;
}

std::vector<placement_order> orders_for(const model_record& model, const endpoint_id& endpoint)
{
    std::vector<placement_order> orders;
    orders.push_back({endpoint, placement_action::load_model, model.name, {}, model.version, {}, {}});
    for (const std::string& adapter : model.adapters)
    {
        orders.push_back({endpoint, placement_action::load_adapter, model.name, adapter, model.version, {}, {}});
    }
    if (!model.role.empty())
    {
        orders.push_back({endpoint, placement_action::set_role, model.name, {}, {}, model.role, {}});
    }
    return orders;
}

std::uint64_t plan_of(const model_record& model)
{
    std::uint64_t plan = 0;
    for (const placement_order& order : orders_for(model, endpoint_id{}))
    {
        plan = continue_plan(plan, order);
    }
    return plan;
}

} // namespace parsleyshift
