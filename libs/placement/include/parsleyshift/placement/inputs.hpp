#pragma once

#include <parsleyshift/core/clock.hpp>        // time_point
#include <parsleyshift/core/ids.hpp>          // revision, region_id
#include <parsleyshift/core/name_table.hpp>   // enum_names
#include <parsleyshift/messages/endpoint.hpp> // load_report
#include <parsleyshift/records/record.hpp>    // service_record, model_record, fleet_record

#include <array>  // array
#include <string> // string
#include <vector> // vector

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

/// @brief Why an order is not sent yet.
enum class hold_reason
{
    /// No fresh report, or the endpoint is leaving.
    no_report,
    /// The configuration changed a short time ago.
    hold_off,
    /// An order is in progress, or another planner has ordered something else.
    in_progress,
    /// The endpoint reports a higher revision than this instance knows.
    behind,
    /// Too few other endpoints would serve a model that this one holds.
    capacity,
    /// The share of the weight store's rate is spent.
    store_rate,
    /// Weights are loaded only in the region of the weight store.
    other_region,
};

template <>
struct enum_names<hold_reason>
{
    static constexpr std::array rows{enum_name<hold_reason>{hold_reason::no_report, "no_report"},
                                     enum_name<hold_reason>{hold_reason::hold_off, "hold_off"},
                                     enum_name<hold_reason>{hold_reason::in_progress, "in_progress"},
                                     enum_name<hold_reason>{hold_reason::behind, "behind"},
                                     enum_name<hold_reason>{hold_reason::capacity, "capacity"},
                                     enum_name<hold_reason>{hold_reason::store_rate, "store_rate"},
                                     enum_name<hold_reason>{hold_reason::other_region, "other_region"}};
};

/// @brief An endpoint that does not hold what it should, and why nothing is ordered.
struct placement_hold
{
    endpoint_id endpoint;
    hold_reason why = hold_reason::no_report;
};

} // namespace parsleyshift
