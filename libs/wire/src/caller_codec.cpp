#include <parsleyshift/wire/caller_codec.hpp> // parse_generation, append_event, answer_body

#include "bounded_json.hpp"                   // read_bounded_json
#include <parsleyshift/wire/field_reader.hpp> // field_reader

#include <parsleyshift/wire/json_string.hpp> // append_json_string

#include <string>  // to_string
#include <utility> // move

namespace parsleyshift
{

namespace
{

using detail::bounded_json;
using detail::field_reader;
using detail::read_bounded_json;

// Longer generations than any service allows; the service's own bound comes from its record.
constexpr std::int64_t most_tokens = 100'000'000;

void append_member(std::string& out, std::string_view name, std::string_view text)
{
    out += out.empty() || out.back() != '{' ? ",\"" : "\"";
    out += name;
    out += "\":";
    append_json_string(out, text);
}

void append_member(std::string& out, std::string_view name, std::int64_t number)
{
    out += out.empty() || out.back() != '{' ? ",\"" : "\"";
    out += name;
    out += "\":";
    out += std::to_string(number);
}

void append_tokens(std::string& out, const token_list& tokens)
{
    out += ",\"tokens\":[";
    bool first = true;
    for (const std::string& token : tokens)
    {
        if (!first)
        {
            out += ',';
        }
        first = false;
        append_json_string(out, token);
    }
    out += ']';
}

void append_error(std::string& out, const request_rejected& rejected)
{
    out += '{';
    append_member(out, "outcome", name_of(rejected.what));
    append_member(out, "kind", name_of(rejected.why.kind));
    append_member(out, "code", static_cast<std::int64_t>(rejected.why.kind));
    append_member(out, "message", rejected.why.detail);
    append_member(out, "remedy", remedy_of(rejected.why.kind));
    if (rejected.why.retry_after)
    {
        append_member(out, "retry_after_ms", rejected.why.retry_after->count());
    }
    if (rejected.delivered > 0)
    {
        append_member(out, "count", rejected.delivered);
    }
    if (rejected.settled_after != never)
    {
        append_member(out, "settled_after_ms", to_ms(rejected.settled_after));
    }
    out += '}';
}

template <class Request>
result<Request> finish(field_reader& in, Request request)
{
    in.reject_unknown();
    return in.finish(std::move(request));
}

} // namespace

result<generation_request> parse_generation(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, bounds));
    field_reader in(document.value);
    generation_request request;
    in.name("customer", request.customer);
    in.name("service", request.service);
    in.name("model", request.model, false);
    in.name("class", request.work_class, false);
    in.text("prompt", request.prompt);
    in.integer("max_tokens", request.max_tokens, 1, most_tokens, false);
    in.enumerator("delivery", request.delivery_mode);
    in.milliseconds("deadline_ms", request.timeout);
    in.text("entry_token", request.entry_token, false);
    return finish(in, std::move(request));
}

result<call_request> parse_call(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(bounded_json document, read_bounded_json(body, bounds, "payload"));
    field_reader in(document.value);
    call_request request;
    in.name("customer", request.customer);
    in.name("service", request.service);
    in.text("operation", request.operation);
    in.milliseconds("deadline_ms", request.timeout);
    if (document.raw.empty())
    {
        in.invalid("payload", "is missing");
    }
    request.payload = std::move(document.raw);
    return finish(in, std::move(request));
}

result<key_request> parse_key_request(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, bounds));
    field_reader in(document.value);
    key_request request;
    in.name("customer", request.customer);
    in.name("service", request.service);
    return finish(in, std::move(request));
}

result<order_request> parse_order(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(bounded_json document, read_bounded_json(body, bounds, "payload"));
    field_reader in(document.value);
    order_request request;
    in.name("customer", request.customer);
    in.name("service", request.service);
    in.text("operation", request.operation);
    in.text("key", request.key);
    if (document.raw.empty())
    {
        in.invalid("payload", "is missing");
    }
    request.payload = std::move(document.raw);
    return finish(in, std::move(request));
}

void append_event(std::string& out, const stream_started& started, const instance_id& instance)
{
    out += "event: start\ndata: {";
    append_member(out, "generation", started.generation);
    append_member(out, "continuation", started.continuation);
    append_member(out, "instance", instance.value());
    out += "}\n\n";
}

void append_event(std::string& out, const stream_tokens& tokens)
{
    out += "event: tokens\ndata: {";
    append_member(out, "offset", tokens.offset);
    append_tokens(out, tokens.tokens);
    out += "}\n\n";
}

void append_event(std::string& out, const stream_ended& ended)
{
    out += "event: end\ndata: {\"outcome\":\"completed\"";
    append_member(out, "count", ended.count);
    out += "}\n\n";
}

void append_event(std::string& out, const request_rejected& rejected)
{
    out += "event: error\ndata: ";
    append_error(out, rejected);
    out += "\n\n";
}

std::string answer_body(const whole_answer& answer)
{
    std::string out = "{\"outcome\":\"completed\"";
    append_member(out, "generation", answer.generation);
    append_tokens(out, answer.tokens);
    append_member(out, "count", static_cast<std::int64_t>(answer.tokens.size()));
    out += '}';
    return out;
}

std::string answer_body(const call_answer& answer)
{
    std::string out = "{\"outcome\":\"completed\",\"result\":";
    out += answer.result.empty() ? "null" : answer.result;
    out += '}';
    return out;
}

std::string answer_body(const entry_answer& answer)
{
    std::string out = "{\"entries\":[";
    for (std::size_t i = 0; i < answer.entries.size(); ++i)
    {
        const entry_candidate& choice = answer.entries[i];
        out += i == 0 ? "{" : ",{";
        append_member(out, "instance", choice.instance.value());
        append_member(out, "address", choice.address);
        append_member(out, "availability_zone", choice.availability_zone.value());
        out += '}';
    }
    out += ']';
    append_member(out, "keep_ms", answer.ttl.count());
    append_member(out, "token", answer.token);
    out += '}';
    return out;
}

std::string answer_body(const key_answer& answer)
{
    std::string out = "{";
    append_member(out, "key", answer.key);
    append_member(out, "send_deadline_ms", to_ms(answer.send_deadline));
    append_member(out, "expires_ms", to_ms(answer.expires));
    out += '}';
    return out;
}

std::string answer_body(const cancel_answer& answer)
{
    return answer_body(request_rejected{.request = answer.request,
                                        .what = outcome::failed,
                                        .why = make_error(error_kind::cancelled, "the generation was cancelled"),
                                        .delivered = 0,
                                        .settled_after = never});
}

std::string answer_body(const request_rejected& rejected)
{
    std::string out;
    append_error(out, rejected);
    return out;
}

unsigned http_status(error_kind kind) noexcept
{
    switch (kind)
    {
    case error_kind::unauthenticated:
        return 401;
    case error_kind::not_found:
    case error_kind::unknown_name:
        return 404;
    case error_kind::body_too_large:
        return 413;
    case error_kind::quarantined:
        return 422;
    case error_kind::queue_full:
    case error_kind::limit_exceeded:
        return 429;
    case error_kind::cancelled:
        return 409;
    case error_kind::internal:
        return 500;
    case error_kind::deadline_passed:
        return 504;
    default:
        break;
    }
    const int number = static_cast<int>(kind);
    if (number < 200)
    {
        return 400;
    }
    return number < 300 ? 503 : 502;
}

} // namespace parsleyshift
