#include <parsleyshift/streams/token_cursor.hpp> // token_cursor

#include <iterator> // next

namespace parsleyshift
{

token_arrival token_cursor::accept(std::int64_t offset, token_list& tokens)
{
    const auto count = static_cast<std::int64_t>(tokens.size());
    if (offset < 0 || offset > next_offset_)
    {
        tokens.clear();
        return token_arrival::gap;
    }
    // Avoids adding to the offset, which comes from the network and could overflow.
    const std::int64_t accepted_count = next_offset_ - offset;
    if (count <= accepted_count)
    {
        tokens.clear();
        return token_arrival::duplicate;
    }
    tokens.erase(tokens.begin(), std::next(tokens.begin(), accepted_count));
    next_offset_ += count - accepted_count;
    return token_arrival::next;
}

} // namespace parsleyshift
