#include <parsleyshift/test_support/property.hpp> // check_property

#include "schema_check.hpp" // schema_check

#include <parsleyshift/records/check_records.hpp> // check_records
#include <parsleyshift/records/json_text.hpp>     // parse_json
#include <parsleyshift/records/parse_record.hpp>  // parse_record
#include <parsleyshift/records/read_settings.hpp> // read_settings
#include <parsleyshift/records/record_files.hpp>  // read_record_files

#include <algorithm> // for_each
#include <fstream>   // ifstream
#include <set>       // set
#include <sstream>   // stringstream
#include <string>    // string

using namespace parsleyshift;
using nlohmann::json;

namespace
{

/// The same record in both schema versions; no field has its default value.
struct example
{
    record_kind kind;
    const char* name;
    const char* body_v1;
    const char* body_v2;
};

constexpr std::array examples{
    example{record_kind::service, "yard-desk",
            R"({"kind":"plain","operations":[{"name":"paint_order","idempotent":false}],"default_class":"short",
                "max_tokens":7,"checks_keys":true,"honours_fencing":false})",
            R"({"endpoints":"plain","operations":[{"name":"paint_order","repeatable":false}],"default_class":"short",
                "generation":{"max_tokens":7},"checks":{"order_keys":true,"fencing":false}})"},
    example{record_kind::customer, "alpha", R"({"weight":2.5,"tokens_per_second":900,"burst_tokens":1800})",
            R"({"weight":2.5,"limit":{"rate":900,"burst":1800}})"},
    example{record_kind::model, "plan-1",
            R"({"service":"plan-writers","version":"3","adapters":["turf"],"role":"prefill","weight_bytes":8000,
                "min_ready":2,"share":0.5})",
            R"({"service":"plan-writers","version":"3","adapters":["turf"],"role":"prefill","weight_bytes":8000,
                "placement":{"min_ready":2,"share":0.5}})"},
    example{record_kind::priority, "short",
            R"({"level":9,"reserved":true,"queue_limit":50,"default_timeout_ms":1200,"hedged":true})",
            R"({"level":9,"lane":"reserved","queue":{"limit":50,"timeout_ms":1200},"hedged":true})"},
    example{record_kind::fleet, "fleet",
            R"({"entry_slots":9,"shard_size":4,"store_bytes_per_second":1000,"store_region":"lagos"})",
            R"({"entry":{"slots":9,"shard_size":4},"weight_store":{"bytes_per_second":1000,"region":"lagos"}})"},
};

raw_record raw_of(record_kind kind, const std::string& name, int schema_version, const std::string& body)
{
    return {std::string{name_of(kind)}, name, revision{1}, schema_version, false, body};
}

const char* body_of(const example& each, int schema_version)
{
    return schema_version == 1 ? each.body_v1 : each.body_v2;
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

rc::Gen<json> arbitrary_json(int depth)
{
    const auto leaf = rc::gen::oneOf(
        rc::gen::map(rc::gen::arbitrary<bool>(), [](bool value) { return json(value); }),
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t value) { return json(value); }),
        rc::gen::map(rc::gen::inRange(-3, 3), [](int value) { return json(value / 2.0); }),
        rc::gen::element(json(), json("short"), json("engine"), json(""), json("no such"), json("x\ny"), json("plain")),
        rc::gen::map(rc::gen::string<std::string>(), [](const std::string& value) { return json(value); }));
    if (depth == 0)
    {
        return leaf;
    }
    const auto list = rc::gen::map(rc::gen::resize(4, rc::gen::container<std::vector<json>>(arbitrary_json(depth - 1))),
                                   [](const std::vector<json>& items) { return json(items); });
    const auto object = rc::gen::map(list, [](const json& items) { return json{{"name", items}, {"limit", items}}; });
    return rc::gen::oneOf(leaf, list, object);
}

/// Collects all numbers in a schema, which include the bounds of its fields.
void collect_numbers(const json& schema, std::set<double>& found)
{
    if (schema.is_number())
    {
        found.insert(schema.get<double>());
    }
    else if (schema.is_structured())
    {
        std::for_each(schema.begin(), schema.end(), [&found](const json& part) { collect_numbers(part, found); });
    }
}

