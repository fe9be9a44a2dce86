#pragma once

#include <parsleyshift/routing/endpoint_chooser.hpp> // endpoint_candidate, routing_query, basic_endpoint_chooser

namespace parsleyshift
{

/// @brief Expected wait at the candidate from its load, and the slowdown of a fuller batch.
struct load_score
{
    /// Wait per request ahead of the work when all slots are taken.
    double ms_per_waiting = 200;
    /// Added to the first-token time when the batch is full, in proportion below that.
    double ms_at_full_batch = 100;
    /// Wait when the memory is full; grows from `memory_share_free` of the capacity on.
    double ms_at_full_memory = 2'000;
    double memory_share_free = 0.8;
    /// Slots assumed for an endpoint without a load report.
    double slots_unknown = 8;

    double operator()(const endpoint_candidate& candidate, const routing_query& query) const;
};

/// @brief Prompt computation that the prefix cache saves; a negative cost.
struct prefix_score
{
    double ms_per_token = 0.25;

    double operator()(const endpoint_candidate& candidate, const routing_query& query) const;
};

/// @brief Delay and volume of the link: own zone first, then the own region; the link between regions is narrow and
/// billed.
struct link_score
{
    double ms_same_region = 2;
    double ms_other_region = 60;
    /// Price of the billed volume, as the delay that one kilobyte is worth.
    double ms_per_kilobyte = 2;

    double operator()(const endpoint_candidate& candidate, const routing_query& query) const;
};

/// @brief The chooser of the product.
using endpoint_chooser = basic_endpoint_chooser<load_score, prefix_score, link_score>;
/// @brief Baseline: least load only.
using least_load_chooser = basic_endpoint_chooser<load_score>;
/// @brief Baseline: random choice.
using random_chooser = basic_endpoint_chooser<>;

} // namespace parsleyshift
