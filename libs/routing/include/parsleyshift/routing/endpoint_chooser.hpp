#pragma once

#include <parsleyshift/core/ids.hpp>                   // endpoint_id, model_id
#include <parsleyshift/core/random_source.hpp>         // random_source
#include <parsleyshift/routing/endpoint_directory.hpp> // endpoint_entry
#include <parsleyshift/routing/in_flight_tracker.hpp>  // endpoint_load

#include <algorithm> // max
#include <array>     // array
#include <cmath>     // abs
#include <concepts>  // convertible_to
#include <cstddef>   // size_t
#include <cstdint>   // int64_t, uint64_t
#include <limits>    // numeric_limits
#include <optional>  // optional
#include <span>      // span
#include <tuple>     // tuple, apply
#include <utility>   // move
#include <vector>    // vector

namespace parsleyshift
{

/// @brief Network distance between an instance and an endpoint.
enum class link_distance
{
    same_zone,
    same_region,
    /// The link has little bandwidth and is billed by volume.
    other_region,
};

template <>
struct enum_names<link_distance>
{
    static constexpr std::array rows{enum_name<link_distance>{link_distance::same_zone, "same_zone"},
                                     enum_name<link_distance>{link_distance::same_region, "same_region"},
                                     enum_name<link_distance>{link_distance::other_region, "other_region"}};
};

/// @brief The properties of a request from which its endpoint is chosen.
struct routing_query
{
    service_id service;
    /// Empty when any model will do, and for plain services.
    model_id model;
    /// Result of prefix_hashes(); empty when the request has no prefix affinity.
    std::vector<std::uint64_t> prefixes;
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_tokens = 0;
    /// Bytes of request and expected answer, for the cost of the link.
    std::int64_t bytes = 0;
    /// Endpoints of earlier attempts of the same request; they are not chosen again.
    std::vector<endpoint_id> excluded;
};

/// @brief An endpoint with the properties that the choice depends on.
struct endpoint_candidate
{
    const endpoint_entry* entry = nullptr;
    endpoint_load load;
    /// Share of its usual requests that the endpoint should receive, 0 to 1, from endpoint_health.
    double weight = 1.0;
    link_distance distance = link_distance::same_zone;
    /// Prompt tokens that the endpoint is expected to read from its prefix cache.
    double saved_tokens = 0;
};

/// @brief A term of the cost of sending a request to a candidate, in milliseconds of expected delay; negative for a
/// gain.
template <class T>
concept cost_term = requires(const T& term, const endpoint_candidate& candidate, const routing_query& query)
{
    {
        term(candidate, query)
        } -> std::convertible_to<double>;
};

/// @brief Parameters of a choice.
struct chooser_policy
{
    /// Prefix affinity counts only for candidates whose load per slot is at most this multiple of the mean.
    double max_affinity_load = 1.25;
    /// Largest random addition to each cost, as a share of the cost or of 1 ms, whichever is larger, so that instances
    /// with the same load reports do not all choose the same endpoint.
    double cost_jitter = 0.1;
};

/// @brief The chosen endpoint and its cost.
struct chosen_endpoint
{
    const endpoint_entry* entry = nullptr;
    /// Without the random addition.
    double cost_ms = 0;
    /// 0 when prefix affinity did not count.
    double saved_tokens = 0;
};

namespace detail
{

/// True when the endpoint is not leaving, not excluded, and has the model or has sent no load report yet, so that its
/// models are unknown.
bool eligible(const endpoint_candidate& candidate, const routing_query& query);
/// Requests per batch slot, including the request to be routed.
double load_per_slot(const endpoint_load& load);
/// Largest load per slot at which prefix affinity counts; infinite for a query without prefixes.
double affinity_limit(std::span<const endpoint_candidate> candidates, const routing_query& query,
                      double multiple_of_mean);

} // namespace detail

/// @brief Chooses the candidate with the lowest sum of costs.
///
/// Leaving endpoints, excluded ones and those whose load report lacks the model are not eligible. A candidate whose
/// weight is below 1 is considered with the probability weight / candidates, so that it receives at most its weight
/// times an even share of the requests even when it has the lowest load. When no candidate is considered, the eligible
/// one with the highest weight is chosen.
/// @tparam Term functors whose results are added
template <cost_term... Term>
class basic_endpoint_chooser
{
  public:
    explicit basic_endpoint_chooser(const chooser_policy& policy = {}) : policy_(policy) {}
    basic_endpoint_chooser(const chooser_policy& policy, Term... terms) requires(sizeof...(Term) > 0)
        : policy_(policy), terms_(std::move(terms)...)
    {
    }

    /// @brief Chooses an endpoint. O(candidates * (terms + excluded + models per endpoint)).
    /// @return nothing when no candidate is eligible
    [[nodiscard]] std::optional<chosen_endpoint> choose(std::span<const endpoint_candidate> candidates,
                                                        const routing_query& query, random_source& random) const;

    /// @brief Cost of one candidate in milliseconds, without the random addition. O(terms).
    /// @param affinity_counts false to ignore the candidate's saved tokens
    [[nodiscard]] double cost(endpoint_candidate candidate, const routing_query& query, bool affinity_counts) const;

  private:
    chooser_policy policy_;
    std::tuple<Term...> terms_;
};

template <cost_term... Term>
double basic_endpoint_chooser<Term...>::cost(endpoint_candidate candidate, const routing_query& query,
                                             bool affinity_counts) const
{
    if (!affinity_counts)
    {
        candidate.saved_tokens = 0;
    }
    return std::apply([&](const Term&... term) { return (0.0 + ... + static_cast<double>(term(candidate, query))); },
                      terms_);
}

template <cost_term... Term>
std::optional<chosen_endpoint> basic_endpoint_chooser<Term...>::choose(std::span<const endpoint_candidate> candidates,
                                                                       const routing_query& query,
                                                                       random_source& random) const
{
    const double max_load_per_slot = detail::affinity_limit(candidates, query, policy_.max_affinity_load);
    const double even_share = 1.0 / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    std::optional<chosen_endpoint> best;
    std::optional<chosen_endpoint> fallback;
    double lowest_cost = std::numeric_limits<double>::infinity();
    double highest_weight = -1.0;
    for (const endpoint_candidate& candidate : candidates)
    {
        if (!detail::eligible(candidate, query))
        {
            continue;
        }
        const bool affinity_counts = detail::load_per_slot(candidate.load) <= max_load_per_slot;
        const double base_cost = cost(candidate, query, affinity_counts);
        const chosen_endpoint choice{candidate.entry, base_cost, affinity_counts ? candidate.saved_tokens : 0.0};
        if (candidate.weight > highest_weight)
        {
            highest_weight = candidate.weight;
            fallback = choice;
        }
        if (candidate.weight < 1.0 && random.fraction() >= candidate.weight * even_share)
        {
            continue;
        }
        // A cost below 1 ms counts as 1 ms, so that costs near 0 get a random addition too.
        const double jittered_cost =
            base_cost + std::max(1.0, std::abs(base_cost)) * policy_.cost_jitter * random.fraction();
        if (jittered_cost < lowest_cost)
        {
            lowest_cost = jittered_cost;
            best = choice;
        }
    }
    return best ? best : fallback;
}

} // namespace parsleyshift
