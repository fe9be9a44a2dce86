#pragma once

#include <parsleyshift/core/error.hpp>      // error_kind
#include <parsleyshift/messages/action.hpp> // observe, request_finished

#include <cstddef>     // size_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Where malformed input came from.
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

/// @brief A quantity that rises and falls.
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
    /// Rises only.
    log_lines_dropped,
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
        enum_name<level_quantity>{level_quantity::log_lines_dropped, "log_lines_dropped"}};
};

/// @brief The daemon's figures, in the text format of Prometheus. All threads.
///
/// Customers and classes are labels up to a bound each; later ones are counted as "other".
class metrics
{
  public:
    static constexpr std::size_t max_customers = 64;
    static constexpr std::size_t max_classes = 16;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// @brief Adds a value to its histogram. One thread only; constant time on average.
    void record(const observe& value);
    /// @brief Counts the end of a request. One thread only; constant time on average.
    void record(const request_finished& ended);
    void count_malformed(input_source from, error_kind kind);
    /// @param frames messages to peers that were dropped because of a full queue or a broken connection
    void count_dropped_frames(std::size_t frames);
    void set(level_quantity what, std::size_t value);

    /// @brief All figures as text.
    [[nodiscard]] std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace parsleyshift
