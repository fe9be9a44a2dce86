#pragma once

#include <parsleyshift/core/error.hpp>      // error_kind
#include <parsleyshift/messages/action.hpp> // record_sample, record_zone_choice, request_finished
#include <parsleyshift/messages/store.hpp>  // store_read

#include <cstddef>     // size_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Source of malformed input.
enum class input_source
{
    caller,
    endpoint,
    peer,
    platform,
};

template <>
struct enum_names<input_source>
{
    static constexpr std::array rows{enum_name<input_source>{input_source::caller, "caller"},
                                     enum_name<input_source>{input_source::endpoint, "endpoint"},
                                     enum_name<input_source>{input_source::peer, "peer"},
                                     enum_name<input_source>{input_source::platform, "platform"}};
};

/// @brief Gauges.
enum class level_quantity
{
    caller_connections,
    endpoint_exchanges,
    peer_links,
    ring_from_callers,
    ring_from_endpoints,
    ring_from_peers,
    ring_from_platform,
    ring_to_callers,
    ring_to_endpoints,
    ring_to_peers,
    ring_to_platform,
    /// Total since the start; never decreases.
    log_lines_dropped,
    /// Era of the configuration service.
    current_source_era,
    evacuated_zones,
    /// Requests of this instance in progress at endpoints of evacuated zones.
    requests_in_evacuated_zones,
    cold_endpoints,
};

template <>
struct enum_names<level_quantity>
{
    static constexpr std::array rows{
        enum_name<level_quantity>{level_quantity::caller_connections, "caller_connections"},
        enum_name<level_quantity>{level_quantity::endpoint_exchanges, "endpoint_exchanges"},
        enum_name<level_quantity>{level_quantity::peer_links, "peer_links"},
        enum_name<level_quantity>{level_quantity::ring_from_callers, "ring_from_callers"},
        enum_name<level_quantity>{level_quantity::ring_from_endpoints, "ring_from_endpoints"},
        enum_name<level_quantity>{level_quantity::ring_from_peers, "ring_from_peers"},
        enum_name<level_quantity>{level_quantity::ring_from_platform, "ring_from_platform"},
        enum_name<level_quantity>{level_quantity::ring_to_callers, "ring_to_callers"},
        enum_name<level_quantity>{level_quantity::ring_to_endpoints, "ring_to_endpoints"},
        enum_name<level_quantity>{level_quantity::ring_to_peers, "ring_to_peers"},
        enum_name<level_quantity>{level_quantity::ring_to_platform, "ring_to_platform"},
        enum_name<level_quantity>{level_quantity::log_lines_dropped, "log_lines_dropped"},
        enum_name<level_quantity>{level_quantity::current_source_era, "source_era"},
        enum_name<level_quantity>{level_quantity::evacuated_zones, "evacuated_zones"},
        enum_name<level_quantity>{level_quantity::requests_in_evacuated_zones, "requests_in_evacuated_zones"},
        enum_name<level_quantity>{level_quantity::cold_endpoints, "cold_endpoints"}};
};

/// @brief Metrics of the process, exported in the text format of Prometheus. Members may be called on any thread
/// unless they say otherwise.
///
/// The first max_customers customers, max_classes classes, max_services services and max_zones zones have label values
/// of their own; all later ones share the label value "other", which bounds the memory.
class metrics
{
  public:
    static constexpr std::size_t max_customers = 64;
    static constexpr std::size_t max_classes = 16;
    static constexpr std::size_t max_services = 16;
    static constexpr std::size_t max_zones = 32;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// @brief Adds a sample to its histogram. Calls of both record() overloads must come from one thread. Constant time
    /// on average.
    void record(const record_sample& sample);
    /// @brief Counts a finished request by outcome, error kind, class and customer. Same thread as above; constant time
    /// on average.
    void record(const request_finished& request);
    /// @brief Counts a request sent to an endpoint by service, zones and reason. Same thread as above; constant time on
    /// average.
    void record(const record_zone_choice& choice);
    /// @brief Counts a read of the configuration service by source and result, and its size and duration.
    void record(const store_read& read);
    /// @brief Counts the bytes of an answer that passes items of the configuration service on to a peer.
    void count_relayed(std::size_t bytes);
    /// @brief Counts one rejected input.
    void count_malformed(input_source from, error_kind kind);
    /// @brief Counts messages to peers that were dropped, for a full queue, a broken connection or an oversized frame.
    void count_dropped_frames(std::size_t frames);
    /// @brief Sets a gauge.
    void set(level_quantity gauge, std::size_t value);

    /// @brief Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace parsleyshift
