#pragma once

#include <parsleyshift/core/clock.hpp>     // duration, time_point
#include <parsleyshift/messages/event.hpp> // instances_listed

#include <optional> // optional

namespace parsleyshift::detail
{

/// @brief Keeps endpoints in the list whose entries expired because the list's source was down.
///
/// Entries expire when endpoints cannot renew them; running endpoints are listed again within a known time after the
/// source has recovered. Until then a missing entry proves nothing, so the entry last in force is kept.
class outage_filter
{
  public:
    /// @param grace time after the source's recovery in which missing entries are kept
    explicit outage_filter(duration grace) : grace_(grace) {}

    /// @brief Records that the source does not answer.
    void source_lost();
    /// @brief Records that the source has answered and starts the grace time if it was lost before.
    /// @return true when it was lost before
    bool source_answered(time_point now);
    /// @brief Takes a list from the source.
    /// @return the list to put in force: the given one, and during the grace time also the entries that it misses
    instances_listed filter(const instances_listed& listed, time_point now);
    /// @brief Ends the grace time when it is over.
    /// @return the source's last list without kept entries, or nothing when no grace time has ended
    std::optional<instances_listed> expire(time_point now);
    /// @brief Time at which expire() ends the grace time; `never` when there is none.
    [[nodiscard]] time_point next_deadline() const noexcept
    {
        return keep_until_;
    }
    /// @brief The latest list that was returned.
    [[nodiscard]] const instances_listed& in_force() const noexcept
    {
        return in_force_;
    }
    /// @brief True while the source does not answer.
    [[nodiscard]] bool lost() const noexcept
    {
        return lost_;
    }

  private:
    duration grace_;
    bool lost_ = false;
    /// End of the grace time.
    time_point keep_until_ = never;
    /// The source's last list.
    instances_listed last_listed_;
    instances_listed in_force_;
};

} // namespace parsleyshift::detail
