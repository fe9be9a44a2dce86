#include <parsleyshift/placement/assignment.hpp>

#include <parsleyshift/core/hash.hpp>       // rendezvous_score
#include <parsleyshift/placement/fence.hpp> // extend_sequence_hash

#include <algorithm> // max
#include <cmath>     // log

namespace parsleyshift
{

namespace
{

/// @brief Index of the unassigned endpoint with the highest score for the model, or no_model when all are assigned.
std::size_t best_unassigned(const model_record& model, std::size_t model_index,
                            std::span<const placement_endpoint* const> endpoints,
                            const std::vector<std::size_t>& preferred, const std::vector<std::size_t>& assigned)
{
    std::size_t best = no_model;
    std::uint64_t best_score = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        if (assigned[index] != no_model)
        {
            continue;
        }
        const bool is_preferred = preferred[index] == model_index;
        const std::uint64_t score = placement_score(model.name, endpoints[index]->endpoint, is_preferred);
        if (best == no_model || score > best_score)
        {
            best = index;
            best_score = score;
        }
    }
    return best;
}

} // namespace

std::size_t preferred_model(std::span<const model_record> models, const endpoint_id& endpoint)
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

std::uint64_t placement_score(const model_id& model, const endpoint_id& endpoint, bool preferred) noexcept
{
    const std::uint64_t score = rendezvous_score(model.value(), endpoint.value()) >> 1U;
    return preferred ? score | (std::uint64_t{1} << 63U) : score;
}

std::vector<std::size_t> assign_models(std::span<const model_record> models,
                                       std::span<const placement_endpoint* const> endpoints)
{
    std::vector<std::size_t> assigned(endpoints.size(), no_model);
    std::vector<std::size_t> preferred;
    for (const placement_endpoint* endpoint : endpoints)
    {
        preferred.push_back(preferred_model(models, endpoint->endpoint));
    }
    int rounds = 0;
    for (const model_record& model : models)
    {
        rounds = std::max(rounds, model.min_ready + 1);
    }
    std::size_t unassigned = endpoints.size();
    for (int round = 0; round < rounds && unassigned > 0; ++round)
    {
        for (std::size_t index = 0; index < models.size() && unassigned > 0; ++index)
        {
            if (models[index].min_ready >= round)
            {
                assigned[best_unassigned(models[index], index, endpoints, preferred, assigned)] = index;
                --unassigned;
            }
        }
    }
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        if (assigned[index] == no_model)
        {
            assigned[index] = preferred[index];
        }
    }
    return assigned;
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

std::uint64_t sequence_hash_of(const model_record& model)
{
    std::uint64_t hash = 0;
    for (const placement_order& order : orders_for(model, endpoint_id{}))
    {
        hash = extend_sequence_hash(hash, order);
    }
    return hash;
}

} // namespace parsleyshift
