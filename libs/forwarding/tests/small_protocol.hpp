#pragma once

#include <parsleyshift/forwarding/forwarding_protocol.hpp> // forwarding_protocol

#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift::test_support
{

/// A second wire protocol, with fields of its own, that shows what the forwarder knows of none.
class small_protocol
{
  public:
    [[nodiscard]] result<forward_request> read_request(const parsleyshift::http_request& asked) const
    {
        forward_request read;
        read.caller_id = std::string{asked["x-id"]};
        read.path = std::string{asked.target()};
        if (read.caller_id.empty())
        {
            return make_error(error_kind::invalid_field, "x-id: is missing");
        }
        return read;
    }
    [[nodiscard]] bool forwards_request_field(std::string_view field) const
    {
        return field != "x-secret";
    }
    void append_attempt_fields(std::string& out, const start_forward& attempt, duration /*left*/) const
    {
        out += "x-endpoint: " + attempt.endpoint.value() + "\r\n";
        if (attempt.continuation)
        {
            out += "x-after: " + attempt.continuation->last_event + "\r\n";
        }
    }
    [[nodiscard]] answer_reading read_answer(const response_head& head, const parsleyshift::http_request& asked) const
    {
        answer_reading reading;
        reading.belongs = head["x-id"] == asked["x-id"];
        if (head.result_int() == 429)
        {
            reading.refusal = attempt_failure::not_started;
        }
        return reading;
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
            return make_error(error_kind::malformed_request, "load: status is not 200");
        }
        load_report report;
        report.leaving = body == "leaving";
        return report;
    }
    [[nodiscard]] own_answer rejection(const request_rejected& rejected) const
    {
        own_answer own;
        own.status = rejected.what == outcome::not_run ? 503 : 502;
        return own;
    }
    [[nodiscard]] result<entry_query> read_entry_query(const parsleyshift::http_request& /*asked*/) const
    {
        return entry_query{};
    }
    [[nodiscard]] own_answer entries(const entry_answer& /*answer*/) const
    {
        return {};
    }
    [[nodiscard]] bool asks_for_readiness(const parsleyshift::http_request& /*asked*/) const
    {
        return false;
    }
};

static_assert(forwarding_protocol<small_protocol>);

} // namespace parsleyshift::test_support
