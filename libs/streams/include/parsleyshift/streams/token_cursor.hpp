#pragma once

#include <parsleyshift/messages/request.hpp> // token_list

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief What a batch of tokens means for the order of a stream.
enum class token_arrival
{
    /// The batch holds tokens that continue the stream.
    next,
    /// All tokens of the batch were seen before.
    duplicate,
    /// Tokens are missing before the batch.
    gap,
};

/// @brief Position in one generation; lets each token pass once and in order.
class token_cursor
{
  public:
    explicit token_cursor(std::int64_t next_offset = 0) : next_(next_offset) {}

    /// @brief Checks a batch and removes the tokens that were seen before.
    /// @param offset position of the batch's first token
    /// @param tokens the batch; afterwards the tokens that continue the stream, empty unless `next` is returned
    /// @return whether the batch continues the stream. Linear in the batch.
    token_arrival accept(std::int64_t offset, token_list& tokens);

    /// @brief Offset of the next token, which is also the number of tokens seen.
    [[nodiscard]] std::int64_t next() const noexcept
    {
        return next_;
    }

  private:
    std::int64_t next_;
};

} // namespace parsleyshift
