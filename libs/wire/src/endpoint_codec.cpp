#include <parsleyshift/wire/endpoint_codec.hpp> // generation_body, parse_load

#include "bounded_json.hpp"                   // read_bounded_json
#include <parsleyshift/wire/field_reader.hpp> // field_reader

#include <parsleyshift/wire/json_string.hpp> // append_json_string

#include <nlohmann/json.hpp> // json

#include <utility> // move

namespace parsleyshift
{

namespace
{

using detail::bounded_json;
using detail::field_reader;
using detail::read_bounded_json;
using nlohmann::json;

// Reports are a few hundred bytes; the bound leaves room for long model lists.
constexpr body_bounds report_bounds{std::size_t{64} * 1024, 8};
constexpr std::int64_t any_count = INT64_MAX;
constexpr std::size_t max_message_bytes = 1024;

std::string text_of(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string generation_body(const start_generation& start)
{
    std::string out = "{\"attempt\":" + std::to_string(start.attempt.value()) + ",\"prompt\":";
    append_json_string(out, start.prompt);
    out += ",\"max_tokens\":" + std::to_string(start.max_tokens);
    out += ",\"priority\":" + std::to_string(start.priority) + ",\"model\":";
    append_json_string(out, start.model.value());
    out += '}';
    return out;
}

std::string call_body(const start_call& start)
{
    std::string out = "{\"attempt\":" + std::to_string(start.attempt.value()) + ",\"operation\":";
    append_json_string(out, start.operation);
    out += ",\"payload\":";
    out += start.payload.empty() ? "null" : start.payload;
    if (!start.key.empty())
    {
        out += ",\"key\":";
        append_json_string(out, start.key);
    }
    if (start.send_deadline != never)
    {
        out += ",\"not_after_ms\":" + std::to_string(to_ms(start.send_deadline));
    }
    out += '}';
    return out;
}

std::string order_body(const placement_order& order)
{
    return text_of(json{{"action", std::string(name_of(order.action))},
                        {"model", order.model.value()},
                        {"adapter", order.adapter},
                        {"version", order.version},
                        {"role", order.role},
                        {"fence", order.fence.value()}});
}

result<std::string> parse_call_result(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(bounded_json document, read_bounded_json(body, bounds, "result"));
    if (document.raw.empty())
    {
        return make_error(error_kind::invalid_field, "result: is missing");
    }
    return std::move(document.raw);
}

refusal parse_refusal(std::string_view body)
{
    refusal said;
    const auto document = read_bounded_json(body, report_bounds);
    if (document.has_error() || !document.value().value.is_object())
    {
        said.message = std::string(body.substr(0, max_message_bytes));
        return said;
    }
    field_reader in(document.value().value);
    in.boolean("not_started", said.not_started);
    in.boolean("leaving", said.leaving);
    in.text("message", said.message, false);
    said.message.resize(std::min(said.message.size(), max_message_bytes));
    return said;
}

result<load_report> parse_load(std::string_view body, const endpoint_id& endpoint)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, report_bounds));
    field_reader in(document.value);
    load_report report;
    report.endpoint = endpoint;
    std::int64_t as_of = 0;
    std::uint64_t fence = 0;
    in.integer("as_of_ms", as_of, 0, any_count, true);
    in.integer("running", report.running, 0, any_count, true);
    in.integer("waiting", report.waiting, 0, any_count, true);
    in.integer("slots", report.slots, 0, any_count, true);
    in.integer("memory_used", report.memory_used, 0, any_count, false);
    in.integer("memory_capacity", report.memory_capacity, 0, any_count, false);
    in.boolean("leaving", report.leaving);
    in.text("role", report.role, false);
    in.number("fence", fence, false);
    if (const json* models = in.find("models", false))
    {
        for (const json& model : *models)
        {
            if (!model.is_string())
            {
                in.invalid("models", "must be a list of names");
                break;
            }
            report.models.emplace_back(model.get<std::string>());
        }
    }
    report.as_of = at_ms(as_of);
    report.fence = fencing_number{fence};
    return in.finish(std::move(report));
}

result<cache_page> parse_cache_events(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, bounds));
    field_reader in(document.value);
    cache_page page;
    in.number("next", page.next, true);
    const json* events = in.find("events", true);
    if (events != nullptr && !events->is_array())
    {
        in.invalid("events", "must be a list");
    }
    if (in.mistake())
    {
        return *in.mistake();
    }
    for (const json& row : *events)
    {
        field_reader event(row, "events.");
        cache_event read;
        event.number("sequence", read.sequence, true);
        event.number("prefix", read.prefix, true);
        event.boolean("cached", read.cached);
        BOOST_OUTCOME_TRY(read, event.finish(read));
        page.events.push_back(read);
    }
    return page;
}

result<order_verdict> parse_order_verdict(std::string_view body)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, report_bounds));
    field_reader in(document.value);
    order_verdict verdict;
    std::uint64_t fence = 0;
    in.boolean("accepted", verdict.accepted);
    in.number("fence", fence, false);
    verdict.fence = fencing_number{fence};
    return in.finish(verdict);
}

} // namespace parsleyshift
