#pragma once

#include <parsleyshift/core/name_table.hpp> // enum_names

#include <boost/beast/http/fields.hpp>        // fields
#include <boost/outcome/basic_result.hpp>     // basic_result
#include <boost/outcome/policy/terminate.hpp> // terminate

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief What marks the end of a message body (RFC 9112, section 6.3).
enum class body_end
{
    /// The message has no body.
    none,
    /// The body has the stated number of bytes.
    length,
    /// The last chunk and the trailer section.
    chunks,
    /// The close of the connection; responses only.
    connection,
};

/// @brief How the body of a message is framed.
struct body_framing
{
    body_end end = body_end::none;
    /// Bytes of a body with a length.
    std::uint64_t length = 0;

    friend bool operator==(const body_framing&, const body_framing&) = default;
};

/// @brief Reason why the end of a message cannot be told with certainty.
enum class framing_fault
{
    /// A Transfer-Encoding other than exactly one "chunked".
    unknown_coding,
    /// More than one Transfer-Encoding field.
    repeated_coding,
    /// Transfer-Encoding together with Content-Length.
    coding_and_length,
    /// Transfer-Encoding in a message of HTTP/1.0, which has no transfer codings.
    coding_in_http_1_0,
    /// More than one length, also if they are equal.
    several_lengths,
    /// A length that is not 1 to 19 digits.
    invalid_length,
    /// A body that the status of the response rules out (1xx, 204).
    unexpected_body,
    /// A line that does not end with CR LF, or a CR within a line.
    bare_line_end,
    /// A header or trailer line that begins with a space or a tab.
    obsolete_folding,
    /// A chunk size that is not 1 to 16 hexadecimal digits.
    invalid_chunk_size,
    /// A chunk extension that does not follow the grammar of RFC 9112, section 7.1.1.
    invalid_chunk_extension,
    /// Chunk data that is not followed by CR LF.
    unterminated_chunk,
    /// A chunk line or a trailer section above its limit.
    oversized_chunk_line,
};

template <>
struct enum_names<framing_fault>
{
    static constexpr std::array rows{
        enum_name<framing_fault>{framing_fault::unknown_coding, "a transfer coding other than chunked"},
        enum_name<framing_fault>{framing_fault::repeated_coding, "more than one Transfer-Encoding"},
        enum_name<framing_fault>{framing_fault::coding_and_length, "both Transfer-Encoding and Content-Length"},
        enum_name<framing_fault>{framing_fault::coding_in_http_1_0, "Transfer-Encoding in HTTP/1.0"},
        enum_name<framing_fault>{framing_fault::several_lengths, "more than one Content-Length"},
        enum_name<framing_fault>{framing_fault::invalid_length, "an invalid Content-Length"},
        enum_name<framing_fault>{framing_fault::unexpected_body, "a body that the status does not allow"},
        enum_name<framing_fault>{framing_fault::bare_line_end, "a line that does not end with CR LF"},
        enum_name<framing_fault>{framing_fault::obsolete_folding, "a folded header line"},
        enum_name<framing_fault>{framing_fault::invalid_chunk_size, "an invalid chunk size"},
        enum_name<framing_fault>{framing_fault::invalid_chunk_extension, "an invalid chunk extension"},
        enum_name<framing_fault>{framing_fault::unterminated_chunk, "a chunk without its line end"},
        enum_name<framing_fault>{framing_fault::oversized_chunk_line, "an oversized chunk line or trailer section"}};
};

/// @brief The framing of a body, or the reason why the message is rejected.
using framing_result =
    boost::outcome_v2::basic_result<body_framing, framing_fault, boost::outcome_v2::policy::terminate>;

/// @brief Decides how the body of a request ends.
/// @param version 10 for HTTP/1.0, 11 for HTTP/1.1
[[nodiscard]] framing_result request_framing(const boost::beast::http::fields& head, unsigned version);

/// @brief Decides how the body of a response to a method other than HEAD and CONNECT ends.
/// @param version 10 for HTTP/1.0, 11 for HTTP/1.1
[[nodiscard]] framing_result response_body_framing(const boost::beast::http::fields& head, unsigned version,
                                                   unsigned status);

/// @brief Checks the lines of one message before its parser reads them, since the parser accepts folded lines and does
/// not report line ends: those of the head, and, after expect_chunks(), the chunk lines and the trailer section.
///
/// A chunk line may have max_chunk_line_bytes and a trailer section max_trailer_bytes; both are discarded, and without
/// a limit a sender could have them buffered without end.
class framing_scanner
{
  public:
    static constexpr std::size_t max_chunk_line_bytes = 1'024;
    static constexpr std::size_t max_trailer_bytes = 2'048;

    /// @brief Checks the input up to the end of the section that can be checked now.
    /// @param unparsed all input that the parser has not consumed; bytes that were checked before are skipped
    /// @return the first fault, or nothing
    [[nodiscard]] std::optional<framing_fault> scan(std::string_view unparsed);
    /// @brief Notes that the parser has consumed input.
    void consumed(std::size_t bytes) noexcept;
    /// @brief The head is complete and a chunked body follows.
    void expect_chunks() noexcept;

  private:
    enum class section
    {
        head,
        chunk_line,
        chunk_data,
        chunk_end,
        trailer,
        done,
    };

    std::optional<framing_fault> scan_byte(char byte);
    std::optional<framing_fault> end_line();

    section section_ = section::head;
    /// Bytes at the front of the unparsed input that have been checked.
    std::size_t ahead_ = 0;
    /// The line that is being read, without its line end. Only chunk lines are kept.
    std::string line_;
    std::size_t line_bytes_ = 0;
    std::size_t trailer_bytes_ = 0;
    /// Bytes of the current chunk that have not been read.
    std::uint64_t chunk_rest_ = 0;
    bool after_cr_ = false;
};

} // namespace parsleyshift
