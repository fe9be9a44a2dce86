#include <parsleyshift/test_support/property.hpp> // check_property

#include "loopback.hpp" // running_daemon, scripted_server

#include <nlohmann/json.hpp> // json

#include <future> // promise

using namespace parsleyshift;
using namespace parsleyshift::test_support;
using nlohmann::json;

namespace
{

const std::string not_started = R"({"not_started":true})";

start_generation generation(std::uint64_t attempt, const std::string& address)
{
    start_generation start;
    start.attempt = attempt_id{attempt};
    start.address = address;
    start.model = model_id{"m"};
    start.prompt = "prompt";
    start.max_tokens = 9;
    return start;
}

start_call call(std::uint64_t attempt, const std::string& address)
{
    start_call start;
    start.attempt = attempt_id{attempt};
    start.address = address;
    start.operation = "o";
    start.payload = "{}";
    return start;
}

std::string token_line_text(int offset, const std::vector<std::string>& tokens)
{
    return json{{"offset", offset}, {"tokens", tokens}}.dump() + "\n";
}

bool starts_with(const std::string& text, const std::string& head)
{
    return text.substr(0, head.size()) == head;
}

/// Collects tokens until the attempt ends. Checks that the events are contiguous.
std::vector<std::string> collect_tokens(fake_decider& decider, std::int64_t& count)
{
    std::vector<std::string> all;
    while (true)
    {
        auto next = decider.expect_any<attempt_tokens, attempt_ended>();
        if (const auto* ended = std::get_if<attempt_ended>(&next))
        {
            count = ended->count;
            return all;
        }
        const auto& tokens = std::get<attempt_tokens>(next);
        CHECK_EQUAL(static_cast<std::int64_t>(all.size()), tokens.offset);
        all.insert(all.end(), tokens.tokens.begin(), tokens.tokens.end());
    }
}

struct failing_response
{
    std::string response;
    bool resume;
    attempt_failure expected;
};

} // namespace

TEST_GROUP(endpoint_client){};

// Guards against tokens that are lost or reordered when lines are split across chunks or the rings are full.
TEST(endpoint_client, lines_become_tokens_in_order)
{
    for (const std::size_t capacity : {std::size_t{1}, std::size_t{4096}})
    {
        constexpr int total = 3000;
        std::string request;
        scripted_server engine(
            [&request](scripted_server::connection& connection)
            {
                request = connection.request().value();
                std::string text;
                for (int i = 0; i < total; i += 2)
                {
                    text += token_line_text(i, {std::to_string(i), std::to_string(i + 1)});
                }
                text += "{\"end\":true,\"count\":3000}\n";
                connection.begin_chunked();
                // Chunk sizes modulo a prime split the lines at many different positions.
                for (std::size_t at = 0, size = 1; at < text.size(); at += size, size = size * 7 % 1009)
                {
                    connection.send_chunk(text.substr(at, size));
                }
                connection.end_chunked();
                connection.request();
            });
        fake_decider decider;
        daemon_options options;
        options.ring_capacity = capacity;
        running_daemon instance(decider, test_settings(), options);
        instance.perform({generation(5, engine.address())});
        CHECK(decider.expect<attempt_started>().attempt == attempt_id{5});
        std::int64_t count = 0;
        const auto tokens = collect_tokens(decider, count);
        CHECK_EQUAL(total, count);
        CHECK_EQUAL(total, static_cast<int>(tokens.size()));
        for (int i = 0; i < total; ++i)
        {
            CHECK(tokens[i] == std::to_string(i));
        }
        CHECK(starts_with(request, "POST /generate HTTP/1.1\r\n"));
        CHECK(json::parse(request.substr(request.find("\r\n\r\n") + 4)).at("attempt") == 5);
    }
}

