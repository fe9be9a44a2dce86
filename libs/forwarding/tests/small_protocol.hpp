#pragma once

#include <parsleyshift/forwarding/forwarding_protocol.hpp> // forwarding_protocol

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::test_support
{

/// A minimal wire protocol with its own header fields, which checks that the forwarder depends on no particular
/// protocol.
class small_protocol
{
  public:
    [[nodiscard]] result<forward_request> read_request(const parsleyshift::http_request& request) const
    {
        forward_request decoded;
        decoded.caller_id = std::string{request["x-id"]};
        decoded.path = std::string{request.target()};
        if (decoded.caller_id.empty())
        {
            return make_error(error_kind::invalid_field, "x-id: is missing");
        }
        return decoded;
    }
    [[nodiscard]] bool forwards_request_field(std::string_view field) const
    {
        return field != "x-secret";
    }
    [[nodiscard]] bool relays_request_field(std::string_view field) const
    {
        return field == "x-secret";
    }
    [[nodiscard]] response_evaluation read_relayed_response(const response_head& head,
                                                            const parsleyshift::http_request& request) const
    {
        return read_response(head, request);
    }
    void append_attempt_fields(http_head_builder& out, const start_forward& attempt, duration /*left*/) const
    {
        if (attempt.relayed)
        {
            out.field("x-relayed", "1");
            return;
        }
        out.field("x-endpoint", attempt.endpoint.value());
        if (attempt.continuation)
        {
            out.field("x-after", attempt.continuation->last_event);
        }
    }
    [[nodiscard]] response_evaluation read_response(const response_head& head,
                                                    const parsleyshift::http_request& request) const
    {
        response_evaluation evaluation;
        const bool has_id = !head["x-id"].empty();
        evaluation.names_request = has_id && head["x-id"] == request["x-id"];
        evaluation.names_other_request = has_id && !evaluation.names_request;
        if (head.result_int() == 429)
        {
            evaluation.not_run_reason = attempt_failure::not_started;
        }
        evaluation.claims_not_run = head.result_int() == 503;
        evaluation.matches_request = evaluation.names_request || (!has_id && evaluation.not_run_reason);
        evaluation.statement = read_statement(head);
        return evaluation;
    }
    [[nodiscard]] endpoint_statement read_statement(const response_head& head) const
    {
        endpoint_statement statement;
        statement.leaving = !head["x-leaving"].empty();
        return statement;
    }
    [[nodiscard]] endpoint_call copy_call(const copy_run& copy, std::string_view caller_id) const
    {
        return {"POST", "/copy", std::string{caller_id} + (copy.stop ? " stop" : "")};
    }
    [[nodiscard]] run_copied read_copy(unsigned status, std::string_view body, bool /*stop*/) const
    {
        run_copied copied;
        copied.result = status == 200 ? copy_result::complete : copy_result::refused;
        copied.handle = std::string{body};
        return copied;
    }
    [[nodiscard]] endpoint_call load_call() const
    {
        return {"GET", "/load", {}};
    }
    [[nodiscard]] result<load_report> read_load(unsigned status, std::string_view body) const
    {
        if (status != 200)
        {
            return make_error(error_kind::malformed_request, "load report: status is not 200");
        }
        load_report report;
        report.leaving = body == "leaving";
        return report;
    }
    [[nodiscard]] local_response rejection_response(const request_rejected& rejected) const
    {
        local_response response;
        response.status = rejected.what == outcome::not_run ? 503 : 502;
        return response;
    }
    [[nodiscard]] result<entry_query> read_entry_query(const parsleyshift::http_request& /*request*/) const
    {
        return entry_query{};
    }
    [[nodiscard]] local_response entry_response(const entry_answer& /*entries*/) const
    {
        return {};
    }
    [[nodiscard]] bool is_readiness_request(const parsleyshift::http_request& /*request*/) const
    {
        return false;
    }
};

static_assert(forwarding_protocol<small_protocol>);

} // namespace parsleyshift::test_support
