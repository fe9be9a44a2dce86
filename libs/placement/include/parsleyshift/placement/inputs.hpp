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

/// @brief A configuration record with the revision of its last change.
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
    /// Highest revision of all service, model and fleet records. Includes withdrawn ones, so that it never decreases.
    revision latest_revision;
};

/// @brief An engine that the platform lists or that has sent a report.
struct placement_endpoint
{
    endpoint_id endpoint;
    service_id service;
    std::string address;
    region_id region;
};

/// @brief Why an order is deferred.
enum class deferral_reason
{
    /// There is no recent report, or the endpoint is leaving.
    no_report,
    /// The hold-off time after a configuration change has not passed.
    hold_off,
    /// An order is in progress, or the endpoint has accepted an order of another planner's order sequence.
    in_progress,
    /// The endpoint reports a higher configuration revision than this instance has.
    behind,
    /// Too few other endpoints would serve a model that this endpoint serves.
    capacity,
    /// This planner's share of the weight store's rate is used up.
    store_rate,
    /// The endpoint is outside the weight store's region, where no model is loaded.
    other_region,
};

template <>
struct enum_names<deferral_reason>
{
    static constexpr std::array rows{enum_name<deferral_reason>{deferral_reason::no_report, "no_report"},
                                     enum_name<deferral_reason>{deferral_reason::hold_off, "hold_off"},
                                     enum_name<deferral_reason>{deferral_reason::in_progress, "in_progress"},
                                     enum_name<deferral_reason>{deferral_reason::behind, "behind"},
                                     enum_name<deferral_reason>{deferral_reason::capacity, "capacity"},
                                     enum_name<deferral_reason>{deferral_reason::store_rate, "store_rate"},
                                     enum_name<deferral_reason>{deferral_reason::other_region, "other_region"}};
};

/// @brief An endpoint that gets no order in this pass, with the reason.
struct placement_deferral
{
    endpoint_id endpoint;
    deferral_reason reason = deferral_reason::no_report;
};

} // namespace parsleyshift
