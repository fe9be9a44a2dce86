#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/wire/caller_codec.hpp>   // parse_generation
#include <parsleyshift/wire/endpoint_codec.hpp> // parse_generation_line
#include <parsleyshift/wire/platform_codec.hpp> // parse_records

#include <nlohmann/json.hpp> // json

#include <limits> // numeric_limits

using namespace parsleyshift;
using nlohmann::json;
using test_support::check_property;

namespace
{

const body_bounds usual;

std::string any_ascii()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

std::string any_name()
{
    return "n" + any_ascii();
}

std::string any_text()
{
    // Code points beyond ASCII, controls and quotes.
    const std::vector<std::string> pieces{"a", "\"", "\\", "\n", "\x01", "á", "€", "😀", " ", "}"};
    std::string text;
    for (const auto& piece : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces)))
    {
        text += piece;
    }
    return text;
}

std::int64_t any_count()
{
    return *rc::gen::inRange<std::int64_t>(0, std::numeric_limits<std::int64_t>::max());
}

json any_json(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 6 : 4))
    {
    case 0:
        return *rc::gen::arbitrary<std::int64_t>();
    case 1:
        return any_text();
    case 2:
        return nullptr;
    case 3:
        return *rc::gen::arbitrary<double>();
    case 4:
        return json::array({any_json(depth - 1), any_json(depth - 1)});
    default:
        return json{{any_text(), any_json(depth - 1)}};
    }
}

std::string data_of(const std::string& event, const std::string& name)
{
    const std::string head = "event: " + name + "\ndata: ";
    RC_ASSERT(event.substr(0, head.size()) == head);
    RC_ASSERT(event.substr(event.size() - 2) == "\n\n");
    const std::string data = event.substr(head.size(), event.size() - head.size() - 2);
    RC_ASSERT(data.find('\n') == std::string::npos);
    return data;
}

struct bad_body
{
    const char* body;
    error_kind kind;
    const char* names;
};

} // namespace

TEST_GROUP(json_codec){};

// Guards against a field of a request that is lost or changed on the way in.
TEST(json_codec, requests_survive_parsing)
{
    check_property("a generation request survives",
                   []
                   {
                       const json body{{"customer", any_name()},
                                       {"service", any_name()},
                                       {"model", any_name()},
                                       {"class", any_name()},
                                       {"prompt", any_text()},
                                       {"max_tokens", *rc::gen::inRange(1, 100'000'000)},
                                       {"delivery", *rc::gen::element("stream", "whole")},
                                       {"deadline_ms", *rc::gen::inRange(1, 86'400'000)},
                                       {"entry_token", any_text()}};
                       const auto read = parse_generation(body.dump(*rc::gen::inRange(-1, 4)), usual);
                       RC_ASSERT(read.has_value());
                       const generation_request& got = read.value();
                       const json again{{"customer", got.customer.value()},
                                        {"service", got.service.value()},
                                        {"model", got.model.value()},
                                        {"class", got.work_class.value()},
                                        {"prompt", got.prompt},
                                        {"max_tokens", got.max_tokens},
                                        {"delivery", std::string(name_of(got.delivery_mode))},
                                        {"deadline_ms", got.timeout->count()},
                                        {"entry_token", got.entry_token}};
                       RC_ASSERT(again == body);
                   });
}

// Guards against payloads that are rewritten: numbers would lose digits and texts their escapes.
TEST(json_codec, payloads_and_results_keep_their_text)
{
    check_property("the text of a payload is unchanged",
                   []
                   {
                       const std::string payload = any_json(3).dump(*rc::gen::inRange(-1, 3));
                       const std::string gap = *rc::gen::element("", " ", "\n\t ");
                       const std::string head = R"({"customer":"c","payload")" + gap + ":" + gap;
                       const std::string tail = gap + R"(,"service":"s","operation":"o","key":"k"})";
                       const auto order = parse_order(head + payload + tail, usual);
                       RC_ASSERT(order.has_value());
                       RC_ASSERT(order.value().payload == payload);
                       const std::string answer = answer_body(call_answer{request_id{1}, payload});
                       const auto result = parse_call_result(answer, usual);
                       RC_ASSERT(result.has_value());
                       RC_ASSERT(result.value() == payload);
                   });
    const auto digits = parse_call(R"({"customer":"c","service":"s","operation":"o","payload":1.10e+0})", usual);
    STRCMP_EQUAL("1.10e+0", digits.value().payload.c_str());
}

