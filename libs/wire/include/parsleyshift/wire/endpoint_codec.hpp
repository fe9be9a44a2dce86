#pragma once

#include <parsleyshift/core/error.hpp>        // result
#include <parsleyshift/messages/action.hpp>   // start_generation, start_call
#include <parsleyshift/messages/endpoint.hpp> // load_report, cache_event, placement_order
#include <parsleyshift/messages/request.hpp>  // token_list
#include <parsleyshift/wire/body_bounds.hpp>  // body_bounds

#include <cstdint>     // int64_t
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant
#include <vector>      // vector

namespace parsleyshift
{

// Bodies that the daemon sends to endpoints.

/// @brief Body of POST /generate.
std::string generation_body(const start_generation& start);

/// @brief Body of POST /call; the payload is inserted unchanged.
std::string call_body(const start_call& start);

/// @brief Body of POST /orders of an engine.
std::string order_body(const placement_order& order);

// Answers of endpoints. Unknown members are ignored. Errors: malformed_request, invalid_field, body_too_large.

/// Tokens of a generation, at an offset.
struct token_line
{
    std::int64_t offset = 0;
    token_list tokens;

    friend bool operator==(const token_line&, const token_line&) = default;
};

/// End mark of a generation.
struct end_line
{
    std::int64_t count = 0;

    friend bool operator==(const end_line&, const end_line&) = default;
};

/// The run failed at the engine.
struct error_line
{
    std::string message;

    friend bool operator==(const error_line&, const error_line&) = default;
};

/// @brief One line of a running generation.
using generation_line = std::variant<token_line, end_line, error_line>;

/// @brief Parses one line: `{"offset":0,"tokens":[..]}`, `{"end":true,"count":N}` or `{"error":".."}`.
/// Linear in its length; builds no document.
result<generation_line> parse_generation_line(std::string_view line);

/// @brief Parses `{"result":..}`.
/// @return text of the result, unchanged
result<std::string> parse_call_result(std::string_view body, const body_bounds& bounds);

/// @brief What an answer other than 200 says.
struct refusal
{
    /// Proof that the endpoint did not start the attempt.
    bool not_started = false;
    /// The endpoint takes no new work.
    bool leaving = false;
    std::string message;
};

/// @brief Parses the body of an answer other than 200; a body that cannot be parsed proves nothing.
refusal parse_refusal(std::string_view body);

/// @brief Parses the answer to GET /load.
result<load_report> parse_load(std::string_view body, const endpoint_id& endpoint);

/// @brief Cache events with the number from which to continue.
struct cache_page
{
    std::vector<cache_event> events;
    std::uint64_t next = 0;
};

/// @brief Parses the answer to GET /cache-events.
result<cache_page> parse_cache_events(std::string_view body, const body_bounds& bounds);

/// @brief Answer to a placement order.
struct order_verdict
{
    bool accepted = false;
    /// The engine's highest fencing number.
    fencing_number fence;
};

/// @brief Parses `{"accepted","fence"}`.
result<order_verdict> parse_order_verdict(std::string_view body);

} // namespace parsleyshift
