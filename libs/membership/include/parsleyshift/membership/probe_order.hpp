#pragma once

#include <parsleyshift/core/ids.hpp>           // instance_id
#include <parsleyshift/core/random_source.hpp> // random_source

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Randomised round-robin over members: each occurs once per round, in a new random order each round.
class probe_order
{
  public:
    /// @brief Inserts a member at a random position in the rest of the current round. Linear.
    void add(const instance_id& member, random_source& random);
    /// @brief Starts a round with the given members in random order. Linear.
    void begin(std::vector<instance_id> members, random_source& random);
    /// @brief Returns the next member of the round, or nothing at its end. Constant time.
    std::optional<instance_id> next();

  private:
    std::vector<instance_id> order_;
    std::size_t position_ = 0;
};

} // namespace parsleyshift
