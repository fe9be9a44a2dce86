#pragma once

#include <parsleyshift/core/clock.hpp> // time_point

#include <cstdint> // int64_t

namespace parsleyshift::detail
{

/// @brief Highest version of the configuration that peers are known to have had in force.
///
/// A read of the configuration source that began after a peer had a version must return that version or a later one.
/// Otherwise the source has lost it, and what it returns must not be taken for the newest.
class version_floor
{
  public:
    /// @brief Records the version that a peer has in force; 0 if it has none.
    void record(std::int64_t version, time_point now)
    {
        if (version > version_)
        {
            version_ = version;
            known_since_ = now;
        }
    }
    /// @brief Whether a read that returned a version was answered by a source that has lost a later one.
    /// @param read_began when the read began
    [[nodiscard]] bool shows_loss(std::int64_t version, time_point read_began) const noexcept
    {
        return is_older(version) && known_since_ < read_began;
    }
    /// @brief Whether a peer has had a later version in force.
    [[nodiscard]] bool is_older(std::int64_t version) const noexcept
    {
        return version < version_;
    }
    [[nodiscard]] std::int64_t version() const noexcept
    {
        return version_;
    }

  private:
    std::int64_t version_ = 0;
    time_point known_since_;
};

} // namespace parsleyshift::detail
