#include <parsleyshift/test_support/property.hpp> // check_property

#include "loopback.hpp" // running_daemon, client

#include <nlohmann/json.hpp> // json

using namespace parsleyshift;
using namespace parsleyshift::test_support;
using nlohmann::json;

namespace
{

const std::string generation_body = R"({"customer":"c","service":"s","prompt":"p"})";

json body_of(const std::string& response)
{
    return json::parse(response.substr(response.find("\r\n\r\n") + 4));
}

bool starts_with(const std::string& text, const std::string& head)
{
    return text.substr(0, head.size()) == head;
}

/// Text of the token at an offset: 100 bytes, so that few tokens fill the socket buffers.
std::string token_text(int offset)
{
    std::string text = std::to_string(offset);
    return std::string(100 - text.size(), '0') + text;
}

/// Appends a stream of `count` tokens in messages of up to three.
void append_token_stream(request_id request, int count, std::vector<action>& out)
{
    out.push_back(stream_started{request, "g", "continuation"});
    for (int offset = 0; offset < count;)
    {
        const int size = std::min(1 + offset % 3, count - offset);
        stream_tokens message{request, offset, {}};
        for (int i = 0; i < size; ++i)
        {
            message.tokens.push_back(token_text(offset + i));
        }
        out.push_back(message);
        offset += size;
    }
    out.push_back(stream_ended{request, count});
}

/// Reads a whole response and checks that it contains the events of append_token_stream().
void expect_token_stream(client& caller, int count)
{
    CHECK(starts_with(caller.read_until("\r\n\r\n"), "HTTP/1.1 200 OK"));
    std::string events;
    for (std::string chunk = caller.read_chunk(); !chunk.empty(); chunk = caller.read_chunk())
    {
        events += chunk;
    }
    CHECK(starts_with(events, "event: start\n"));
    int next = 0;
    std::size_t at = 0;
    while ((at = events.find("event: tokens\ndata: ", at)) != std::string::npos)
    {
        // Skips the 20 bytes that were found.
        at += 20;
        const json data = json::parse(events.substr(at, events.find('\n', at) - at));
        CHECK_EQUAL(next, data.at("offset").get<int>());
        for (const auto& token : data.at("tokens"))
        {
            CHECK(token.get<std::string>() == token_text(next));
            ++next;
        }
    }
    CHECK_EQUAL(count, next);
    const auto end = events.find("event: end\ndata: ");
    CHECK(end != std::string::npos);
    // "event: end\ndata: " has 17 bytes.
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

// Guards against malformed input that is accepted, rejected without an error kind, or not counted.
TEST(caller_server, malformed_input_is_rejected_with_an_error_kind_and_counted)
{
    fake_decider decider;
    auto settings = test_settings();
    settings.bounds.max_body_bytes = 1000;
    settings.bounds.max_header_bytes = 500;
    running_daemon instance(decider, settings);
    const std::vector<rejected_input> table{
        {"\x01\x02\r\n\r\n", "400", "malformed_request"},
        {"GET / HTTP/9.9\r\n\r\n", "400", "malformed_request"},
        {"POST /v1/calls HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400", "malformed_request"},
        // The status follows from the error kind, so that a header over the limit gets 400 and not 431.
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
        // 3e9 is the chunk size 1001 in hexadecimal.
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
        const std::string response = caller.read_answer();
        CHECK_TRUE_TEXT(starts_with(response, std::string("HTTP/1.1 ") + row.status), (row.bytes + response).c_str());
        const json body = body_of(response);
        CHECK_TRUE_TEXT(body.at("kind") == row.kind, response.c_str());
        CHECK(body.at("outcome") == "not_run" && body.contains("remedy") && body.contains("message"));
    }
    CHECK_EQUAL(2, instance.metric(R"(parsleyshift_malformed_input_total{kind="body_too_large",source="caller"})"));
    CHECK_EQUAL(2, instance.metric(R"(parsleyshift_malformed_input_total{kind="not_found",source="caller"})"));
    CHECK_FALSE(decider.take_if_recorded<generation_request>());
}

// Guards against an invalid request that closes the connection for later ones, and against pipelined responses in the
// wrong order.
TEST(caller_server, pipelined_requests_are_answered_in_order)
{
    fake_decider decider(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* request = std::get_if<call_request>(&what))
            {
                out.push_back(call_answer{request->request, request->payload});
            }
        });
    running_daemon instance(decider);
    client caller(instance.port());
    caller.send(http_request("POST", "/v1/calls", "[]"));
    CHECK(starts_with(caller.read_answer(), "HTTP/1.1 400"));
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

// Guards against tokens that are lost, duplicated or reordered when a ring is full: rings of one and three elements
// overflow all the time.
TEST(caller_server, streams_stay_in_order_when_rings_are_full)
{
    for (const std::size_t capacity : {std::size_t{1}, std::size_t{3}, std::size_t{4096}})
    {
        fake_decider decider(
            [](const event& what, std::vector<action>& out)
            {
                if (const auto* request = std::get_if<generation_request>(&what))
                {
                    append_token_stream(request->request, 3000, out);
                }
            });
        daemon_options options;
        options.ring_capacity = capacity;
        running_daemon instance(decider, test_settings(), options);
        std::vector<std::unique_ptr<client>> callers;
        for (int i = 0; i < 5; ++i)
        {
            callers.push_back(std::make_unique<client>(instance.port()));
            callers.back()->send(http_request("POST", "/v1/generations", generation_body));
        }
        for (const auto& caller : callers)
        {
            expect_token_stream(*caller, 3000);
        }
    }
}

// Guards against unbounded memory for a caller that does not read, and against a stall that never ends.
TEST(caller_server, a_stream_stalls_while_its_caller_does_not_read)
{
    int sent = 0;
    constexpr int total = 80'000;
    const auto send_some = [&sent](request_id request, int count, std::vector<action>& out)
    {
        for (int i = 0; i < count && sent < total; ++i, ++sent)
        {
            out.push_back(stream_tokens{request, sent, {token_text(sent)}});
        }
        if (sent == total)
        {
            out.push_back(stream_ended{request, total});
            ++sent;
        }
    };
    fake_decider decider(
        [&](const event& what, std::vector<action>& out)
        {
            if (const auto* request = std::get_if<generation_request>(&what))
            {
                out.push_back(stream_started{request->request, "g", "c"});
                send_some(request->request, 60'000, out);
            }
            else if (const auto* drained = std::get_if<caller_drained>(&what))
            {
                send_some(drained->request, total, out);
            }
        });
    auto settings = test_settings();
    // Far more than the socket buffers hold; the whole stream stays below 16 times this size, which would disconnect.
    settings.bounds.max_backlog_bytes = std::size_t{1024} * 1024;
    running_daemon instance(decider, settings);
    client caller(instance.port(), 4096);
    caller.send(http_request("POST", "/v1/generations", generation_body));
    const auto stall = decider.expect<caller_stalled>();
    CHECK_FALSE(decider.take_if_recorded<caller_drained>());
    expect_token_stream(caller, total);
    CHECK(decider.expect<caller_drained>().request == stall.request);
}

// Guards against a request that stays active after its caller has disconnected: with no tokens to write, only a read
// detects it.
TEST(caller_server, a_disconnect_is_detected_while_the_stream_is_idle)
{
    fake_decider decider(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* request = std::get_if<generation_request>(&what))
            {
                out.push_back(stream_started{request->request, "g", "c"});
            }
        });
    running_daemon instance(decider);
    client caller(instance.port());
    caller.send(http_request("POST", "/v1/generations", generation_body));
    caller.skip_header_and_first_chunk();
    const auto request = decider.expect<generation_request>();
    caller.close();
    CHECK(decider.expect<caller_disconnected>().request == request.request);
    // Tokens for the ended request are ignored.
    instance.perform({stream_tokens{request.request, 0, {"late"}}, stream_ended{request.request, 1}});
    client next(instance.port());
    next.send(http_request("POST", "/v1/generations", generation_body));
    next.skip_header_and_first_chunk();
}

