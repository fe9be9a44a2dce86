#pragma once

#include <parsleyshift/core/clock.hpp>             // duration, time_point
#include <parsleyshift/records/record.hpp>         // priority_record
#include <parsleyshift/scheduling/queue_order.hpp> // queue_order
#include <parsleyshift/scheduling/rate_meter.hpp>  // rate_meter

namespace parsleyshift
{

/// @brief A priority class in one pool: its record, its queue and the rate at which the queue drains.
template <queue_order QueueOrder>
struct work_class
{
    priority_record record;
    QueueOrder queue;
    /// Rate at which queued cost is granted while the queue is not empty.
    rate_meter drain;
};

} // namespace parsleyshift
