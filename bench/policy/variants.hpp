#pragma once

#include "scheduler_policy.hpp" // all_mechanisms

namespace parsleyshift::bench
{

/// @brief No slots and memory are kept for short work.
struct without_lane : all_mechanisms
{
    static scheduler_settings settings()
    {
        scheduler_settings changed = all_mechanisms::settings();
        changed.reserved_share = 0.0;
        return changed;
    }
};

/// @brief Memory counts as it is used now; expected growth is not reserved.
struct without_growth : all_mechanisms
{
    static scheduler_settings settings()
    {
        scheduler_settings changed = all_mechanisms::settings();
        changed.reserve_quantile = 0.0;
        changed.headroom_share = 0.0;
        return changed;
    }
};

struct without_headroom : all_mechanisms
{
    static scheduler_settings settings()
    {
        scheduler_settings changed = all_mechanisms::settings();
        changed.headroom_share = 0.0;
        return changed;
    }
};

/// @brief Waiting raises no class, and old work keeps no room free for itself.
struct without_aging : all_mechanisms
{
    static scheduler_settings settings()
    {
        scheduler_settings changed = all_mechanisms::settings();
        changed.aging_step = duration{1'000'000'000};
        changed.reservation_delay = duration{1'000'000'000};
        return changed;
    }
};

struct without_consolidation : all_mechanisms
{
    static scheduler_settings settings()
    {
        scheduler_settings changed = all_mechanisms::settings();
        changed.straggler_bonus = 0.0;
        return changed;
    }
};

/// @brief Requests are denied only when their deadline has come or the queue is full.
struct without_early_denial : all_mechanisms
{
    static scheduler_settings settings()
    {
        scheduler_settings changed = all_mechanisms::settings();
        changed.early_denial = false;
        return changed;
    }
};

struct without_fairness : all_mechanisms
{
    using queue = arrival_queue;
};

/// @brief Lengths are learned per class only.
struct without_customers : all_mechanisms
{
    static constexpr bool per_customer = false;
};

struct without_health : all_mechanisms
{
    static constexpr bool health = false;
};

struct without_zones : all_mechanisms
{
    static constexpr double zone_preference = 0.0;
};

} // namespace parsleyshift::bench
