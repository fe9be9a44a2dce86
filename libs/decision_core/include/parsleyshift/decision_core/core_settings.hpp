#pragma once

#include <parsleyshift/configuration/settings.hpp>        // configuration_settings
#include <parsleyshift/core/clock.hpp>                    // duration
#include <parsleyshift/entry/entry_selector.hpp>          // entry_policy
#include <parsleyshift/membership/settings.hpp>           // membership_settings
#include <parsleyshift/messages/peer.hpp>                 // member_update
#include <parsleyshift/orders/order_home.hpp>             // order_settings
#include <parsleyshift/placement/settings.hpp>            // placement_settings
#include <parsleyshift/quarantine/crash_quarantine.hpp>   // quarantine_policy
#include <parsleyshift/records/settings.hpp>              // token_key
#include <parsleyshift/routing/endpoint_health.hpp>       // health_policy
#include <parsleyshift/routing/hedge_policy.hpp>          // hedge_bounds
#include <parsleyshift/routing/retry_budget.hpp>          // retry_budget_policy
#include <parsleyshift/routing/retry_policy.hpp>          // backoff_policy
#include <parsleyshift/scheduling/scheduler_settings.hpp> // scheduler_settings

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Intervals and bounds of requests in a decision core.
struct request_settings
{
    /// Requests in progress at this instance; one more is rejected with queue_full.
    std::size_t capacity = 20'000;
    /// Time without a sign of the pool scheduler after which the instance chooses an endpoint by itself; longer than a
    /// round trip between regions (60 ms) with a margin.
    duration permit_patience{300};
    /// Time between two requests for the same permit, which tell the scheduler that the requester still waits.
    duration permit_keepalive{1'000};
    /// Time between two renewals of a permit in use; a third of the scheduler's permit lifetime.
    duration permit_renewal{10'000};
    /// Time between two local choices while no endpoint has room in this instance's share.
    duration local_retry{100};
    /// Time without a token after which a stream is resumed from its engine, in case the link is dead without a sign.
    duration silence_timeout{15'000};
    /// Time for which a stream whose caller has disconnected can be resumed before its engine is told to cancel.
    duration resume_grace{30'000};
    /// Time between two notices to the instance from which a stream was taken over.
    duration takeover_interval{5'000};
    /// Lifetime of a continuation token.
    duration continuation_lifetime{600'000};
    /// Time that a call or an order may take when the caller names none.
    duration call_timeout{10'000};
    /// Time between two forwards of one order to its home instance.
    duration forward_interval{500};
    /// Time after which an order whose home instance does not answer is reported as unknown.
    duration forward_patience{10'000};
    /// Time after the start of a planned stop at which streams that still run are handed over by their token.
    duration handover_after{300'000};
    /// Time after a sign of an endpoint's death in which health notices about it count.
    duration health_notice_lifetime{5'000};
};

/// @brief Intervals and bounds of forwarded requests.
struct forwarding_settings
{
    /// Age of the configuration up to which a key counts as valid. Below the bound of 5 s on removed keys by the time
    /// that a request takes from the check to the endpoint.
    duration key_lease{4'300};
    /// Time after the service's return in which endpoints that vanished from the list while it was down are kept; they
    /// are listed again within 2 s when they live.
    duration lapse_grace{2'200};
    /// Time after an answer of the configuration's source from which engines are asked themselves whether they leave: a
    /// watch of the source is answered within 0.7 s, and takes up to 0.3 s more while the source is slow.
    duration source_overdue{1'150};
    /// Pause of a stream after which its caller has given up, as a multiple of the route's objective, and at least.
    int abandon_objectives = 4;
    duration abandon_after{2'000};
    /// Share of the abandon time within which a queued stream must have started.
    double start_share = 0.75;
    /// Time between two looks at streams that may have gone silent.
    duration silence_check{500};
    /// Time for which the last events of a run that has stopped to move may still arrive.
    duration last_events_wait{300};
    /// A planned stop ends once no request has come for `stop_quiet`, but not before `stop_least`: callers keep an
    /// entry answer of `entry_keep` up to three times as long.
    duration stop_quiet{1'500};
    duration stop_least{4'000};
    /// Time after the start of a planned stop from which new requests are refused, whether or not callers have heard of
    /// it: what is in progress needs the rest of the time that the platform grants.
    duration stop_refuse{4'000};
    /// Time for which callers keep an entry answer.
    duration entry_keep{2'000};
    /// Most addresses in an entry answer.
    std::size_t most_entries = 64;
    /// Interval of the check whether this instance can serve.
    duration readiness_check{250};
};

/// @brief Everything that a decision core needs to know at its start.
struct core_settings
{
    /// This instance as its peers should see it; `started` is its process start number.
    member_update self;
    /// Secrets that sign tokens, the signing one first.
    std::vector<token_key> token_keys;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    request_settings requests;
    membership_settings membership;
    configuration_settings configuration;
    scheduler_settings scheduling;
    placement_settings placement;
    health_policy health;
    quarantine_policy quarantine;
    order_settings orders;
    entry_policy entry;
    backoff_policy backoff;
    hedge_bounds hedging;
    retry_budget_policy retries;
    forwarding_settings forwarding;
    /// Endpoints of each pool that this instance sends to without a scheduler.
    std::size_t endpoint_subset = 24;
};

} // namespace parsleyshift