// Guards against a wrong failure kind for an incomplete or unsuccessful response: it decides whether the attempt may be
// repeated.
TEST(endpoint_client, incomplete_responses_are_reported_with_their_failure_kind)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<failing_response> table{
        {http_ok(not_started, "503 Busy"), false, attempt_failure::not_started},
        {http_ok(R"({"not_started":true,"leaving":true})", "503 Busy"), false, attempt_failure::leaving},
        {http_ok("{}", "503 Busy"), false, attempt_failure::endpoint_error},
        {http_ok(not_started, "500 Broken"), false, attempt_failure::endpoint_error},
        {http_ok("", "404 Not Found"), true, attempt_failure::attempt_unknown},
        {http_ok("", "404 Not Found"), false, attempt_failure::endpoint_error},
        {"", false, attempt_failure::link_broken},
        {"HTTP/1.1 2", false, attempt_failure::link_broken},
        {"nonsense\r\n\r\n", false, attempt_failure::endpoint_error},
        {"HTTP/1.1 200 OK\r\nX: " + std::string(5000, 'x'), false, attempt_failure::endpoint_error},
        {chunked, false, attempt_failure::link_broken},
        {chunked + "2\r\n{}", false, attempt_failure::link_broken},
        {chunked + "3\r\n{}\n\r\n", false, attempt_failure::endpoint_error},
        {chunked + "0\r\n\r\n", false, attempt_failure::link_broken},
        {chunked + "12\r\n{\"error\":\"memory\"}\r\n0\r\n\r\n", false, attempt_failure::endpoint_error},
    };
    for (const failing_response& row : table)
    {
        scripted_server engine(
            [&row](scripted_server::connection& connection)
            {
                connection.request();
                connection.send(row.response);
            });
        fake_decider decider;
        running_daemon instance(decider);
        if (row.resume)
        {
            instance.perform({resume_generation{attempt_id{3}, endpoint_id{"e"}, engine.address(), 4}});
        }
        else
        {
            instance.perform({generation(3, engine.address())});
        }
        const auto failed = decider.expect<attempt_failed>();
        CHECK_TRUE_TEXT(failed.failure == row.expected,
                        (row.response.substr(0, 60) + " gave " + std::string(name_of(failed.failure))).c_str());
    }
}

// Guards against tokens that are lost when the connection breaks after them (they may have been delivered to the caller
// already), and against a resume at the wrong offset.
TEST(endpoint_client, tokens_before_a_broken_connection_are_kept_and_the_attempt_resumes)
{
    std::string resumed;
    scripted_server engine(
        [&resumed](scripted_server::connection& connection)
        {
            const auto request = connection.request();
            connection.begin_chunked();
            if (starts_with(*request, "POST"))
            {
                connection.send_chunk(token_line_text(0, {"a", "b"}) + "{\"off");
                return;
            }
            resumed = *request;
            connection.send_chunk(token_line_text(2, {"c"}) + "{\"end\":true,\"count\":3}\n");
            connection.end_chunked();
        });
    fake_decider decider;
    running_daemon instance(decider);
    instance.perform({generation(1, engine.address())});
    const auto first = decider.expect<attempt_tokens>();
    CHECK((first.tokens == token_list{"a", "b"}));
    CHECK(decider.expect<attempt_failed>().failure == attempt_failure::link_broken);
    instance.perform({resume_generation{attempt_id{1}, endpoint_id{"e"}, engine.address(), 2}});
    const auto second = decider.expect<attempt_tokens>();
    CHECK(second.offset == 2 && second.tokens == token_list{"c"});
    CHECK_EQUAL(3, decider.expect<attempt_ended>().count);
    CHECK(starts_with(resumed, "GET /generations/1?offset=2 HTTP/1.1\r\n"));
}

// Guards against a refused connection that is reported as an attempt that may have run.
TEST(endpoint_client, a_refused_connection_is_reported_as_connect_failed)
{
    fake_decider decider;
    running_daemon instance(decider);
    for (const std::string& address : {refused_address(), std::string("no address")})
    {
        instance.perform({generation(1, address)});
        CHECK(decider.expect<attempt_failed>().failure == attempt_failure::connect_failed);
        auto order = call(2, address);
        order.key = "k";
        instance.perform({order});
        CHECK(decider.expect<attempt_failed>().failure == attempt_failure::connect_failed);
    }
}

