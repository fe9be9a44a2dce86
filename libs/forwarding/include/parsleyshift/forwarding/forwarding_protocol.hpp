#pragma once

#include <parsleyshift/core/error.hpp>           // result
#include <parsleyshift/messages/action.hpp>      // request_rejected, entry_answer
#include <parsleyshift/messages/endpoint.hpp>    // endpoint_statement, load_report
#include <parsleyshift/messages/forward.hpp>     // forward_request, start_forward
#include <parsleyshift/messages/request.hpp>     // entry_query
#include <parsleyshift/messages/store.hpp>       // store_page, store_changes, store_entry
#include <parsleyshift/runtime/http_client.hpp>  // response_head
#include <parsleyshift/runtime/http_head.hpp>    // http_head_builder
#include <parsleyshift/runtime/http_session.hpp> // http_request

#include <concepts>    // same_as
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Evaluation of the head of an endpoint's response for the attempt that waits for it.
struct response_evaluation
{
    /// False when the response belongs to another request or does not come from an endpoint; it must not reach the
    /// caller.
    bool matches_request = true;
    /// The response states the id of the request, or that of another one.
    bool names_request = false;
    bool names_other_request = false;
    /// Set when the endpoint proves that it did not run the request.
    std::optional<attempt_failure> not_run_reason;
    /// The status claims that the request did not run, without a proof by the endpoint.
    bool claims_not_run = false;
    /// success; failure: an error response that is meant for the caller; fault: a failure of the endpoint itself.
    answer_sign sign = answer_sign::success;
    /// What the endpoint states about itself; empty unless the response matches the request.
    endpoint_statement statement{};
};

/// @brief A response that the instance itself generates.
struct local_response
{
    unsigned status = 200;
    /// Further header lines, each with its line end.
    std::string fields;
    std::string content_type = "application/json";
    std::string body;
};

/// @brief A request to an endpoint that is not a forwarded one.
struct endpoint_call
{
    std::string_view method;
    std::string target;
    std::string body;
};

/// @brief The wire protocol of forwarded requests towards callers and endpoints. It only translates; the core decides.
template <class P>
concept forwarding_protocol = requires(const P& protocol, const http_request& request, const start_forward& attempt,
                                       duration left, const response_head& head, http_head_builder& out,
                                       std::string_view field, const request_rejected& rejected,
                                       const entry_answer& entries, const copy_run& copy)
{
    // Decodes a caller's request; the forwarder sets its id and its content hash.
    {
        protocol.read_request(request)
        } -> std::same_as<result<forward_request>>;
    // Returns false for request header fields that the instance sets itself or that must not reach endpoints.
    {
        protocol.forwards_request_field(field)
        } -> std::same_as<bool>;
    // Returns true for the request header fields that another instance needs in addition to handle a relayed request.
    {
        protocol.relays_request_field(field)
        } -> std::same_as<bool>;
    // Decodes the response of another instance to a relayed request.
    {
        protocol.read_relayed_response(head, request)
        } -> std::same_as<response_evaluation>;
    // Appends the header fields that the instance sets; `left` is the time until the deadline.
    protocol.append_attempt_fields(out, attempt, left);
    {
        protocol.read_response(head, request)
        } -> std::same_as<response_evaluation>;
    // Decodes what an endpoint states about itself in the head of any response.
    {
        protocol.read_statement(head)
        } -> std::same_as<endpoint_statement>;
    // Makes the call that copies a run, which engines identify by the caller's request id, and decodes its response.
    {
        protocol.copy_call(copy, field)
        } -> std::same_as<endpoint_call>;
    {
        protocol.read_copy(unsigned{}, field, bool{})
        } -> std::same_as<run_copied>;
    // Makes the call for an endpoint's load report and decodes the response; the load reader sets the endpoint's id.
    {
        protocol.load_call()
        } -> std::same_as<endpoint_call>;
    {
        protocol.read_load(unsigned{}, field)
        } -> std::same_as<result<load_report>>;
    // Makes the response to a request that was rejected or has failed.
    {
        protocol.rejection_response(rejected)
        } -> std::same_as<local_response>;
    // Decodes a caller's query for addresses of instances, and makes the response.
    {
        protocol.read_entry_query(request)
        } -> std::same_as<result<entry_query>>;
    {
        protocol.entry_response(entries)
        } -> std::same_as<local_response>;
    {
        protocol.is_readiness_request(request)
        } -> std::same_as<bool>;
};

/// @brief The protocol of a key-value store that is listed and watched. It only translates; store_watch decides.
template <class P>
concept store_protocol = requires(const P& protocol, std::string_view after_key, revision after, duration wait,
                                  std::string_view body, const store_item& item, const response_head& head)
{
    // Make the targets of HTTP requests: a page of the listing, and a watch that waits for changes.
    {
        protocol.list_target(after_key)
        } -> std::same_as<std::string>;
    {
        protocol.watch_target(after, wait)
        } -> std::same_as<std::string>;
    {
        protocol.read_page(body)
        } -> std::same_as<result<store_page>>;
    {
        protocol.read_changes(body)
        } -> std::same_as<result<store_changes>>;
    // Decodes the era that the head of each response states; 0 when it states none.
    {
        protocol.read_era(head)
        } -> std::same_as<result<source_era>>;
    // Returns true for the status of a watch whose start revision the store no longer has.
    {
        protocol.is_history_dropped(unsigned{})
        } -> std::same_as<bool>;
    {
        protocol.read_item(item)
        } -> std::same_as<result<store_entry>>;
};

} // namespace parsleyshift
