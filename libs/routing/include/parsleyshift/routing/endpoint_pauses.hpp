#pragma once

#include <parsleyshift/core/clock.hpp> // duration, time_point
#include <parsleyshift/core/ids.hpp>   // endpoint_id

#include <optional>      // optional
#include <unordered_map> // unordered_map

namespace parsleyshift
{

/// @brief Times for which endpoints accept no requests of this instance, as they have stated when they rejected one.
///
/// A pause is a statement to one instance: it says nothing about the endpoint's health, and peers are not told.
class endpoint_pauses
{
  public:
    /// Longer pauses are shortened to this, so that an absurd value does not exclude an endpoint for good.
    static constexpr duration max_pause{600'000};

    /// @brief Records that an endpoint accepts no requests for a time; a pause that ends later stays in effect.
    /// @param pause values below 0 count as 0
    void record(const endpoint_id& endpoint, duration pause, time_point now);
    /// @brief End of an endpoint's pause; nothing when it accepts requests.
    [[nodiscard]] std::optional<time_point> end(const endpoint_id& endpoint, time_point now) const;
    /// @brief True when no endpoint pauses.
    [[nodiscard]] bool empty() const noexcept
    {
        return ends_.empty();
    }
    /// @brief Forgets an endpoint.
    void remove(const endpoint_id& endpoint);
    /// @brief Forgets the pauses that are over.
    void purge(time_point now);

  private:
    std::unordered_map<endpoint_id, time_point> ends_;
};

} // namespace parsleyshift
