#pragma once

#include <parsleyshift/messages/request.hpp> // token_list

#include <cstdint> // int64_t

namespace parsleyshift
{

/// @brief Position of a batch of tokens relative to the end of the stream.
enum class token_arrival
{
    /// The batch holds tokens that continue the stream.
    next,
    /// All tokens of the batch were accepted before, or the batch is empty.
    duplicate,
    /// Tokens are missing before the batch, or its offset is negative.
    gap,
};

/// @brief Position in the token stream of one generation; accepts each token once and in order.
class token_cursor
{
  public:
    /// @param next_offset offset of the first token to accept
    explicit token_cursor(std::int64_t next_offset = 0) : next_offset_(next_offset) {}

    /// @brief Checks a batch and removes the tokens that were accepted before. Linear in the batch.
    /// @param offset position of the batch's first token in the stream
    /// @param tokens the batch; afterwards the tokens that continue the stream, empty unless `next` is returned
    /// @return position of the batch; unless it is `next`, the cursor does not move
    token_arrival accept(std::int64_t offset, token_list& tokens);

    /// @brief Offset of the next token; equals the number of tokens accepted when the cursor started at 0.
    [[nodiscard]] std::int64_t next() const noexcept
    {
        return next_offset_;
    }

  private:
    std::int64_t next_offset_;
};

} // namespace parsleyshift