/// Values at, just below and just above each bound of the schema, and values of every JSON type.
std::vector<json> make_probes(const json& schema)
{
    std::set<double> bounds;
    collect_numbers(schema, bounds);
    std::vector<json> probes{json(),
                             true,
                             0.5,
                             "",
                             "short",
                             "engine",
                             "x\ny",
                             "no such",
                             json::array(),
                             json::object(),
                             json{{"unknown", 1}},
                             json::array({"short", "short"}),
                             json::array({1})};
    for (const double bound : bounds)
    {
        for (const double step : {-1.0, 0.0, 1.0})
        {
            probes.push_back(static_cast<std::int64_t>(bound + step));
        }
        if (bound > 0 && bound <= 1000)
        {
            const auto length = static_cast<std::size_t>(bound);
            probes.push_back(std::string(length, 'a'));
            probes.push_back(std::string(length + 1, 'a'));
            json list = json::array();
            while (list.size() < length + 1)
            {
                list.push_back("n" + std::to_string(list.size()));
            }
            probes.push_back(list);
        }
    }
    return probes;
}

/// JSON pointers to the document and to every value in it.
std::set<std::string> pointers_in(const json& document)
{
    std::set<std::string> pointers{""};
    const json flat = document.flatten();
    for (const auto& leaf : flat.items())
    {
        for (json::json_pointer pointer{leaf.key()}; !pointer.empty(); pointer = pointer.parent_pointer())
        {
            pointers.insert(pointer.to_string());
        }
    }
    return pointers;
}

/// The document, and its variants with one value replaced by a probe, one key removed or one unknown key added.
std::vector<json> make_variants(const json& document, const std::vector<json>& probes)
{
    std::vector<json> variants{document};
    for (const std::string& path : pointers_in(document))
    {
        const json::json_pointer pointer{path};
        for (const json& probe : probes)
        {
            variants.push_back(document);
            variants.back()[pointer] = probe;
        }
        if (document[pointer].is_object())
        {
            variants.push_back(document);
            variants.back()[pointer]["unknown"] = 1;
        }
        if (!pointer.empty() && document[pointer.parent_pointer()].is_object())
        {
            variants.push_back(document);
            variants.back()[pointer.parent_pointer()].erase(pointer.back());
        }
    }
    return variants;
}

/// The schema may accept a document that the reader rejects only if a condition over several fields does not hold.
bool only_a_condition_failed(const json& schema, const read_result<record_body>& read)
{
    return !read && read.error().all().size() == 1 && schema.contains("$comment") &&
           schema["$comment"].get<std::string>().find(read.error().all().front().reason) != std::string::npos;
}

} // namespace

TEST_GROUP(records){};

// Guards against a field that is renamed in schema 2 and loses its value when a record is converted.
TEST(records, both_schemas_give_the_same_record_and_round_trip)
{
    for (const example& each : examples)
    {
        const auto first = parse_record(raw_of(each.kind, each.name, 1, each.body_v1));
        const auto second = parse_record(raw_of(each.kind, each.name, 2, each.body_v2));
        CHECK_TRUE_TEXT(first.has_value(), each.name);
        CHECK_TRUE_TEXT(second.has_value(), each.name);
        CHECK(kind_of(first.value()) == each.kind);
        // The examples omit only empty fields, so each written body must contain every value of its example.
        for (const int schema_version : {1, 2})
        {
            const json written = json::parse(write_record(first.value(), schema_version));
            STRCMP_EQUAL(written.dump().c_str(),
                         json::parse(write_record(second.value(), schema_version)).dump().c_str());
            const json given = json::parse(body_of(each, schema_version));
            json merged = written;
            merged.merge_patch(given);
            STRCMP_EQUAL(merged.dump().c_str(), written.dump().c_str());
        }
    }
}

