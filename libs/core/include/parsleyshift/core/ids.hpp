#pragma once

#include <parsleyshift/core/strong_id.hpp> // strong_name, strong_number

namespace parsleyshift
{

/// Instance of the system: one daemon process on one machine.
using instance_id = strong_name<struct instance_tag>;
/// Engine or plain service that work is sent to.
using endpoint_id = strong_name<struct endpoint_tag>;
using customer_id = strong_name<struct customer_tag>;
using service_id = strong_name<struct service_tag>;
using model_id = strong_name<struct model_tag>;
/// Class of work, the name of a priority record.
using class_id = strong_name<struct class_tag>;
using zone_id = strong_name<struct availability_zone_tag>;
using region_id = strong_name<struct region_tag>;
/// Pool of endpoints of one service that one scheduler grants permits for.
using pool_id = strong_name<struct pool_tag>;

/// Request of a caller, unique within the instance that accepted it.
using request_id = strong_number<struct request_tag>;
/// One try at an endpoint, unique over all instances and incarnations.
using attempt_id = strong_number<struct attempt_tag>;
using permit_id = strong_number<struct permit_tag>;
/// Process start of an instance; a later start has a higher number.
using incarnation = strong_number<struct incarnation_tag>;
/// Revision of the configuration service.
using revision = strong_number<struct revision_tag>;
/// Number that an endpoint compares to reject orders of an old holder.
using fencing_number = strong_number<struct fencing_tag>;
/// Hash that recognises the same request over resends.
using fingerprint = strong_number<struct fingerprint_tag>;

} // namespace parsleyshift
