#pragma once

#include <parsleyshift/core/error.hpp>       // result
#include <parsleyshift/core/ids.hpp>         // instance_id
#include <parsleyshift/messages/action.hpp>  // stream_tokens, request_rejected
#include <parsleyshift/messages/request.hpp> // generation_request
#include <parsleyshift/wire/body_bounds.hpp> // body_bounds

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

// Request bodies. The request id is left for the server to set. Errors: body_too_large, malformed_request,
// invalid_field and unknown_field, each with the name of the field. Linear in the size of the body.

/// @brief Body of POST /v1/generations.
result<generation_request> parse_generation(std::string_view body, const body_bounds& bounds);

/// @brief Body of POST /v1/calls. The payload keeps its text unchanged.
result<call_request> parse_call(std::string_view body, const body_bounds& bounds);

/// @brief Body of POST /v1/orders/keys.
result<key_request> parse_key_request(std::string_view body, const body_bounds& bounds);

/// @brief Body of POST /v1/orders. The payload keeps its text unchanged.
result<order_request> parse_order(std::string_view body, const body_bounds& bounds);

// Events of a stream, in the format of text/event-stream. They are appended, so that one buffer collects many.

void append_event(std::string& out, const stream_started& started, const instance_id& instance);
void append_event(std::string& out, const stream_tokens& tokens);
void append_event(std::string& out, const stream_ended& ended);
void append_event(std::string& out, const request_rejected& rejected);

// Bodies of whole answers, in JSON.

std::string answer_body(const whole_answer& answer);
std::string answer_body(const call_answer& answer);
std::string answer_body(const entry_answer& answer);
std::string answer_body(const key_answer& answer);
std::string answer_body(const cancel_answer& answer);
std::string answer_body(const request_rejected& rejected);

/// @brief HTTP status of an answer without a result. Constant time.
unsigned http_status(error_kind kind) noexcept;

} // namespace parsleyshift