// Guards against an invalid record that is accepted, or rejected with a misleading error kind.
TEST(records, invalid_records_are_rejected_with_the_matching_error_kind)
{
    const auto kind_of_error = [](raw_record raw)
    {
        return parse_record(raw).error().kind;
    };
    CHECK(kind_of_error(raw_of(record_kind::customer, "a", 3, "{}")) == error_kind::unsupported_schema);
    CHECK(kind_of_error(raw_of(record_kind::customer, "a", 0, "{}")) == error_kind::unsupported_schema);
    CHECK(kind_of_error({"colour", "a", revision{1}, 1, false, "{}"}) == error_kind::unknown_name);
    CHECK(kind_of_error(raw_of(record_kind::customer, "a b", 1, "{}")) == error_kind::invalid_field);
    CHECK(kind_of_error(raw_of(record_kind::fleet, "other", 1, R"({"entry_slots":8})")) == error_kind::invalid_field);
    CHECK(kind_of_error({"customer", "a", revision{1}, 1, true, ""}) == error_kind::invalid_field);
    CHECK(kind_of_error(raw_of(record_kind::customer, "a", 1, R"({"tokens_per_second":5})")) ==
          error_kind::invalid_field);
}

// Guards against a reader that reports only the first issue, so that an operator must correct a record many times.
TEST(records, every_issue_is_reported_with_its_path)
{
    const auto read = parse_record_with_issues(raw_of(
        record_kind::service, "s", 1,
        R"({"kind":"motor","operations":[{"name":"a"},{"name":"","idempotent":1}],"max_tokens":0.5,"colour":1})"));
    CHECK_FALSE(read.has_value());
    const std::string text = read.error().text();
    for (const char* path :
         {"kind:", "operations[1].name:", "operations[1].idempotent:", "max_tokens:", "colour:", "default_class:"})
    {
        CHECK_TRUE_TEXT(text.find(path) != std::string::npos, path);
    }
    for (const json_issue& issue : read.error().all())
    {
        CHECK_FALSE(issue.remedy.empty());
    }
}

