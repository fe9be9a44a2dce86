#pragma once

#include <parsleyshift/core/clock.hpp>    // duration, time_point
#include <parsleyshift/core/ids.hpp>      // endpoint_id
#include <parsleyshift/messages/peer.hpp> // endpoint_limit_notice

#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

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
    /// @brief Applies a peer's notice, unless a later answer is known.
    /// @return true if the known limit has changed
    bool merge(const endpoint_limit_notice& notice, time_point now);
    /// @brief Notices of the known limits and of those that ended within `ended_notice_lifetime`.
    [[nodiscard]] std::vector<endpoint_limit_notice> notices(time_point now) const;
    /// @brief Notice of what is known about one endpoint; without a limit when nothing is.
    [[nodiscard]] endpoint_limit_notice notice_of(const endpoint_id& endpoint, time_point now) const;
    /// @brief True if no endpoint has named a limit.
    [[nodiscard]] bool empty() const noexcept
    {
        return statements_.empty();
    }
    /// @brief Forgets an endpoint.
    void remove(const endpoint_id& endpoint);
    /// @brief Requests per second that an endpoint accepts; nothing without a known limit.
    [[nodiscard]] std::optional<double> limit(const endpoint_id& endpoint) const;

  private:
    /// Time for which peers are told that a limit has ended.
    static constexpr duration ended_notice_lifetime{10'000};

    struct statement
    {
        std::optional<double> starts_per_second;
        /// Time of the latest answer with this limit.
        time_point as_of;
    };
    std::unordered_map<endpoint_id, statement> statements_;
};

} // namespace parsleyshift
