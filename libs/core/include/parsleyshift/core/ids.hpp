#pragma once

#include <parsleyshift/core/strong_id.hpp> // strong_name, strong_number

namespace parsleyshift
{

/// Instance of the system: a daemon process on a machine.
using instance_id = strong_name<struct instance_tag>;
/// Member of a service that executes requests: an engine or a plain service.
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

/// Request of a caller; unique within the instance that accepted it, over all its incarnations.
using request_id = strong_number<struct request_tag>;
/// One attempt to execute a request at an endpoint; unique across all instances and incarnations.
using attempt_id = strong_number<struct attempt_tag>;
using permit_id = strong_number<struct permit_tag>;
/// Counts the starts of an instance's process; a later start has a higher number.
using incarnation = strong_number<struct incarnation_tag>;
/// Revision of the configuration data; a later change has a higher number.
using revision = strong_number<struct revision_tag>;
/// Counts how often the configuration service has come back from a copy of its data, in which revisions go back. Only
/// revisions of one era can be compared; 0 is that of a service that states none.
using source_era = strong_number<struct source_era_tag>;
/// Fencing token of placement orders: an endpoint rejects an order with an outdated number.
using fencing_number = strong_number<struct fencing_tag>;
/// Hash of a request's customer and content; equal when the same request is sent again.
using fingerprint = strong_number<struct fingerprint_tag>;

} // namespace parsleyshift