// Guards against a call that is sent after its send deadline: the service must receive only the call in time.
TEST(endpoint_client, nothing_is_sent_after_the_send_deadline)
{
    std::vector<std::string> received;
    scripted_server service(
        [&received](scripted_server::connection& connection)
        {
            while (const auto request = connection.request())
            {
                received.push_back(*request);
                connection.send(http_ok(R"({"result":1})"));
            }
        });
    fake_decider decider;
    running_daemon instance(decider);
    auto late = call(1, service.address());
    late.send_deadline = millisecond_clock::now() - duration{1};
    instance.perform({late});
    const auto failed = decider.expect<attempt_failed>();
    CHECK(failed.attempt == attempt_id{1} && failed.failure == attempt_failure::deadline_passed);
    auto in_time = call(2, service.address());
    in_time.send_deadline = millisecond_clock::now() + duration{safety_timeout};
    instance.perform({in_time});
    const auto answered = decider.expect<call_answered>();
    CHECK(answered.attempt == attempt_id{2} && answered.result == "1");
    CHECK_EQUAL(1, static_cast<int>(received.size()));
    const json body = json::parse(received[0].substr(received[0].find("\r\n\r\n") + 4));
    CHECK(body.at("attempt") == 2 && body.at("not_after_ms") == to_ms(in_time.send_deadline));
}

// Guards against calls without an order key that open a connection each. Calls with an order key need a new connection,
// because the service may close an idle one while the request is written; that is not checked here.
TEST(endpoint_client, calls_without_an_order_key_reuse_connections)
{
    std::atomic<int> connections = 0;
    scripted_server service(
        [&connections](scripted_server::connection& connection)
        {
            ++connections;
            while (connection.request())
            {
                connection.send(http_ok(R"({"result":{"x":[1.0]}})"));
            }
        });
    fake_decider decider;
    running_daemon instance(decider);
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        instance.perform({call(i, service.address())});
        CHECK(decider.expect<call_answered>().result == R"({"x":[1.0]})");
    }
    CHECK_EQUAL(1, connections.load());
}

// Guards against an attempt that never ends because its connection stalls, or because the response comes too late.
TEST(endpoint_client, silence_and_late_responses_fail_with_link_broken)
{
    std::promise<void> end;
    const std::shared_future<void> ended = end.get_future().share();
    scripted_server engine(
        [ended](scripted_server::connection& connection)
        {
            connection.request();
            connection.begin_chunked();
            connection.send_chunk(token_line_text(0, {"a"}));
            connection.request();
        });
    fake_decider decider;
    daemon_options options;
    options.silence_timeout = duration{150};
    running_daemon instance(decider, test_settings(), options);
    instance.perform({generation(1, engine.address())});
    CHECK(decider.expect<attempt_tokens>().tokens == token_list{"a"});
    CHECK(decider.expect<attempt_failed>().failure == attempt_failure::link_broken);
    auto late = call(2, engine.address());
    late.response_deadline = millisecond_clock::now() + duration{50};
    instance.perform({late});
    const auto failed = decider.expect<attempt_failed>();
    CHECK(failed.attempt == attempt_id{2} && failed.failure == attempt_failure::link_broken);
}

// Guards against events of a cancelled attempt, and against an engine that continues to run it.
TEST(endpoint_client, cancelling_ends_the_attempt_and_notifies_the_engine)
{
    std::promise<std::string> cancelled;
    scripted_server engine(
        [&cancelled](scripted_server::connection& connection)
        {
            const auto request = connection.request();
            if (starts_with(*request, "DELETE"))
            {
                connection.send(http_ok("{}"));
                cancelled.set_value(*request);
                return;
            }
            connection.begin_chunked();
            connection.send_chunk(token_line_text(0, {"a"}));
            connection.request();
        });
    fake_decider decider;
    running_daemon instance(decider);
    instance.perform({generation(8, engine.address())});
    decider.expect<attempt_tokens>();
    instance.perform({cancel_attempt{attempt_id{8}, endpoint_id{"e"}, engine.address()}});
    auto notified = cancelled.get_future();
    CHECK(notified.wait_for(safety_timeout) == std::future_status::ready);
    CHECK(starts_with(notified.get(), "DELETE /generations/8 HTTP/1.1\r\n"));
    instance.stop();
    CHECK_FALSE(decider.take_if_recorded<attempt_failed>());
}

