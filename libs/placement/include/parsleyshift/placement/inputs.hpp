#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/ids.hpp>          // revision, region_id
#include <parsleyshift/messages/endpoint.hpp> // load_report
#include <parsleyshift/records/record.hpp>    // service_record, model_record, fleet_record

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief A record with the revision of its last change.
template <class Record>
struct revised_record
{
    Record record;
    revision changed;
};

/// @brief The part of the configuration that placement depends on.
struct placement_configuration
{
    std::vector<revised_record<service_record>> services;
    std::vector<revised_record<model_record>> models;
    fleet_record fleet;
    /// Highest revision over all service, model and fleet records, withdrawals included, so that it never goes back.
    revision latest;
};

/// @brief An engine that the platform's list or a report has named.
struct placement_endpoint
{
    endpoint_id endpoint;
    service_id service;
    std::string address;
    region_id region;
};

} // namespace parsleyshift
