#pragma once

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Bounds on a JSON text from outside, checked while it is parsed.
struct body_bounds
{
    std::size_t max_bytes = std::size_t{4} * 1024 * 1024;
    /// Nested objects and arrays, the outermost included.
    int max_depth = 32;
};

} // namespace parsleyshift