// Guards against mistakes that are ignored or reported without the field's name.
TEST(json_codec, mistakes_are_typed_and_name_the_field)
{
    const std::vector<bad_body> table{
        {"", error_kind::malformed_request, "byte"},
        {"{", error_kind::malformed_request, "byte"},
        {"[]", error_kind::malformed_request, "object"},
        {R"({"service":"s","prompt":"p"})", error_kind::invalid_field, "customer"},
        {R"({"customer":"","service":"s","prompt":"p"})", error_kind::invalid_field, "customer"},
        {R"({"customer":7,"service":"s","prompt":"p"})", error_kind::invalid_field, "customer"},
        {R"({"customer":"c","service":"s","prompt":"p","max_tokens":0})", error_kind::invalid_field, "max_tokens"},
        {R"({"customer":"c","service":"s","prompt":"p","max_tokens":1.5})", error_kind::invalid_field, "max_tokens"},
        {R"({"customer":"c","service":"s","prompt":"p","max_tokens":18446744073709551615})", error_kind::invalid_field,
         "max_tokens"},
        {R"({"customer":"c","service":"s","prompt":"p","delivery":"slow"})", error_kind::invalid_field, "delivery"},
        {R"({"customer":"c","service":"s","prompt":"p","deadline_ms":-1})", error_kind::invalid_field, "deadline_ms"},
        {R"({"customer":"c","service":"s","prompt":"p","colour":1})", error_kind::unknown_field, "colour"},
        {R"({"customer":"c","customer":"d","service":"s","prompt":"p"})", error_kind::malformed_request, "customer"},
    };
    for (const bad_body& row : table)
    {
        const auto read = parse_generation(row.body, usual);
        CHECK_TRUE_TEXT(read.has_error(), row.body);
        CHECK_TRUE_TEXT(read.error().kind == row.kind, row.body);
        CHECK_TRUE_TEXT(read.error().detail.find(row.names) != std::string::npos, row.body);
    }
    CHECK(parse_order(R"({"customer":"c","service":"s","operation":"o","key":"k"})", usual)
              .error()
              .detail.find("payload") != std::string::npos);
}

// Guards against documents that are cheap to send and costly to hold.
TEST(json_codec, size_and_depth_are_bounded_while_parsing)
{
    const std::string deep = R"({"customer":"c","payload":)" + std::string(1'000'000, '[');
    CHECK(parse_call(deep, usual).error().kind == error_kind::malformed_request);
    CHECK(parse_call(deep, usual).error().detail.find("deeper") != std::string::npos);
    CHECK(parse_call(std::string(101, ' '), {100, 5}).error().kind == error_kind::body_too_large);
    const std::string nested = R"({"customer":"c","service":"s","operation":"o","payload":[[1]]})";
    CHECK(parse_call(nested, {1000, 3}).has_value());
    CHECK(parse_call(nested, {1000, 2}).has_error());
}

// Guards against a crash by any input of a caller, an endpoint or the platform.
TEST(json_codec, arbitrary_bytes_never_crash)
{
    const auto feed = [](const std::string& bytes)
    {
        parse_generation(bytes, usual).has_value();
        parse_call(bytes, usual).has_value();
        parse_order(bytes, usual).has_value();
        parse_generation_line(bytes).has_value();
        parse_refusal(bytes);
        parse_load(bytes, endpoint_id{"e"}).has_value();
        parse_cache_events(bytes, usual).has_value();
        parse_order_verdict(bytes).has_value();
        parse_records(bytes, usual).has_value();
        parse_instances(bytes, usual).has_value();
    };
    check_property("any bytes", [feed](const std::string& bytes) { feed(bytes); });
    const std::vector<std::string> seeds{R"({"offset":0,"tokens":["a"],"end":true,"count":3,"error":"e"})",
                                         R"({"revision":1,"records":[{"kind":"k","name":"n","revision":1,"body":{}}]})",
                                         R"({"as_of_ms":1,"instances":[{"id":"i","role":"plain","address":"a"}]})",
                                         R"({"next":1,"events":[{"sequence":1,"prefix":2,"cached":true}]})",
                                         R"({"customer":"c","service":"s","operation":"o","payload":[1,{"a":2}]})"};
    check_property("damaged bodies",
                   [feed, seeds]
                   {
                       std::string body = *rc::gen::elementOf(seeds);
                       const int changes = *rc::gen::inRange(1, 4);
                       for (int i = 0; i < changes; ++i)
                       {
                           body[*rc::gen::inRange<std::size_t>(0, body.size())] =
                               *rc::gen::element('{', '}', '[', ']', '"', ':', ',', '0', '-', 'n', '\\', '\xff');
                       }
                       feed(body);
                   });
}