// Guards against connections held open by a request whose header or body is never completed.
TEST(caller_server, a_request_not_received_in_time_is_rejected)
{
    fake_decider decider;
    auto settings = test_settings();
    settings.bounds.request_timeout = duration{40};
    running_daemon instance(decider, settings);
    // 59 bytes of the second request end after the first byte of its body.
    for (const std::string& part : {std::string("GET /v1/ent"), http_request("POST", "/v1/calls", "{}").substr(0, 59)})
    {
        client caller(instance.port());
        caller.send(part);
        const std::string response = caller.read_all();
        CHECK(starts_with(response, "HTTP/1.1 408"));
        CHECK(body_of(response).at("kind") == "malformed_request");
    }
}

// Guards against requests that are accepted without the customer's key, and against a key required of a customer that
// has none.
TEST(caller_server, the_customers_key_is_checked_before_the_request_reaches_the_decider)
{
    fake_decider decider(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* request = std::get_if<key_request>(&what))
            {
                out.push_back(key_answer{request->request, "k", at_ms(1), at_ms(2)});
            }
        });
    running_daemon instance(decider);
    const auto send_request = [&instance](const std::string& customer, const std::string& header)
    {
        client caller(instance.port());
        caller.send(
            http_request("POST", "/v1/orders/keys", R"({"customer":")" + customer + R"(","service":"s"})", header));
        return caller.read_answer();
    };
    CHECK(starts_with(send_request("guarded", ""), "HTTP/1.1 401"));
    CHECK(starts_with(send_request("guarded", "Authorization: Bearer wrong\r\n"), "HTTP/1.1 401"));
    CHECK_FALSE(decider.take_if_recorded<key_request>());
    CHECK(starts_with(send_request("guarded", "Authorization: Bearer secret\r\n"), "HTTP/1.1 200"));
    CHECK(starts_with(send_request("guarded", "Authorization: secret\r\n"), "HTTP/1.1 200"));
    CHECK(starts_with(send_request("open", ""), "HTTP/1.1 200"));
}

