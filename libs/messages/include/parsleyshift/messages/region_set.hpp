#pragma once

#include <parsleyshift/core/ids.hpp> // region_id

#include <algorithm> // binary_search, set_intersection, sort, unique
#include <iterator>  // back_inserter
#include <utility>   // move
#include <vector>    // vector

namespace parsleyshift
{

/// @brief Regions in which a request may be served: all of them, or those of a list.
class region_set
{
  public:
    /// @brief All regions.
    region_set() = default;
    /// @brief The listed regions only; none with an empty list. O(n log(n)).
    explicit region_set(std::vector<region_id> regions) : restricted_(true), regions_(std::move(regions))
    {
        std::sort(regions_.begin(), regions_.end());
        regions_.erase(std::unique(regions_.begin(), regions_.end()), regions_.end());
    }

    /// @brief False if all regions are in the set.
    [[nodiscard]] bool restricted() const noexcept
    {
        return restricted_;
    }
    /// @brief True if no region is in the set.
    [[nodiscard]] bool empty() const noexcept
    {
        return restricted_ && regions_.empty();
    }
    /// @brief Whether a region is in the set. A region without a name, which is that of an unknown availability zone,
    /// is only in the set of all regions. O(log(n)).
    [[nodiscard]] bool allows(const region_id& region) const
    {
        return !restricted_ || (!region.empty() && std::binary_search(regions_.begin(), regions_.end(), region));
    }
    /// @brief The listed regions in ascending order; empty for all regions.
    [[nodiscard]] const std::vector<region_id>& regions() const noexcept
    {
        return regions_;
    }
    /// @brief The regions that are in both sets. Linear in the number of listed regions.
    [[nodiscard]] region_set intersection(const region_set& other) const
    {
        if (!restricted_)
        {
            return other;
        }
        if (!other.restricted_)
        {
            return *this;
        }
        std::vector<region_id> common;
        std::set_intersection(regions_.begin(), regions_.end(), other.regions_.begin(), other.regions_.end(),
                              std::back_inserter(common));
        return region_set{std::move(common)};
    }

    friend bool operator==(const region_set&, const region_set&) = default;

  private:
    bool restricted_ = false;
    /// Sorted and without duplicates.
    std::vector<region_id> regions_;
};

} // namespace parsleyshift