// Guards against tokens that change between engine and caller.
TEST(json_codec, tokens_survive_from_the_engine_to_the_caller)
{
    check_property(
        "tokens keep their text and offset",
        []
        {
            token_list tokens;
            const int count = *rc::gen::inRange(0, 4);
            for (int i = 0; i < count; ++i)
            {
                tokens.push_back(any_text());
            }
            const std::int64_t offset = any_count();
            const auto line =
                parse_generation_line(json{{"offset", offset}, {"tokens", tokens}, {"added", any_json(2)}}.dump());
            RC_ASSERT(line.has_value());
            RC_ASSERT(std::get<token_line>(line.value()) == (token_line{offset, tokens}));
            std::string event;
            append_event(event, stream_tokens{request_id{1}, offset, tokens});
            RC_ASSERT(json::parse(data_of(event, "tokens")) == json({{"offset", offset}, {"tokens", tokens}}));
        });
    CHECK(parse_generation_line(R"({"end":true,"count":9})").value() == generation_line{end_line{9}});
    CHECK(parse_generation_line(R"({"error":"out of memory"})").value() ==
          generation_line{error_line{"out of memory"}});
    for (const char* bad : {"{}", R"({"end":false,"count":9})", R"({"offset":-1,"tokens":[]})", R"({"offset":1})",
                            R"({"offset":1,"tokens":[1]})", R"({"offset":1,"tokens":"a"})", R"([{"offset":1}])"})
    {
        CHECK_TRUE_TEXT(parse_generation_line(bad).has_error(), bad);
    }
}

// Guards against answers that callers cannot parse or that lack the kind, the remedy or the time.
TEST(json_codec, answers_hold_what_the_design_promises)
{
    request_rejected rejected{.request = request_id{1},
                              .what = outcome::unknown,
                              .why = make_error(error_kind::result_unknown, "say \"when\"", duration{250}),
                              .delivered = 3,
                              .settled_after = at_ms(77)};
    const json body = json::parse(answer_body(rejected));
    const json expected{{"outcome", "unknown"},
                        {"kind", "result_unknown"},
                        {"code", 308},
                        {"message", "say \"when\""},
                        {"retry_after_ms", 250},
                        {"remedy", std::string(remedy_of(error_kind::result_unknown))},
                        {"count", 3},
                        {"settled_after_ms", 77}};
    CHECK(body == expected);
    const entry_answer entry{request_id{1}, {{instance_id{"i"}, "1.2.3.4:5", zone_id{"z"}}}, duration{9}, "t"};
    CHECK(json::parse(answer_body(entry)) ==
          json::parse(R"({"entries":[{"instance":"i","address":"1.2.3.4:5","availability_zone":"z"}],
                          "keep_ms":9,"token":"t"})"));
    CHECK(json::parse(answer_body(key_answer{request_id{1}, "k", at_ms(5), at_ms(6)})) ==
          json::parse(R"({"key":"k","send_deadline_ms":5,"expires_ms":6})"));
    CHECK(json::parse(answer_body(whole_answer{request_id{1}, "g", {"a", "b"}})) ==
          json::parse(R"({"outcome":"completed","generation":"g","tokens":["a","b"],"count":2})"));
    CHECK(json::parse(answer_body(cancel_answer{request_id{1}})).at("kind") == "cancelled");
    std::string start;
    append_event(start, stream_started{request_id{1}, "g", "c"}, instance_id{"i"});
    CHECK(json::parse(data_of(start, "start")) ==
          json::parse(R"({"generation":"g","continuation":"c","instance":"i"})"));
}

