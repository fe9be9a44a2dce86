#pragma once

#include <parsleyshift/core/clock.hpp>                // duration, time_point
#include <parsleyshift/records/record.hpp>            // priority_record
#include <parsleyshift/scheduling/queue_order.hpp>    // queue_order
#include <parsleyshift/scheduling/rate_meter.hpp>     // rate_meter
#include <parsleyshift/scheduling/retry_schedule.hpp> // retry_schedule

namespace parsleyshift
{

/// @brief A priority class in one pool: its record, its queue and its service rate.
template <queue_order QueueOrder>
struct work_class
{
    priority_record record;
    QueueOrder queue;
    /// Cost (tokens) of the requests granted per millisecond while the queue is not empty.
    rate_meter service_rate;
    /// Cost (tokens) of the late requests granted per millisecond while late requests are queued.
    rate_meter late_rate;
    /// Retry times told to callers.
    retry_schedule retries;
};

} // namespace parsleyshift
