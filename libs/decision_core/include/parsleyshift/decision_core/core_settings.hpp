#pragma once

#include <parsleyshift/configuration/reader_ranking.hpp>  // reader_ranking_settings
#include <parsleyshift/configuration/settings.hpp>        // configuration_settings
#include <parsleyshift/core/clock.hpp>                    // duration
#include <parsleyshift/entry/entry_selector.hpp>          // entry_policy
#include <parsleyshift/membership/settings.hpp>           // membership_settings
#include <parsleyshift/messages/peer.hpp>                 // member_update
#include <parsleyshift/orders/order_table.hpp>            // order_settings
#include <parsleyshift/placement/settings.hpp>            // placement_settings
#include <parsleyshift/quarantine/crash_quarantine.hpp>   // quarantine_policy
#include <parsleyshift/records/settings.hpp>              // token_key
#include <parsleyshift/records/zone_traffic_settings.hpp> // zone_traffic_settings
#include <parsleyshift/routing/endpoint_health.hpp>       // health_policy
#include <parsleyshift/routing/hedge_policy.hpp>          // hedge_settings
#include <parsleyshift/routing/retry_budget.hpp>          // retry_budget_policy
#include <parsleyshift/routing/retry_policy.hpp>          // backoff_policy
#include <parsleyshift/scheduling/scheduler_settings.hpp> // scheduler_settings

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Timeouts, intervals and bounds for requests in a decision core.
struct request_settings
{
    /// Maximum number of requests in progress at this instance, for each kind: generations, calls, orders and forwarded
    /// requests. Further ones are rejected with queue_full.
    std::size_t capacity = 20'000;
    /// Time without an answer of the pool scheduler after which the instance chooses an endpoint itself; exceeds a
    /// round trip between regions (60 ms) with a margin.
    duration scheduler_timeout{300};
    /// Interval at which a permit request is repeated, so that the scheduler keeps it in its queue.
    duration request_resend_interval{1'000};
    /// Interval at which a permit in use is renewed; a third of the scheduler's permit lifetime.
    duration permit_renewal{10'000};
    /// Interval at which a local choice is retried while no endpoint has room in this instance's share.
    duration retry_interval{100};
    /// Time without a token after which a stream is resumed from its engine, since its connection may be dead without
    /// an error having been reported.
    duration silence_timeout{15'000};
    /// Time for which a stream can be resumed after its caller has disconnected; then it is cancelled at its engine.
    duration resume_grace{30'000};
    /// Interval at which the instance that served a resumed stream before is notified of the takeover.
    duration takeover_interval{5'000};
    /// Lifetime of a continuation token.
    duration continuation_lifetime{600'000};
    /// Default timeout of a call, timeout of one attempt to send an order, and time for which a generation that
    /// continues an earlier one before its first token is retried.
    duration call_timeout{10'000};
    /// Interval at which an unanswered order is forwarded to its home instance again.
    duration forward_interval{500};
    /// Time after which an order whose home instance does not answer is sent from here if the endpoints check keys, and
    /// is otherwise reported as unknown.
    duration forward_timeout{10'000};
    /// Time from the start of a planned stop after which streams that still run are ended, so that their callers resume
    /// them at other instances with the continuation token.
    duration handover_after{300'000};
    /// Maximum time for which a health notice about an endpoint is valid at the pool's scheduler.
    duration health_notice_lifetime{5'000};
};

/// @brief Timeouts, intervals and bounds for forwarded requests.
struct forwarding_settings
{
    /// Maximum age of the configuration for which keys are accepted. A removed key must stop working within 5 s; the
    /// difference covers the time from the check of a key to the arrival of the request at the endpoint.
    duration max_key_age{4'300};
    /// Time for which endpoints that vanished from the instance list during an outage of the list service are kept
    /// after its recovery; endpoints that are alive are listed again within 2 s.
    duration missing_endpoint_grace{2'200};
    /// Time since the last answer of the configuration source after which engines are polled directly for whether they
    /// are leaving. A watch of the source is answered within 0.7 s, and within a further 0.3 s while the source is
    /// slow.
    duration source_answer_timeout{1'150};
    /// Which instances of a region its other instances follow instead of reading the configuration source.
    reader_ranking_settings source_readers{};
    /// A caller is assumed to have abandoned its stream after a pause of `silence_objective_multiple` times the route's
    /// latency objective or `silence_gap_multiple` times its longest pause between events, whichever is longer, but not
    /// before `min_silence`.
    int silence_objective_multiple = 4;
    int silence_gap_multiple = 8;
    duration min_silence{2'000};
    /// Fraction of the abandon time within which a queued stream must start.
    double start_share_of_silence_limit = 0.75;
    /// A late start is of use to callers whose time limit is at least this multiple of the latency objective. Other
    /// requests that cannot start in time are rejected at once in times of scarcity.
    int late_service_multiple = 6;
    /// Time on the way to the engine and back within which the first event arrives: a round trip between two regions.
    duration first_event_path_time{60};
    /// Interval at which the time since the last event of a stream is checked.
    duration silence_check_interval{500};
    /// Time for which the last events of a run that was stopped in order to be moved can still arrive.
    duration last_events_wait{300};
    /// A stream without framing whose endpoint gives no answer counts as broken off after `end_check_limit`. Processes
    /// that pause for a second and go on must not count as dead, and a probe takes up to 0.9 s to time out.
    duration end_check_limit{1'500};
    /// Wait before the endpoint is probed again.
    duration end_check_interval{100};
    /// A planned stop ends once no request has arrived for `stop_idle_time`, but not before `min_stop_duration`,
    /// because callers cache an entry answer for up to three times `entry_ttl`.
    duration stop_idle_time{1'500};
    duration min_stop_duration{4'000};
    /// Time from the start of a planned stop after which new requests are rejected, even if callers still send them:
    /// requests in progress need the rest of the time that the platform grants.
    duration stop_reject_after{4'000};
    /// Time from the start of a planned stop after which the requests that are still in progress are ended with their
    /// final answers; shorter than the time that the platform grants, so that these answers can be written.
    duration stop_end_after{7'000};
    /// Time for which callers should cache an entry answer.
    duration entry_ttl{2'000};
    /// Maximum number of addresses in an entry answer.
    std::size_t max_entries = 64;
    /// Interval at which the readiness of this instance is checked.
    duration readiness_check_interval{250};
};

/// @brief Settings of a decision core, fixed at its start.
struct core_settings
{
    /// This instance's own member record, as sent to peers; `started` is its incarnation, which is higher than that of
    /// each earlier process.
    member_update self;
    /// Keys of the token signatures: the first one signs, all of them verify.
    std::vector<token_key> token_keys;
    /// Seed of all random choices; combined with the identity of the instance.
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
    hedge_settings hedging;
    retry_budget_policy retries;
    forwarding_settings forwarding;
    zone_traffic_settings zone_traffic;
    /// Number of endpoints of each pool that this instance uses when it chooses without a scheduler, and whose
    /// load reports it reads when it does not schedule the pool.
    std::size_t endpoint_subset = 24;
};

} // namespace parsleyshift