// Guards against a refusal that is taken as proof without the endpoint's word.
TEST(json_codec, only_the_stated_member_proves_that_nothing_started)
{
    CHECK(parse_refusal(R"({"not_started":true})").not_started);
    CHECK(parse_refusal(R"({"not_started":true,"leaving":true})").leaving);
    for (const char* text : {"", "overloaded", "{}", R"({"not_started":"true"})", R"({"not_started":false})", "[true]"})
    {
        CHECK_FALSE(parse_refusal(text).not_started);
    }
}

// Guards against bodies to endpoints that lose a field.
TEST(json_codec, bodies_to_endpoints_hold_all_fields)
{
    start_generation start;
    start.attempt = attempt_id{std::numeric_limits<std::uint64_t>::max()};
    start.model = model_id{"m"};
    start.prompt = "p\"";
    start.max_tokens = 5;
    start.priority = -2;
    CHECK(json::parse(generation_body(start)) ==
          json::parse(R"({"attempt":18446744073709551615,"prompt":"p\"","max_tokens":5,"priority":-2,"model":"m"})"));
    start_call call;
    call.attempt = attempt_id{4};
    call.operation = "o";
    call.payload = "[1.0]";
    CHECK(json::parse(call_body(call)) == json::parse(R"({"attempt":4,"operation":"o","payload":[1.0]})"));
    call.key = "k";
    call.send_deadline = at_ms(9);
    CHECK(json::parse(call_body(call)) ==
          json::parse(R"({"attempt":4,"operation":"o","payload":[1.0],"key":"k","not_after_ms":9})"));
    const placement_order order{endpoint_id{"e"}, placement_action::set_role, model_id{"m"}, "a", "v", "r",
                                fencing_number{8}};
    CHECK(json::parse(order_body(order)) ==
          json::parse(R"({"action":"set_role","model":"m","adapter":"a","version":"v","role":"r","fence":8})"));
    CHECK(parse_order_verdict(R"({"accepted":true,"fence":9})").value().fence == fencing_number{9});
}

// Guards against reports that lose a field, and against one bad row that hides the others.
TEST(json_codec, reports_and_lists_are_read)
{
    const auto load = parse_load(R"({"as_of_ms":5,"running":1,"waiting":2,"slots":3,"memory_used":4,
        "memory_capacity":6,"leaving":true,"models":["m"],"role":"decode","fence":7,"later":[]})",
                                 endpoint_id{"e"});
    const load_report& report = load.value();
    CHECK(report.as_of == at_ms(5) && report.running == 1 && report.waiting == 2 && report.slots == 3);
    CHECK(report.memory_used == 4 && report.memory_capacity == 6 && report.leaving && report.role == "decode");
    CHECK(report.models.size() == 1 && report.fence == fencing_number{7} && report.endpoint == endpoint_id{"e"});
    CHECK(parse_load(R"({"as_of_ms":5,"running":-1,"waiting":2,"slots":3})", endpoint_id{"e"}).has_error());
    const auto cache = parse_cache_events(R"({"events":[{"sequence":4,"prefix":5,"cached":false}],"next":5})", usual);
    CHECK(cache.value().next == 5 && cache.value().events.front().prefix == 5 && !cache.value().events.front().cached);
    const auto records = parse_records(R"({"revision":9,"records":[{"kind":"service","name":"a","revision":8,"schema":2,
        "body":{"x":1}},{"name":"no kind"},{"kind":"service","name":"b","revision":9,"withdrawn":true,
        "body":"no {json"}]})",
                                       usual);
    CHECK(records.value().highest == revision{9} && records.value().malformed_rows == 1);
    const raw_record first{"service", "a", revision{8}, 2, false, R"({"x":1})"};
    const raw_record second{"service", "b", revision{9}, 1, true, "no {json"};
    CHECK((records.value().records == std::vector<raw_record>{first, second}));
    const auto list = parse_instances(R"({"as_of_ms":3,"instances":[{"id":"i","role":"engine","service":"s",
        "address":"127.0.0.1:1","availability_zone":"z","region":"r","state":"leaving"},{"id":"j","role":"moon"}]})",
                                      usual);
    listed_instance expected;
    expected.id = "i";
    expected.role = instance_role::engine;
    expected.service = service_id{"s"};
    expected.address = "127.0.0.1:1";
    expected.availability_zone = zone_id{"z"};
    expected.region = region_id{"r"};
    expected.leaving = true;
    CHECK((list.value().instances == std::vector<listed_instance>{expected}) && list.value().malformed_rows == 1);
}
