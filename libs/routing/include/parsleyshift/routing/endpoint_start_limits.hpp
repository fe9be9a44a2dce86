#pragma once

#include <parsleyshift/core/clock.hpp>        // duration, time_point
#include <parsleyshift/core/ids.hpp>          // endpoint_id
#include <parsleyshift/messages/endpoint.hpp> // endpoint_statement
#include <parsleyshift/messages/peer.hpp>     // endpoint_notice

#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Latest known limits that endpoints state in their answers: the requests per second that an endpoint accepts
/// from all instances together, and that it is brittle, so that no more requests may be sent than it has slots.
class endpoint_start_limits
{
  public:
    /// @brief Records what an answer stated.
    /// @param sent when the request was sent; a limit that was learned later is not ended by the answer
    /// @return true if the known limit has changed
    bool record_answer(const endpoint_id& endpoint, const endpoint_statement& stated, time_point sent, time_point now);
    /// @brief Applies a peer's notice, unless a later answer is known.
    /// @return true if the known limit has changed
    bool merge(const endpoint_notice& notice, time_point now);
    /// @brief Notices of the known limits and of those that ended within `ended_notice_lifetime`.
    [[nodiscard]] std::vector<endpoint_notice> notices(time_point now) const;
    /// @brief Notice of what is known about one endpoint; without a limit when nothing is.
    [[nodiscard]] endpoint_notice notice_of(const endpoint_id& endpoint, time_point now) const;
    /// @brief True if no endpoint has named a limit.
    [[nodiscard]] bool empty() const noexcept
    {
        return limits_.empty();
    }
    /// @brief Forgets an endpoint.
    void remove(const endpoint_id& endpoint);
    /// @brief Requests per second that an endpoint accepts; nothing without a known limit.
    [[nodiscard]] std::optional<double> limit(const endpoint_id& endpoint) const;
    /// @brief True while an endpoint fails when it has to reject many requests.
    [[nodiscard]] bool brittle(const endpoint_id& endpoint) const;

  private:
    /// Time for which peers are told that a limit has ended.
    static constexpr duration ended_notice_lifetime{10'000};
    /// Age in the notice of an endpoint of which no answer is known, so that a notice about something else does not end
    /// a limit that the receiver knows.
    static constexpr duration unknown_age{1'000'000'000'000};

    struct known_limit
    {
        std::optional<double> starts_per_second;
        bool brittle = false;
        /// Time of the latest answer that stated this.
        time_point as_of;

        [[nodiscard]] bool limits_starts() const noexcept
        {
            return starts_per_second.has_value() || brittle;
        }
        [[nodiscard]] bool states_the_same(const known_limit& other) const noexcept
        {
            return starts_per_second == other.starts_per_second && brittle == other.brittle;
        }
    };
    /// Replaces what is known. @return true if it states something else
    bool replace(const endpoint_id& endpoint, const known_limit& stated);

    std::unordered_map<endpoint_id, known_limit> limits_;
};

} // namespace parsleyshift
