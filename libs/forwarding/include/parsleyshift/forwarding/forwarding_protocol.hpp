#pragma once

#include <parsleyshift/core/error.hpp>           // result
#include <parsleyshift/messages/action.hpp>      // request_rejected, entry_answer
#include <parsleyshift/messages/endpoint.hpp>    // load_report
#include <parsleyshift/messages/forward.hpp>     // forward_request, start_forward
#include <parsleyshift/messages/request.hpp>     // entry_query
#include <parsleyshift/messages/store.hpp>       // store_page, store_changes, store_entry
#include <parsleyshift/runtime/http_client.hpp>  // response_head
#include <parsleyshift/runtime/http_session.hpp> // http_request

#include <concepts>    // same_as
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief What the head of an endpoint's answer means for the attempt that waits for it.
struct answer_reading
{
    /// False when it answers another request.
    bool belongs = true;
    /// Set when the endpoint proves that it did not run the request.
    std::optional<attempt_failure> refusal;
    answer_sign sign = answer_sign::success;
};

/// @brief An answer that the instance itself gives.
struct own_answer
{
    unsigned status = 200;
    /// Whole header lines, each with its line end.
    std::string fields;
    std::string content_type = "application/json";
    std::string body;
};

/// @brief A call to an endpoint besides the forwarded requests.
struct endpoint_call
{
    std::string_view method;
    std::string target;
    std::string body;
};

/// @brief The wire protocol of forwarded requests towards callers and endpoints. It translates and decides nothing.
template <class P>
concept forwarding_protocol = requires(const P& protocol, const http_request& asked, const start_forward& attempt,
                                       duration left, const response_head& head, std::string& out,
                                       std::string_view field, const request_rejected& rejected,
                                       const entry_answer& entries, const copy_run& copy)
{
    // A caller's request, decoded once; the id and the content hash are set by the caller of the function.
    {
        protocol.read_request(asked)
        } -> std::same_as<result<forward_request>>;
    // False for fields of requests that the instance sets itself or that endpoints must not see.
    {
        protocol.forwards_request_field(field)
        } -> std::same_as<bool>;
    // Appends the fields that the instance sets.
    protocol.append_attempt_fields(out, attempt, left);
    {
        protocol.read_answer(head, asked)
        } -> std::same_as<answer_reading>;
    // Copies of a run, which endpoints know by the caller's id of the request, and their answers.
    {
        protocol.copy_call(copy, field)
        } -> std::same_as<endpoint_call>;
    {
        protocol.read_copy(unsigned{}, field, bool{})
        } -> std::same_as<run_copied>;
    // What an endpoint says of its load; the endpoint's id is set by the caller of the function.
    {
        protocol.load_call()
        } -> std::same_as<endpoint_call>;
    {
        protocol.read_load(unsigned{}, field)
        } -> std::same_as<result<load_report>>;
    {
        protocol.rejection(rejected)
        } -> std::same_as<own_answer>;
    // A caller's question for addresses of instances, and its answer.
    {
        protocol.read_entry_query(asked)
        } -> std::same_as<result<entry_query>>;
    {
        protocol.entries(entries)
        } -> std::same_as<own_answer>;
    {
        protocol.asks_for_readiness(asked)
        } -> std::same_as<bool>;
};

/// @brief The protocol of a store that is listed and watched. It translates and decides nothing.
template <class P>
concept store_protocol = requires(const P& protocol, std::string_view after_key, revision after, duration wait,
                                  std::string_view body, const store_item& item)
{
    // Request targets.
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
    // True for the status of a watch whose history is gone.
    {
        protocol.says_history_dropped(unsigned{})
        } -> std::same_as<bool>;
    {
        protocol.read_item(item)
        } -> std::same_as<result<store_entry>>;
};

} // namespace parsleyshift