// Guards against duplicate keys, of which nlohmann/json silently keeps the last one, and against unbounded size and
// nesting.
TEST(records, size_and_depth_are_bounded_and_keys_are_unique)
{
    CHECK_FALSE(parse_json(R"({"a":1,"b":{"a":2,"a":3}})").has_value());
    CHECK(parse_json(R"({"a":1,"b":{"a":2},"c":[{"a":3}]})").has_value());
    CHECK(parse_json("[[[]]]", {100, 3}).has_value());
    CHECK_FALSE(parse_json("[[[[]]]]", {100, 3}).has_value());
    CHECK_FALSE(parse_json(std::string(500'000, '['), {}).has_value());
    CHECK_FALSE(parse_json("[1,2,3]", {6, 3}).has_value());
    CHECK_FALSE(parse_json("{\"a\":\"\xff\"}").has_value());
}

// Guards against a body that crashes the reader, and against parse_record and parse_record_with_issues accepting
// different records.
TEST(records, arbitrary_bodies_are_accepted_or_rejected_consistently)
{
    test_support::check_property(
        "parse_record and parse_record_with_issues agree on arbitrary text",
        []
        {
            const auto text =
                *rc::gen::oneOf(rc::gen::string<std::string>(),
                                rc::gen::map(arbitrary_json(3), [](const json& any)
                                             { return any.dump(-1, ' ', false, json::error_handler_t::replace); }));
            for (const auto& kind : enum_names<record_kind>::rows)
            {
                const raw_record raw = raw_of(kind.value, "fleet", *rc::gen::inRange(0, 4), text);
                RC_ASSERT(parse_record(raw).has_value() == parse_record_with_issues(raw).has_value());
            }
        });
}

// Guards against a published schema that accepts records which instances reject, or the reverse.
TEST(records, schema_and_reader_accept_the_same_documents)
{
    for (const example& each : examples)
    {
        for (int schema_version = 1; schema_version <= latest_record_schema; ++schema_version)
        {
            const json json_schema = json::parse(record_schema(each.kind, schema_version));
            int accepted = 0;
            int rejected = 0;
            for (const json& variant :
                 make_variants(json::parse(body_of(each, schema_version)), make_probes(json_schema)))
            {
                const std::string text = variant.dump();
                const auto read = parse_record_with_issues(raw_of(each.kind, each.name, schema_version, text));
                const bool by_schema = schema_check::accepts(json_schema, variant);
                const bool consistent =
                    by_schema == read.has_value() || (by_schema && only_a_condition_failed(json_schema, read));
                CHECK_TRUE_TEXT(consistent,
                                (json_schema["title"].get<std::string>() + ": " + text.substr(0, 400)).c_str());
                ++(by_schema ? accepted : rejected);
            }
            // The variants must cover both outcomes.
            CHECK(accepted > 20);
            CHECK(rejected > 100);
        }
    }
}

// Guards against committed schemas that differ from the readers; `parsleyctl schema --write schemas` regenerates them.
TEST(records, committed_schemas_are_current)
{
    for (const auto& kind : enum_names<record_kind>::rows)
    {
        for (int schema_version = 1; schema_version <= latest_record_schema; ++schema_version)
        {
            const std::string file = std::string{kind.name} + "." + std::to_string(schema_version) + ".json";
            STRCMP_EQUAL(record_schema(kind.value, schema_version).c_str(),
                         read_file(std::string{SCHEMA_FOLDER} + "/" + file).c_str());
        }
    }
}

// Guards against a value that changes when a customer record is written and read again.
TEST(records, customers_round_trip)
{
    test_support::check_property(
        "a customer record round-trips in both schemas",
        []
        {
            customer_record customer;
            customer.name = customer_id{"alpha"};
            customer.weight = *rc::gen::inRange(1, 1'000'000) / 1000.0;
            customer.tokens_per_second = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
            customer.burst_tokens = *rc::gen::inRange<std::int64_t>(1, 1'000'000'000);
            for (int schema_version = 1; schema_version <= latest_record_schema; ++schema_version)
            {
                const auto read = parse_record(
                    raw_of(record_kind::customer, "alpha", schema_version, write_record(customer, schema_version)));
                RC_ASSERT(read.has_value());
                const auto& back = std::get<customer_record>(read.value());
                RC_ASSERT(back.name == customer.name && back.weight == customer.weight);
                RC_ASSERT(back.tokens_per_second == customer.tokens_per_second);
                RC_ASSERT(back.burst_tokens == customer.burst_tokens);
            }
        });
}

// Guards against example files that operators copy and that instances reject.
TEST(records, examples_are_accepted_without_findings)
{
    for (const char* deployment : {"okonkwo", "lapviz", "demo"})
    {
        const auto records = read_record_files(std::string{EXAMPLES_FOLDER} + "/" + deployment + "/records");
        CHECK_TRUE_TEXT(records.has_value(), deployment);
        LONGS_EQUAL_TEXT(0, check_records(records.value()).size(), deployment);
        std::set<int> schemas;
        for (const raw_record& record : records.value())
        {
            schemas.insert(record.schema);
        }
        // Each example uses both schema versions.
        LONGS_EQUAL_TEXT(2, schemas.size(), deployment);
    }
    for (const char* settings : {"okonkwo/settings/ikeja-1.json", "lapviz/settings/zirc-2.json"})
    {
        const auto read = read_settings(read_file(std::string{EXAMPLES_FOLDER} + "/" + settings));
        CHECK_TRUE_TEXT(read.has_value(), settings);
    }
}

// Guards against undefined references between records that surface only when requests fail.
TEST(records, references_between_records_are_warnings)
{
    const std::vector<raw_record> records{
        raw_of(record_kind::service, "writers", 1, R"({"kind":"engine","models":["big"],"default_class":"long"})"),
        raw_of(record_kind::model, "small", 1, R"({"service":"writers","version":"1","share":0})"),
        raw_of(record_kind::model, "lost", 1, R"({"service":"nowhere","version":"1"})"),
        raw_of(record_kind::customer, "bad", 1, R"({"weight":-1})"),
    };
    std::string found;
    for (const record_finding& finding : check_records(records))
    {
        found += std::string{name_of(finding.grade)} + " " + finding.kind + "/" + finding.name + " " +
                 finding.issue.path + "\n";
    }
    STRCMP_EQUAL("error customer/bad weight\n"
                 "warning service/writers default_class\n"
                 "warning service/writers models[0]\n"
                 "warning service/writers models\n"
                 "warning model/small service\n"
                 "warning model/lost service\n"
                 "warning fleet/fleet \n",
                 found.c_str());
}
