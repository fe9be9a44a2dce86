#include <parsleyshift/wire/peer_codec.hpp> // encode, decode

#include "peer_fields.hpp" // to_wire, from_wire, for_each_member

#include <thrift/TConfiguration.h>              // TConfiguration
#include <thrift/protocol/TCompactProtocol.h>   // TCompactProtocolT
#include <thrift/transport/TBufferTransports.h> // TMemoryBuffer

#include <algorithm> // min
#include <exception> // exception
#include <memory>    // make_shared
#include <variant>   // visit, holds_alternative

namespace parsleyshift
{

namespace
{

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// The generated reader allocates a whole list before it reads the first element, so the length that a frame claims must
// be bounded: a list of 65,536 member updates takes 16 MB.
constexpr std::size_t max_list_elements = 65'536;
// A member of the struct of the wire is at most this deep; deeper unknown fields are rejected while skipping.
constexpr int max_nesting = 16;

template <class Copy>
void envelope_fields(Copy copy, auto& wire, auto& value)
{
    copy(wire.sender, value.sender);
    copy(wire.started, value.started);
    copy(wire.peer_address, value.peer_address);
    copy(wire.highest, value.highest_revision);
}

void fill(wire_format::message& wire, const peer_message& message)
{
    detail::for_each_member(wire,
                            [&message]<class Message>(auto& member, detail::message_type<Message>, bool)
                            {
                                const auto* value = std::get_if<Message>(&message);
                                if (value == nullptr)
                                {
                                    return false;
                                }
                                detail::to_wire{}(member, *value);
                                return true;
                            });
}

int extract(wire_format::message& wire, peer_message& message)
{
    int found = 0;
    detail::for_each_member(wire,
                            [&]<class Message>(const auto& member, detail::message_type<Message>, bool set)
                            {
                                if (set)
                                {
                                    ++found;
                                    detail::from_wire{}(member, message.emplace<Message>());
                                }
                                return set;
                            });
    return found;
}

error malformed(const char* what)
{
    return make_error(error_kind::malformed_request, std::string("peer frame: ") + what);
}

result<peer_envelope> read_envelope(std::string_view bytes)
{
    auto configuration =
        std::make_shared<apache::thrift::TConfiguration>(max_frame_bytes, max_frame_bytes, max_nesting);
    std::string copy(bytes);
    auto* data = reinterpret_cast<std::uint8_t*>(copy.data());
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE,
                                                  configuration);
    const auto list_limit = static_cast<std::int32_t>(std::min(bytes.size(), max_list_elements));
    protocol reader(buffer, static_cast<std::int32_t>(bytes.size()), list_limit);
    wire_format::envelope wire;
    wire.read(&reader);
    if (buffer->available_read() != 0)
    {
        return malformed("bytes after the end");
    }
    peer_envelope envelope;
    envelope_fields(detail::from_wire{}, wire, envelope);
    if (extract(wire.content, envelope.message) != 1)
    {
        return malformed("unknown message");
    }
    return envelope;
}

} // namespace

std::string encode(const peer_envelope& envelope)
{
    wire_format::envelope wire;
    envelope_fields(detail::to_wire{}, wire, envelope);
    fill(wire.content, envelope.message);
    auto buffer = std::make_shared<TMemoryBuffer>();
    protocol writer(buffer);
    wire.write(&writer);
    return buffer->getBufferAsString();
}

result<peer_envelope> decode(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > max_frame_bytes)
    {
        return malformed("size outside the bounds");
    }
    try
    {
        return read_envelope(bytes);
    }
    catch (const std::exception& failure)
    {
        return malformed(failure.what());
    }
}

std::array<char, frame_header_bytes> frame_header(std::size_t size)
{
    std::array<char, frame_header_bytes> header{};
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
    {
        header[i] = static_cast<char>((size >> (8 * (frame_header_bytes - 1 - i))) & 0xffU);
    }
    return header;
}

result<std::size_t> frame_size(const std::array<char, frame_header_bytes>& header)
{
    std::size_t size = 0;
    for (const char byte : header)
    {
        size = (size << 8U) | static_cast<unsigned char>(byte);
    }
    if (size > max_frame_bytes)
    {
        return make_error(error_kind::body_too_large, "peer frame: " + std::to_string(size) + " bytes");
    }
    return size;
}

} // namespace parsleyshift
