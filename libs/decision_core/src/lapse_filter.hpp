#pragma once

#include <parsleyshift/core/clock.hpp>     // duration, time_point
#include <parsleyshift/messages/event.hpp> // instances_listed

#include <optional> // optional

namespace parsleyshift::detail
{

/// @brief Keeps endpoints that vanished from the list while its source was down.
///
/// Entries lapse when endpoints cannot renew them; those that live are listed again within a known time of the
/// source's return. Until then a missing entry proves nothing, and the last list before the outage holds for it.
class lapse_filter
{
  public:
    /// @param grace time after the source's return in which missing entries are kept
    explicit lapse_filter(duration grace) : grace_(grace) {}

    /// @brief The source does not answer.
    void source_lost();
    /// @brief The source answers. @return true when it did not before
    bool source_answered(time_point now);
    /// @brief Takes a reading. @return the list that holds, with the entries that are kept
    instances_listed take(const instances_listed& read, time_point now);
    /// @brief The last reading as it was, once the grace is over; nothing before.
    std::optional<instances_listed> expire(time_point now);
    [[nodiscard]] time_point next_deadline() const noexcept
    {
        return keep_until_;
    }
    [[nodiscard]] const instances_listed& in_force() const noexcept
    {
        return in_force_;
    }
    [[nodiscard]] bool lost() const noexcept
    {
        return lost_;
    }

  private:
    duration grace_;
    bool lost_ = false;
    time_point keep_until_ = never;
    instances_listed last_read_;
    instances_listed in_force_;
};

} // namespace parsleyshift::detail
