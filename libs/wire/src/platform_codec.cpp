#include <parsleyshift/wire/platform_codec.hpp> // parse_records, parse_instances

#include "bounded_json.hpp"                   // read_bounded_json
#include <parsleyshift/wire/field_reader.hpp> // field_reader

#include <nlohmann/json.hpp> // json

#include <cstdint> // INT64_MAX
#include <utility> // move

namespace parsleyshift
{

namespace
{

using detail::bounded_json;
using detail::field_reader;
using detail::read_bounded_json;
using nlohmann::json;

result<raw_record> read_record(const json& row)
{
    field_reader in(row);
    raw_record record;
    std::uint64_t changed = 0;
    std::int64_t schema = 1;
    in.text("kind", record.kind);
    in.text("name", record.name);
    in.number("revision", changed, true);
    in.integer("schema", schema, 0, 1'000'000, false);
    in.boolean("withdrawn", record.withdrawn);
    record.changed = revision{changed};
    record.schema = static_cast<int>(schema);
    if (const json* body = in.find("body", false))
    {
        const bool is_text = body->is_string();
        record.body = is_text ? body->get<std::string>() : body->dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return in.finish(std::move(record));
}

result<listed_instance> read_instance(const json& row)
{
    field_reader in(row);
    listed_instance listed;
    std::string service;
    std::string zone;
    std::string region;
    std::string state;
    in.text("id", listed.id);
    in.enumerator("role", listed.role, true);
    in.text("service", service, listed.role != instance_role::entry);
    in.text("address", listed.address);
    in.text("peer_address", listed.peer_address, false);
    in.text("availability_zone", zone, false);
    in.text("region", region, false);
    in.text("state", state, false);
    listed.service = service_id{std::move(service)};
    listed.availability_zone = zone_id{std::move(zone)};
    listed.region = region_id{std::move(region)};
    listed.leaving = state == "leaving";
    return in.finish(std::move(listed));
}

/// Reads the rows of a list into a page and counts those that are malformed.
template <class Row>
void read_rows(const json* rows, result<Row> (*read)(const json&), std::vector<Row>& out, std::size_t& malformed)
{
    if (rows == nullptr)
    {
        return;
    }
    for (const json& row : *rows)
    {
        auto parsed = read(row);
        if (parsed.has_value())
        {
            out.push_back(std::move(parsed.value()));
        }
        else
        {
            ++malformed;
        }
    }
}

} // namespace

result<record_page> parse_records(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, bounds));
    field_reader in(document.value);
    record_page page;
    std::uint64_t highest = 0;
    in.number("revision", highest, true);
    page.highest = revision{highest};
    read_rows(in.find("records", true), read_record, page.records, page.malformed_rows);
    return in.finish(std::move(page));
}

result<instance_page> parse_instances(std::string_view body, const body_bounds& bounds)
{
    BOOST_OUTCOME_TRY(const bounded_json document, read_bounded_json(body, bounds));
    field_reader in(document.value);
    instance_page page;
    std::int64_t as_of = 0;
    in.integer("as_of_ms", as_of, 0, INT64_MAX, true);
    page.as_of = at_ms(as_of);
    read_rows(in.find("instances", true), read_instance, page.instances, page.malformed_rows);
    return in.finish(std::move(page));
}

} // namespace parsleyshift
