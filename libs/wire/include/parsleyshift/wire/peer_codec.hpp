#pragma once

#include <parsleyshift/core/error.hpp>    // result
#include <parsleyshift/messages/peer.hpp> // peer_envelope

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Largest frame between peers, in bytes: several configuration records of the largest size (1 MB each).
inline constexpr std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;

/// @brief Bytes of the length prefix of a frame.
inline constexpr std::size_t frame_header_bytes = 4;

/// @brief Encodes an envelope with Thrift's compact protocol, without the length prefix. Linear in its size.
std::string encode(const peer_envelope& envelope);

/// @brief Decodes what encode() made, also by an older or newer version: unknown fields are skipped, missing ones
/// keep their default values. Linear in the size; memory is bounded by a small multiple of the input.
/// @param bytes any bytes
/// @return error malformed_request for bytes that are no envelope, exceed the frame bound or hold an unknown message
result<peer_envelope> decode(std::string_view bytes);

/// @brief The length prefix of a frame: 32 bits, most significant byte first.
/// @param size bytes that follow, at most max_frame_bytes
std::array<char, frame_header_bytes> frame_header(std::size_t size);

/// @brief Reads a length prefix.
/// @return error body_too_large when the frame exceeds max_frame_bytes
result<std::size_t> frame_size(const std::array<char, frame_header_bytes>& header);

} // namespace parsleyshift
