#include <parsleyshift/test_support/property.hpp> // check_property

#include "loopback.hpp" // running_daemon, client

#include <nlohmann/json.hpp> // json

using namespace parsleyshift;
using namespace parsleyshift::test_support;
using nlohmann::json;

namespace
{

const std::string generation_body = R"({"customer":"c","service":"s","prompt":"p"})";

json body_of(const std::string& answer)
{
    return json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
}

bool begins(const std::string& text, const std::string& head)
{
    return text.substr(0, head.size()) == head;
}

/// Text of the token at an offset, long enough to fill the buffers of the kernel with few tokens.
std::string numbered(int offset)
{
    std::string text = std::to_string(offset);
    return std::string(100 - text.size(), '0') + text;
}

/// Answers each generation with a stream of numbered tokens in messages of up to three.
void stream_numbers(request_id request, int count, std::vector<action>& out)
{
    out.push_back(stream_started{request, "g", "continuation"});
    for (int offset = 0; offset < count;)
    {
        const int size = std::min(1 + offset % 3, count - offset);
        stream_tokens message{request, offset, {}};
        for (int i = 0; i < size; ++i)
        {
            message.tokens.push_back(numbered(offset + i));
        }
        out.push_back(message);
        offset += size;
    }
    out.push_back(stream_ended{request, count});
}

/// Reads a whole stream and checks its events.
void expect_numbers(client& caller, int count)
{
    CHECK(begins(caller.read_to("\r\n\r\n"), "HTTP/1.1 200 OK"));
    std::string events;
    for (std::string chunk = caller.read_chunk(); !chunk.empty(); chunk = caller.read_chunk())
    {
        events += chunk;
    }
    CHECK(begins(events, "event: start\n"));
    int next = 0;
    std::size_t at = 0;
    while ((at = events.find("event: tokens\ndata: ", at)) != std::string::npos)
    {
        at += 20;
        const json data = json::parse(events.substr(at, events.find('\n', at) - at));
        CHECK_EQUAL(next, data.at("offset").get<int>());
        for (const auto& token : data.at("tokens"))
        {
            CHECK(token.get<std::string>() == numbered(next));
            ++next;
        }
    }
    CHECK_EQUAL(count, next);
    const auto end = events.find("event: end\ndata: ");
    CHECK(end != std::string::npos);
    CHECK(json::parse(events.substr(end + 17)) == json({{"outcome", "completed"}, {"count", count}}));
}

struct rejected_input
{
    std::string bytes;
    const char* status;
    const char* kind;
};

} // namespace

TEST_GROUP(caller_server){};

// Guards against malformed input that is accepted, answered without a type, or not counted.
TEST(caller_server, malformed_input_is_answered_with_a_typed_error_and_counted)
{
    fake_decider core;
    auto settings = test_settings();
    settings.bounds.max_body_bytes = 1000;
    settings.bounds.max_header_bytes = 500;
    running_daemon instance(core, settings);
    const std::vector<rejected_input> table{
        {"\x01\x02\r\n\r\n", "400", "malformed_request"},
        {"GET / HTTP/9.9\r\n\r\n", "400", "malformed_request"},
        {"POST /v1/calls HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400", "malformed_request"},
        {"GET /v1/entry HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n", "400", "malformed_request"},
        {http_request("GET", "/nowhere"), "404", "not_found"},
        {http_request("PUT", "/v1/calls"), "404", "not_found"},
        {http_request("GET", "/v1/entry"), "400", "invalid_field"},
        {http_request("GET", "/v1/entry?customer=%zz"), "400", "malformed_request"},
        {http_request("GET", "/v1/generations/t?offset=-1"), "400", "invalid_field"},
        {http_request("POST", "/v1/generations", "{"), "400", "malformed_request"},
        {http_request("POST", "/v1/generations", R"({"customer":"c","service":"s","prompt":"p","x":1})"), "400",
         "unknown_field"},
        {http_request("POST", "/v1/generations", std::string(1001, ' ')), "413", "body_too_large"},
        {"POST /v1/calls HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, ' '), "413",
         "body_too_large"},
        {http_request("GET", "/v1/status"), "401", "unauthenticated"},
        {http_request("POST", "/v1/stop", "", "Authorization: Bearer wrong\r\n"), "401", "unauthenticated"},
        {http_request("GET", "/metrics"), "401", "unauthenticated"},
    };
    for (const rejected_input& row : table)
    {
        client caller(instance.port());
        caller.send(row.bytes);
        const std::string answer = caller.read_answer();
        CHECK_TRUE_TEXT(begins(answer, std::string("HTTP/1.1 ") + row.status), (row.bytes + answer).c_str());
        const json body = body_of(answer);
        CHECK_TRUE_TEXT(body.at("kind") == row.kind, answer.c_str());
        CHECK(body.at("outcome") == "not_run" && body.contains("remedy") && body.contains("message"));
    }
    CHECK_EQUAL(2, instance.metric(R"(parsleyshift_malformed_input_total{kind="body_too_large",source="caller"})"));
    CHECK_EQUAL(2, instance.metric(R"(parsleyshift_malformed_input_total{kind="not_found",source="caller"})"));
    CHECK_FALSE(core.has<generation_request>());
}

