#include <parsleyshift/routing/endpoint_chooser.hpp> // endpoint_candidate, routing_query

#include <algorithm> // find
#include <limits>    // numeric_limits

namespace parsleyshift::detail
{

namespace
{

/// Batch slots assumed for an endpoint without a load report, only for comparing loads.
constexpr double default_slots = 8.0;

bool has_model(const endpoint_entry& entry, const model_id& model)
{
    if (model.empty() || !entry.load)
    {
        return true;
    }
    const std::vector<model_id>& loaded = entry.load->models;
    return std::find(loaded.begin(), loaded.end(), model) != loaded.end();
}

bool excluded(const endpoint_entry& entry, const routing_query& query)
{
    return std::find(query.excluded.begin(), query.excluded.end(), entry.endpoint) != query.excluded.end();
}

} // namespace

bool eligible(const endpoint_candidate& candidate, const routing_query& query)
{
    const endpoint_entry& entry = *candidate.entry;
    return !entry.leaving && has_model(entry, query.model) && !excluded(entry, query);
}

double load_per_slot(const endpoint_load& load)
{
    // The request to be routed is included, so that the load per slot of idle endpoints and the limit derived from it
    // are not 0.
    return (load.requests + 1.0) / (load.slots > 0 ? load.slots : default_slots);
}

double affinity_limit(std::span<const endpoint_candidate> candidates, const routing_query& query,
                      double multiple_of_mean)
{
    if (query.prefixes.empty())
    {
        return std::numeric_limits<double>::infinity();
    }
    double sum = 0.0;
    std::size_t count = 0;
    for (const endpoint_candidate& candidate : candidates)
    {
        if (eligible(candidate, query))
        {
            sum += load_per_slot(candidate.load);
            ++count;
        }
    }
    return count == 0 ? 0.0 : multiple_of_mean * sum / static_cast<double>(count);
}

} // namespace parsleyshift::detail
