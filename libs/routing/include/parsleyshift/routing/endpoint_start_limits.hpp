#pragma once

#include <parsleyshift/core/clock.hpp> // time_point
#include <parsleyshift/core/ids.hpp>   // endpoint_id

#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Latest known limits that endpoints state in their answers: the requests per second that an endpoint accepts
/// from all instances together.
class endpoint_start_limits
{
  public:
    /// @brief Records what an answer stated.
    /// @param starts_per_second nothing if the answer named no limit
    /// @param sent when the request was sent; a limit that was learned later is not ended by the answer
    /// @return true if the known limit has changed
    bool record_answer(const endpoint_id& endpoint, std::optional<double> starts_per_second, time_point sent,
                       time_point now);
    /// @brief Forgets an endpoint.
    void remove(const endpoint_id& endpoint);
    /// @brief Requests per second that an endpoint accepts; nothing without a known limit.
    [[nodiscard]] std::optional<double> limit(const endpoint_id& endpoint) const;

  private:
    struct statement
    {
        std::optional<double> starts_per_second;
        /// Time of the latest answer with this limit.
        time_point as_of;
    };
    std::unordered_map<endpoint_id, statement> statements_;
};

} // namespace parsleyshift