// Guards against reading the response of a paused attempt, and against a pause that never ends.
TEST(endpoint_client, a_paused_attempt_is_not_read_until_it_is_resumed)
{
    // More than the socket buffers hold, so that the engine cannot finish sending while the attempt is paused.
    constexpr int total = 400'000;
    std::atomic<bool> all_sent = false;
    scripted_server engine(
        [&all_sent](scripted_server::connection& connection)
        {
            connection.request();
            connection.begin_chunked();
            for (int i = 0; i < total; i += 1000)
            {
                std::string text;
                for (int j = i; j < i + 1000; ++j)
                {
                    text += token_line_text(j, {"0123456789"});
                }
                connection.send_chunk(text);
            }
            all_sent = true;
            connection.send_chunk("{\"end\":true,\"count\":" + std::to_string(total) + "}\n");
            connection.end_chunked();
        });
    fake_decider decider;
    running_daemon instance(decider);
    instance.perform({generation(1, engine.address()), set_attempt_reading{attempt_id{1}, false}});
    // The failure of a later action on the same I/O thread shows that the pause has taken effect.
    instance.perform({generation(2, refused_address())});
    CHECK(decider.expect<attempt_failed>().attempt == attempt_id{2});
    CHECK_FALSE(decider.take_if_recorded<attempt_tokens>());
    CHECK_FALSE(all_sent);
    instance.perform({set_attempt_reading{attempt_id{1}, true}});
    std::int64_t count = 0;
    CHECK_EQUAL(total, static_cast<int>(collect_tokens(decider, count).size()));
    CHECK_EQUAL(total, count);
}

// Guards against load reports that are not emitted, cache events that are emitted twice, and placement orders whose
// order_result is lost.
TEST(endpoint_client, load_reports_cache_events_and_order_verdicts_are_emitted)
{
    std::atomic<bool> broken = false;
    scripted_server engine(
        [&broken](scripted_server::connection& connection)
        {
            while (const auto request = connection.request())
            {
                if (starts_with(*request, "GET /load "))
                {
                    connection.send(http_ok(broken ? "{" : R"({"as_of_ms":5,"running":1,"waiting":2,"slots":3})"));
                }
                else if (starts_with(*request, "GET /cache-events?after=0 "))
                {
                    connection.send(http_ok(R"({"events":[{"sequence":6,"prefix":7,"cached":true}],"next":7})"));
                }
                else if (starts_with(*request, "GET /cache-events?after=7 "))
                {
                    connection.send(http_ok(R"({"events":[],"next":7})"));
                    broken = true;
                }
                else
                {
                    connection.send(http_ok(R"({"accepted":false,"fence":12})", "409 Conflict"));
                }
            }
        });
    auto settings = test_settings();
    settings.intervals.load_report = duration{5};
    fake_decider decider;
    running_daemon instance(decider, settings);
    instance.perform({watch_endpoint{endpoint_id{"e"}, engine.address(), true, true}});
    const auto load = decider.expect<load_reported>();
    CHECK(load.report.endpoint == endpoint_id{"e"} && load.report.slots == 3);
    const auto cache = decider.expect<cache_reported>();
    CHECK(cache.events.size() == 1 && cache.events.front().prefix == 7);
    CHECK(decider.expect<load_unavailable>().endpoint == endpoint_id{"e"});
    CHECK_FALSE(decider.take_if_recorded<cache_reported>());
    instance.perform({watch_endpoint{endpoint_id{"e"}, engine.address(), true, false}});
    const placement_order order{endpoint_id{"e"}, placement_action::load_model, model_id{"m"}, "", "", "",
                                fencing_number{3}};
    instance.perform({send_placement_order{engine.address(), order}});
    const auto order_result = decider.expect<placement_answered>();
    CHECK(order_result.order == order && !order_result.accepted && order_result.fence == fencing_number{12});
}