// Guards against a mistake in one request that ends the connection for the next, and against answers that are mixed up.
TEST(caller_server, a_connection_serves_one_request_after_the_other)
{
    fake_decider core(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* asked = std::get_if<call_request>(&what))
            {
                out.push_back(call_answer{asked->request, asked->payload});
            }
        });
    running_daemon instance(core);
    client caller(instance.port());
    caller.send(http_request("POST", "/v1/calls", "[]"));
    CHECK(begins(caller.read_answer(), "HTTP/1.1 400"));
    std::string pipelined;
    for (int i = 0; i < 20; ++i)
    {
        pipelined +=
            http_request("POST", "/v1/calls",
                         R"({"customer":"c","service":"s","operation":"o","payload":)" + std::to_string(i) + "}");
    }
    caller.send(pipelined);
    for (int i = 0; i < 20; ++i)
    {
        CHECK(body_of(caller.read_answer()) == json({{"outcome", "completed"}, {"result", i}}));
    }
}

// Guards against tokens that are lost, doubled or reordered when rings of one or a few elements fill up all the time.
TEST(caller_server, streams_keep_their_order_through_full_rings)
{
    for (const std::size_t capacity : {std::size_t{1}, std::size_t{3}, std::size_t{4096}})
    {
        fake_decider core(
            [](const event& what, std::vector<action>& out)
            {
                if (const auto* asked = std::get_if<generation_request>(&what))
                {
                    stream_numbers(asked->request, 3000, out);
                }
            });
        daemon_options options;
        options.ring_capacity = capacity;
        running_daemon instance(core, test_settings(), options);
        std::vector<std::unique_ptr<client>> callers;
        for (int i = 0; i < 5; ++i)
        {
            callers.push_back(std::make_unique<client>(instance.port()));
            callers.back()->send(http_request("POST", "/v1/generations", generation_body));
        }
        for (const auto& caller : callers)
        {
            expect_numbers(*caller, 3000);
        }
    }
}

// Guards against a slow caller that fills the memory, and against a stall that is never lifted.
TEST(caller_server, a_caller_that_does_not_read_stalls_its_stream_until_it_reads)
{
    int sent = 0;
    constexpr int total = 80'000;
    const auto send_some = [&sent](request_id request, int count, std::vector<action>& out)
    {
        for (int i = 0; i < count && sent < total; ++i, ++sent)
        {
            out.push_back(stream_tokens{request, sent, {numbered(sent)}});
        }
        if (sent == total)
        {
            out.push_back(stream_ended{request, total});
            ++sent;
        }
    };
    fake_decider core(
        [&](const event& what, std::vector<action>& out)
        {
            if (const auto* asked = std::get_if<generation_request>(&what))
            {
                out.push_back(stream_started{asked->request, "g", "c"});
                send_some(asked->request, 60'000, out);
            }
            else if (const auto* drained = std::get_if<caller_drained>(&what))
            {
                send_some(drained->request, total, out);
            }
        });
    auto settings = test_settings();
    // Far more than the kernel buffers between the two sockets, less than a sixteenth of the backlog that disconnects.
    settings.bounds.max_backlog_bytes = std::size_t{1024} * 1024;
    running_daemon instance(core, settings);
    client caller(instance.port(), 4096);
    caller.send(http_request("POST", "/v1/generations", generation_body));
    const auto stall = core.expect<caller_stalled>();
    CHECK_FALSE(core.has<caller_drained>());
    expect_numbers(caller, total);
    CHECK(core.expect<caller_drained>().request == stall.request);
}

// Guards against a request that runs on for a caller that has gone while nothing is written to it.
TEST(caller_server, a_caller_that_vanishes_is_noticed_while_its_stream_is_idle)
{
    fake_decider core(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* asked = std::get_if<generation_request>(&what))
            {
                out.push_back(stream_started{asked->request, "g", "c"});
            }
        });
    running_daemon instance(core);
    client caller(instance.port());
    caller.send(http_request("POST", "/v1/generations", generation_body));
    caller.read_chunk_head_of_stream();
    const auto asked = core.expect<generation_request>();
    caller.close();
    CHECK(core.expect<caller_disconnected>().request == asked.request);
    // Tokens for it are dropped without harm.
    instance.perform({stream_tokens{asked.request, 0, {"late"}}, stream_ended{asked.request, 1}});
    client next(instance.port());
    next.send(http_request("POST", "/v1/generations", generation_body));
    next.read_chunk_head_of_stream();
}

