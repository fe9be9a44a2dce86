#include <parsleyshift/compression/deflate.hpp> // compress, decompress

#include <zlib.h> // compress2, inflate

#include <algorithm> // min
#include <limits>    // numeric_limits
#include <memory>    // unique_ptr
#include <new>       // bad_alloc

namespace parsleyshift
{
namespace
{

/// The output of decompress() grows by this many bytes, so that a small input alone does not allocate much.
constexpr std::size_t chunk_bytes = std::size_t{64} * 1024;

struct inflate_deleter
{
    void operator()(z_stream* stream) const
    {
        inflateEnd(stream);
    }
};

const Bytef* input_of(std::string_view bytes)
{
    return reinterpret_cast<const Bytef*>(bytes.data());
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string out(size, '\0');
    // With a buffer of compressBound() bytes only a lack of memory can fail.
    if (compress2(reinterpret_cast<Bytef*>(out.data()), &size, input_of(bytes), static_cast<uLong>(bytes.size()),
                  Z_BEST_SPEED) != Z_OK)
    {
        throw std::bad_alloc{};
    }
    out.resize(size);
    return out;
}

result<std::string> decompress(std::string_view bytes, std::size_t max_size)
{
    if (bytes.size() > std::numeric_limits<uInt>::max())
    {
        return make_error(error_kind::body_too_large, "compressed value: " + std::to_string(bytes.size()) + " bytes");
    }
    z_stream state{};
    if (inflateInit(&state) != Z_OK)
    {
        throw std::bad_alloc{};
    }
    const std::unique_ptr<z_stream, inflate_deleter> owner(&state);
    state.next_in = input_of(bytes);
    state.avail_in = static_cast<uInt>(bytes.size());
    std::string out;
    for (int status = Z_OK; status != Z_STREAM_END;)
    {
        const std::size_t used = out.size();
        // One byte more than allowed shows a result that is too large.
        const std::size_t free_bytes = std::min(chunk_bytes, max_size + 1 - used);
        out.resize(used + free_bytes);
        state.next_out = reinterpret_cast<Bytef*>(out.data() + used);
        state.avail_out = static_cast<uInt>(free_bytes);
        status = inflate(&state, Z_NO_FLUSH);
        out.resize(used + free_bytes - state.avail_out);
        if (out.size() > max_size)
        {
            return make_error(error_kind::body_too_large,
                              "compressed value: more than " + std::to_string(max_size) + " bytes");
        }
        const bool stalled = status == Z_OK && state.avail_out > 0;
        if ((status != Z_OK && status != Z_STREAM_END) || stalled)
        {
            return make_error(error_kind::malformed_request, "compressed value: not a complete zlib stream");
        }
    }
    if (state.avail_in > 0)
    {
        return make_error(error_kind::malformed_request, "compressed value: bytes after the end");
    }
    return out;
}

} // namespace parsleyshift