// Guards against operator calls that are not passed to the decider or lose their parameters.
TEST(caller_server, operator_calls_are_answered_by_the_decider)
{
    fake_decider decider(
        [](const event& what, std::vector<action>& out)
        {
            if (const auto* request = std::get_if<operator_query>(&what))
            {
                out.push_back(operator_answer{request->request, R"({"view":")" + std::string(name_of(request->what)) +
                                                                    ' ' + request->customer.value() + ' ' +
                                                                    request->service.value() + "\"}"});
            }
        });
    running_daemon instance(decider);
    client caller(instance.port());
    for (const char* view : {"status", "records"})
    {
        caller.send(http_request("GET", std::string("/v1/") + view, "", operator_header));
        CHECK(body_of(caller.read_answer()).at("view") == std::string(view) + "  ");
    }
    caller.send(http_request("GET", "/v1/explain?customer=a%20b&service=s", "", operator_header));
    CHECK(body_of(caller.read_answer()).at("view") == "explain a b s");
}

// Guards against request targets whose path or query parameters are lost or not percent-decoded.
TEST(caller_server, request_targets_are_converted_to_events)
{
    fake_decider decider(
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
    running_daemon instance(decider);
    client caller(instance.port());
    const auto send_request = [&caller](const std::string& method, const std::string& target)
    {
        caller.send(http_request(method, target));
        caller.read_answer();
    };
    send_request("GET", "/v1/entry?customer=c%2Fd&zone=z");
    const auto entry = decider.expect<entry_query>();
    CHECK(entry.customer == customer_id{"c/d"} && entry.availability_zone == zone_id{"z"});
    send_request("GET", "/v1/generations/a%2Bb?offset=12");
    const auto resume = decider.expect<resume_request>();
    CHECK(resume.continuation == "a+b" && resume.offset == 12);
    send_request("DELETE", "/v1/generations/token");
    CHECK(decider.expect<cancel_request>().continuation == "token");
    send_request("GET", "/v1/orders/key-1");
    CHECK(decider.expect<order_query>().key == "key-1");
}

// Guards against responses that are lost when the daemon stops, and against a stop that hangs.
TEST(caller_server, responses_are_written_before_the_daemon_stops)
{
    fake_decider decider;
    running_daemon instance(decider);
    client caller(instance.port());
    caller.send(http_request("POST", "/v1/generations", generation_body));
    const auto request = decider.expect<generation_request>();
    std::vector<action> last;
    append_token_stream(request.request, 2000, last);
    last.emplace_back(stop_complete{});
    instance.perform(std::move(last));
    expect_token_stream(caller, 2000);
    CHECK(caller.read_all().empty());
}

// Guards against crashes on arbitrary input from a caller.
TEST(caller_server, the_server_survives_arbitrary_input)
{
    fake_decider decider;
    running_daemon instance(decider);
    check_property("arbitrary bytes",
                   [&instance](const std::string& bytes)
                   {
                       client caller(instance.port());
                       caller.send(*rc::gen::element("", "GET /v1/entry?customer=c HTTP/1.1\r\n", "POST ") + bytes);
                       caller.close();
                   });
    client caller(instance.port());
    caller.send(http_request("GET", "/nowhere"));
    CHECK(starts_with(caller.read_answer(), "HTTP/1.1 404"));
}
