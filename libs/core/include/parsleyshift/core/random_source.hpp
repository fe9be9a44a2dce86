#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <random>  // mt19937_64, uniform_int_distribution, uniform_real_distribution

namespace parsleyshift
{

/// @brief Seeded pseudo-random generator for all decisions; the same seed and calls give the same decisions.
class random_source
{
  public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// @brief Uniform index in [0, size). @param size at least 1
    std::size_t index(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>{0, size - 1}(engine_);
    }
    /// @brief Uniform number in [0, 1).
    double fraction()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(engine_);
    }
    /// @brief Uniform duration in [base, base * (1 + spread)); spreads the retries and timers of many clients.
    duration jittered(duration base, double spread)
    {
        const double factor = 1.0 + spread * fraction();
        return duration{static_cast<duration::rep>(static_cast<double>(base.count()) * factor)};
    }
    /// @brief 64 uniform random bits.
    std::uint64_t bits()
    {
        return engine_();
    }

  private:
    std::mt19937_64 engine_;
};

} // namespace parsleyshift
