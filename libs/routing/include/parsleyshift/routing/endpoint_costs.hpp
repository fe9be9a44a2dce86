#pragma once

#include <parsleyshift/routing/endpoint_chooser.hpp> // endpoint_candidate, routing_query, basic_endpoint_chooser

namespace parsleyshift
{

/// @brief Cost of the candidate's load: the expected wait, and the slower processing in a fuller batch.
struct load_cost
{
    /// Wait per request that is queued because all batch slots are in use.
    double ms_per_queued_request = 200;
    /// Added to the first-token time when all batch slots are in use; proportionally less below that.
    double ms_at_full_batch = 100;
    /// Wait when the memory is full. It grows linearly from 0 at the share `memory_cost_threshold` of the capacity.
    double ms_at_full_memory = 2'000;
    double memory_cost_threshold = 0.8;
    /// Batch slots assumed for an endpoint without a load report.
    double default_slots = 8;

    double operator()(const endpoint_candidate& candidate, const routing_query& query) const;
};

/// @brief Prompt computation that the candidate's prefix cache saves, as a negative cost.
struct prefix_cost
{
    /// Time to compute one prompt token.
    double ms_per_token = 0.25;

    double operator()(const endpoint_candidate& candidate, const routing_query& query) const;
};

/// @brief Cost of the network link to the candidate: 0 in the same zone, a small delay in the same region, and a delay
/// plus a price per byte to other regions, whose links have little bandwidth and are billed by volume.
struct link_cost
{
    double ms_same_region = 2;
    double ms_other_region = 60;
    /// Price of one kilobyte between regions, expressed as a delay.
    double ms_per_kilobyte = 2;

    double operator()(const endpoint_candidate& candidate, const routing_query& query) const;
};

/// @brief The chooser used in production.
using endpoint_chooser = basic_endpoint_chooser<load_cost, prefix_cost, link_cost>;
/// @brief Baseline for comparisons: lowest load only.
using least_load_chooser = basic_endpoint_chooser<load_cost>;
/// @brief Baseline for comparisons: random choice.
using random_chooser = basic_endpoint_chooser<>;

} // namespace parsleyshift