// Guards against connections that are held open by requests that never end.
TEST(caller_server, a_request_that_arrives_too_slowly_is_rejected)
{
    fake_decider core;
    auto settings = test_settings();
    settings.bounds.request_timeout = duration{40};
    running_daemon instance(core, settings);
    for (const std::string& part : {std::string("GET /v1/ent"), http_request("POST", "/v1/calls", "{}").substr(0, 59)})
    {
        client caller(instance.port());
        caller.send(part);
        const std::string answer = caller.read_all();
        CHECK(begins(answer, "HTTP/1.1 408"));
        CHECK(body_of(answer).at("kind") == "malformed_request");
    }
}

// Guards against a customer's requests that pass without its key, and against keys asked of customers without one.
TEST(caller_server, the_customers_key_is_checked_before_the_decision)
{
    fake_decider core(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* asked = std::get_if<key_request>(&what))
            {
                out.push_back(key_answer{asked->request, "k", at_ms(1), at_ms(2)});
            }
        });
    running_daemon instance(core);
    const auto ask = [&instance](const std::string& customer, const std::string& header)
    {
        client caller(instance.port());
        caller.send(
            http_request("POST", "/v1/orders/keys", R"({"customer":")" + customer + R"(","service":"s"})", header));
        return caller.read_answer();
    };
    CHECK(begins(ask("guarded", ""), "HTTP/1.1 401"));
    CHECK(begins(ask("guarded", "Authorization: Bearer wrong\r\n"), "HTTP/1.1 401"));
    CHECK_FALSE(core.has<key_request>());
    CHECK(begins(ask("guarded", "Authorization: Bearer secret\r\n"), "HTTP/1.1 200"));
    CHECK(begins(ask("guarded", "Authorization: secret\r\n"), "HTTP/1.1 200"));
    CHECK(begins(ask("open", ""), "HTTP/1.1 200"));
}

// Guards against operator calls that do not reach the decision core or lose their parameters.
TEST(caller_server, operator_calls_are_answered_by_the_decision_core)
{
    fake_decider core(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* asked = std::get_if<operator_query>(&what))
            {
                out.push_back(operator_answer{asked->request, R"({"view":")" + std::string(name_of(asked->what)) + ' ' +
                                                                  asked->customer.value() + ' ' +
                                                                  asked->service.value() + "\"}"});
            }
        });
    running_daemon instance(core);
    client caller(instance.port());
    for (const char* view : {"status", "records"})
    {
        caller.send(http_request("GET", std::string("/v1/") + view, "", operator_header));
        CHECK(body_of(caller.read_answer()).at("view") == std::string(view) + "  ");
    }
    caller.send(http_request("GET", "/v1/explain?customer=a%20b&service=s", "", operator_header));
    CHECK(body_of(caller.read_answer()).at("view") == "explain a b s");
}

// Guards against targets whose parameters are lost or not decoded.
TEST(caller_server, targets_become_events)
{
    fake_decider core(
        [](const event& what, std::vector<action>& out)
        {
            std::visit(
                [&out](const auto& each)
                {
                    if constexpr (requires { each.request; })
                    {
                        out.push_back(cancel_answer{each.request});
                    }
                },
                what);
        });
    running_daemon instance(core);
    client caller(instance.port());
    const auto ask = [&caller](const std::string& method, const std::string& target)
    {
        caller.send(http_request(method, target));
        caller.read_answer();
    };
    ask("GET", "/v1/entry?customer=c%2Fd&zone=z");
    const auto entry = core.expect<entry_query>();
    CHECK(entry.customer == customer_id{"c/d"} && entry.availability_zone == zone_id{"z"});
    ask("GET", "/v1/generations/a%2Bb?offset=12");
    const auto resume = core.expect<resume_request>();
    CHECK(resume.continuation == "a+b" && resume.offset == 12);
    ask("DELETE", "/v1/generations/token");
    CHECK(core.expect<cancel_request>().continuation == "token");
    ask("GET", "/v1/orders/key-1");
    CHECK(core.expect<order_query>().key == "key-1");
}

// Guards against answers that are lost when the process stops, and against a stop that does not end.
TEST(caller_server, answers_are_written_before_the_daemon_ends)
{
    fake_decider core;
    running_daemon instance(core);
    client caller(instance.port());
    caller.send(http_request("POST", "/v1/generations", generation_body));
    const auto asked = core.expect<generation_request>();
    std::vector<action> last;
    stream_numbers(asked.request, 2000, last);
    last.emplace_back(stop_complete{});
    instance.perform(std::move(last));
    expect_numbers(caller, 2000);
    CHECK(caller.read_all().empty());
}

// Guards against a crash by any bytes that a caller sends.
TEST(caller_server, arbitrary_bytes_never_stop_the_server)
{
    fake_decider core;
    running_daemon instance(core);
    check_property("arbitrary bytes",
                   [&instance](const std::string& bytes)
                   {
                       client caller(instance.port());
                       caller.send(*rc::gen::element("", "GET /v1/entry?customer=c HTTP/1.1\r\n", "POST ") + bytes);
                       caller.close();
                   });
    client caller(instance.port());
    caller.send(http_request("GET", "/nowhere"));
    CHECK(begins(caller.read_answer(), "HTTP/1.1 404"));
}
