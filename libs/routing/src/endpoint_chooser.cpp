#include <parsleyshift/routing/endpoint_chooser.hpp> // endpoint_candidate, routing_query

#include <algorithm> // find
#include <limits>    // numeric_limits

namespace parsleyshift::detail
{

namespace
{

/// Slots assumed for an endpoint without a load report, for comparing loads only.
constexpr double slots_unknown = 8.0;

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

bool admissible(const endpoint_candidate& candidate, const routing_query& query)
{
    const endpoint_entry& entry = *candidate.entry;
    return !entry.leaving && has_model(entry, query.model) && !excluded(entry, query);
}

double load_share(const endpoint_load& load)
{
    // The work to be placed is counted, so that the share of idle endpoints is not 0 and the bound on it not either.
    return (load.requests + 1.0) / (load.slots > 0 ? load.slots : slots_unknown);
}

double affinity_bound(std::span<const endpoint_candidate> candidates, const routing_query& query,
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
        if (admissible(candidate, query))
        {
            sum += load_share(candidate.load);
            ++count;
        }
    }
    return count == 0 ? 0.0 : multiple_of_mean * sum / static_cast<double>(count);
}

} // namespace parsleyshift::detail
