#include <parsleyshift/streams/token_cursor.hpp> // token_cursor

#include <iterator> // next

namespace parsleyshift
{

token_arrival token_cursor::accept(std::int64_t offset, token_list& tokens)
{
    const auto count = static_cast<std::int64_t>(tokens.size());
    if (offset < 0 || offset > next_)
    {
        tokens.clear();
        return token_arrival::gap;
    }
    // Compares without adding to the offset, which comes from outside and could overflow.
    const std::int64_t seen = next_ - offset;
    if (count <= seen)
    {
        tokens.clear();
        return token_arrival::duplicate;
    }
    tokens.erase(tokens.begin(), std::next(tokens.begin(), seen));
    next_ += count - seen;
    return token_arrival::next;
}

} // namespace parsleyshift
