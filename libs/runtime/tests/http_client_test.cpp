#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "loopback.hpp" // scripted_server

#include <parsleyshift/runtime/http_client.hpp> // http_client

#include <atomic>     // atomic
#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // make_shared
#include <optional>   // optional
#include <string>     // string
#include <thread>     // sleep_for
#include <utility>    // move

using namespace parsleyshift;
using namespace parsleyshift::literals;
using namespace parsleyshift::test_support;

namespace
{

const std::string part_of_a_response = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(300, 'x');
/// More than any limit below, so that only a limit can end the exchange.
constexpr int endless_repetitions = 10'000;

void send_endless_chunks(scripted_server::connection& to)
{
    to.begin_chunked();
    for (int each = 0; each < endless_repetitions; ++each)
    {
        to.send_chunk(std::string(1'000, 'x'));
    }
}

/// Sends one request to a server and returns the result.
http_result response_of(const scripted_server& server, http_call call)
{
    asio::io_context context{1};
    http_client_options options;
    options.sweep_interval = 10_ms;
    http_client client(context, options);
    std::optional<http_result> result;
    call.address = server.address();
    if (call.text.has_value())
    {
        call.text = request_text("GET", "/", call.address, {});
    }
    client.start(std::move(call),
                 [&](http_result received)
                 {
                     result.emplace(std::move(received));
                     context.stop();
                 });
    context.run_for(safety_timeout);
    return result ? *result : http_result{http_failure{attempt_failure::link_broken, "the exchange did not end"}};
}

/// Takes each response for one to another request.
class skipping_sink final : public exchange_sink
{
  public:
    explicit skipping_sink(std::function<void()> ended) : ended_(std::move(ended)) {}

    std::optional<attempt_failure> failure;

  private:
    head_verdict on_head(const response_head& /*head*/, bool /*reused_connection*/) override
    {
        return head_verdict::skip;
    }
    bool on_body(std::string& /*body*/) override
    {
        return false;
    }
    void on_done(std::string& /*body*/, answer_end /*end*/) override
    {
        ended_();
    }
    void on_failed(attempt_failure reason, std::string /*message*/) override
    {
        failure = reason;
        ended_();
    }

    std::function<void()> ended_;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_client){};

// Guards against a silent server that holds an exchange for as long as a response may take to arrive.
TEST(http_client, fails_when_no_response_begins_by_the_start_deadline)
{
    const scripted_server server(
        [](scripted_server::connection& from)
        {
            while (from.request())
            {
            }
        });
    http_call call;
    call.start_deadline = millisecond_clock::now() + 20_ms;
    const http_result result = response_of(server, call);
    CHECK(contains(result.error().message, "start deadline"));
    LONGS_EQUAL(0, result.error().received_bytes);
}

// Guards against a response that stops midway and holds the exchange, and against a failure that does not tell how much
// arrived.
TEST(http_client, fails_when_a_response_stalls)
{
    const scripted_server server(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(part_of_a_response);
            from.request();
        });
    http_call call;
    call.stall_timeout = 20_ms;
    const http_result result = response_of(server, call);
    CHECK(contains(result.error().message, "silence timeout"));
    LONGS_EQUAL(300, result.error().received_bytes);
}

// Guards against a server in trouble whose response header never ends.
TEST(http_client, ends_a_header_without_end)
{
    const scripted_server server(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 200 OK\r\n");
            for (int each = 0; each < endless_repetitions; ++each)
            {
                from.send("X: " + std::string(1'000, 'x') + "\r\n");
            }
        });
    const http_result result = response_of(server, {});
    CHECK(result.error().failure == attempt_failure::endpoint_error);
}

// Guards against a server in trouble that sends bytes which are no response, without end.
TEST(http_client, ends_bytes_that_are_no_response)
{
    const scripted_server server(
        [](scripted_server::connection& from)
        {
            from.request();
            for (int each = 0; each < endless_repetitions; ++each)
            {
                from.send(std::string(1'000, '#'));
            }
        });
    const http_result result = response_of(server, {});
    CHECK(result.error().failure == attempt_failure::endpoint_error);
}

// Guards against a server in trouble whose response body never ends.
TEST(http_client, ends_a_body_without_end)
{
    const scripted_server server(
        [](scripted_server::connection& from)
        {
            from.request();
            send_endless_chunks(from);
        });
    http_call call;
    constexpr std::size_t limit = 50'000;
    call.body_limit = limit;
    const http_result result = response_of(server, call);
    CHECK(result.has_error());
    CHECK(result.error().received_bytes <= limit);
}

// Guards against a response to another request that never ends and is read for as long as the own one may take.
TEST(http_client, ends_a_response_to_another_request_without_end)
{
    const scripted_server server(
        [](scripted_server::connection& from)
        {
            from.request();
            send_endless_chunks(from);
            from.request();
        });
    asio::io_context context{1};
    http_client client(context, {});
    const auto sink = std::make_shared<skipping_sink>([&context] { context.stop(); });
    http_call call;
    call.address = server.address();
    call.text = request_text("GET", "/", call.address, {});
    client.start(std::move(call), sink);
    context.run_for(safety_timeout);
    CHECK(sink->failure == attempt_failure::endpoint_error);
}

// Guards against a response whose end is not certain: the rest of it would be taken for the next response.
TEST(http_client, fails_on_a_response_whose_body_has_no_certain_end)
{
    for (const std::string framing :
         {"Transfer-Encoding: gzip\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n",
          "Transfer-Encoding: chunked\r\n\r\n1 \r\nx\r\n0\r\n", "Content-Length: 2\r\nX: y\r\n z\r\n"})
    {
        bool closed = false;
        {
            const scripted_server server(
                [&](scripted_server::connection& from)
                {
                    from.request();
                    from.send("HTTP/1.1 200 OK\r\n" + framing + "\r\nok");
                    closed = !from.request();
                });
            const http_result result = response_of(server, {});
            CHECK_TEXT(result.has_error(), framing.c_str());
            CHECK(result.error().failure == attempt_failure::endpoint_error);
        }
        CHECK_TEXT(closed, framing.c_str());
    }
}

// Guards against a response with a status of no class (RFC 9110, section 15), which passed for a response of its
// server.
TEST(http_client, fails_on_a_response_with_an_invalid_status)
{
    for (const std::string status : {"000", "001", "099", "600", "999"})
    {
        bool closed = false;
        {
            const scripted_server server(
                [&](scripted_server::connection& from)
                {
                    from.request();
                    from.send(http_ok("ok", status + " OK"));
                    closed = !from.request();
                });
            const http_result result = response_of(server, {});
            CHECK_TEXT(result.has_error(), status.c_str());
            CHECK(result.error().failure == attempt_failure::endpoint_error);
        }
        CHECK_TEXT(closed, status.c_str());
    }
}

// Guards against an interim response (1xx) that passes for the response of a request, whose final one is then lost or
// taken for that of the next request.
TEST(http_client, waits_for_the_final_response_after_interim_ones)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n";
    for (const bool separately : {false, true})
    {
        const scripted_server server(
            [&](scripted_server::connection& from)
            {
                from.request();
                from.send(separately ? interim : interim + http_ok("ok"));
                if (separately)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds{20});
                    from.send(http_ok("ok"));
                }
                from.request();
            });
        const http_result result = response_of(server, {});
        CHECK(result.has_value());
        LONGS_EQUAL(200, result.value().status);
        STRCMP_EQUAL("ok", result.value().body.c_str());
        CHECK(result.value().head["X"].empty());
    }
}

// Guards against interim responses without end, and against one that is the last, which leave a request without a
// result or complete.
TEST(http_client, fails_without_a_final_response)
{
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const auto failure_after = [](const std::string& response, int repetitions)
    {
        const scripted_server server(
            [&](scripted_server::connection& from)
            {
                from.request();
                for (int each = 0; each < repetitions; ++each)
                {
                    from.send(response);
                }
            });
        const http_result result = response_of(server, {});
        CHECK_TEXT(result.has_error(), response.c_str());
        return result.error().failure;
    };
    CHECK(failure_after(interim, endless_repetitions) == attempt_failure::endpoint_error);
    CHECK(failure_after(interim, 1) == attempt_failure::link_broken);
    CHECK(failure_after("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", 1) ==
          attempt_failure::endpoint_error);
}

// Guards against a request whose head cannot be written and that is sent all the same, or that counts as possibly run.
TEST(http_client, sends_nothing_of_a_request_with_an_invalid_head)
{
    std::atomic<int> connections = 0;
    const scripted_server server(
        [&connections](scripted_server::connection& from)
        {
            ++connections;
            from.request();
        });
    for (const std::string target : {"/x HTTP/1.1\r\nX: y\r\n\r\n", "/x\n", ""})
    {
        http_call call;
        call.text = request_text("GET", target, server.address(), {});
        const http_result result = response_of(server, std::move(call));
        CHECK(result.error().failure == attempt_failure::invalid_head);
        CHECK(proves_not_run(result.error().failure));
    }
    LONGS_EQUAL(0, connections.load());
}
