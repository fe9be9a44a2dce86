#pragma once

#include <parsleyshift/core/strong_id.hpp> // strong_name, strong_number

namespace parsleyshift
{

/// Instance of the system: a daemon process on a machine.
using instance_id = strong_name<struct instance_tag>;
/// Engine or plain service that executes requests.
using endpoint_id = strong_name<struct endpoint_tag>;
using customer_id = strong_name<struct customer_tag>;
using service_id = strong_name<struct service_tag>;
using model_id = strong_name<struct model_tag>;
/// Priority class of requests; the name of a priority record.
using class_id = strong_name<struct class_tag>;
using zone_id = strong_name<struct availability_zone_tag>;
using region_id = strong_name<struct region_tag>;
/// Pool of endpoints of one service; one scheduler grants the permits for it.
using pool_id = strong_name<struct pool_tag>;

/// Request of a caller; unique within the instance that accepted it.
using request_id = strong_number<struct request_tag>;
/// One attempt to execute a request at an endpoint; unique across all instances and incarnations.
using attempt_id = strong_number<struct attempt_tag>;
using permit_id = strong_number<struct permit_tag>;
/// Number of a process start of an instance; a later start has a higher number.
using incarnation = strong_number<struct incarnation_tag>;
/// Revision of the configuration service.
using revision = strong_number<struct revision_tag>;
/// Fencing token: an endpoint compares it to reject orders from a previous holder.
using fencing_number = strong_number<struct fencing_tag>;
/// Hash that identifies a request across resends.
using fingerprint = strong_number<struct fingerprint_tag>;

} // namespace parsleyshift
