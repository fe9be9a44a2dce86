#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "loopback.hpp" // client

#include <parsleyshift/runtime/http_server.hpp> // http_server

#include <functional> // function
#include <future>     // promise
#include <string>     // string
#include <thread>     // thread
#include <utility>    // exchange, move

using namespace parsleyshift;
using namespace parsleyshift::test_support;

namespace
{

/// Largest answer that an instance passes on, more than the buffers of two sockets hold.
constexpr std::size_t large_size = std::size_t{8} * 1024 * 1024;

/// Answers each request at once with its body and its field X-Id.
class prompt_handler final : public http_handler
{
  private:
    void on_request(const std::shared_ptr<http_session>& session, parsleyshift::http_request&& request) override
    {
        session->answer(200, "text/plain", request.body() + std::string{request["X-Id"]});
        session->flush();
    }
    void on_malformed(http_session& session, const error& why, unsigned status) override
    {
        session.answer(status, "text/plain", why.message());
    }
    void on_disconnected(request_id /*request*/) override {}
    void on_stalled(request_id /*request*/, bool /*stalled*/) override {}
    void on_connections(std::size_t count) override
    {
        if (count == 0 && !std::exchange(has_closed_, true))
        {
            all_closed.set_value();
        }
    }

    bool has_closed_ = false;

  public:
    std::promise<void> all_closed;
};

/// A server on a thread of its own.
class running_server
{
  public:
    explicit running_server(http_server_options options = test_options())
        : server_(context_, std::move(options), handler_)
    {
        if (const auto listening = server_.listen(); listening.has_error())
        {
            throw std::runtime_error(listening.error().message());
        }
        port_ = server_.port();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~running_server()
    {
        context_.stop();
        thread_.join();
    }
    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;
    running_server(running_server&&) = delete;
    running_server& operator=(running_server&&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }
    /// Starts to finish, and returns once that is under way.
    void finish(late_requests late)
    {
        std::promise<void> begun;
        asio::post(context_,
                   [&]
                   {
                       server_.finish(late, [this] { finished_.set_value(); });
                       begun.set_value();
                   });
        begun.get_future().wait();
    }
    /// @return false when the server has not finished in time
    bool has_finished()
    {
        return finished_.get_future().wait_for(safety_timeout) == std::future_status::ready;
    }

    /// Calls a function on the thread of the server.
    void run(const std::function<void()>& function)
    {
        std::promise<void> done;
        asio::post(context_,
                   [&]
                   {
                       function();
                       done.set_value();
                   });
        done.get_future().wait();
    }
    /// @return false when connections are still open after the safety timeout
    bool has_closed_all_connections()
    {
        return handler_.all_closed.get_future().wait_for(safety_timeout) == std::future_status::ready;
    }
    static http_server_options test_options()
    {
        http_server_options options;
        options.address = "127.0.0.1:0";
        return options;
    }

  private:
    asio::io_context context_{1};
    prompt_handler handler_;
    http_server server_;
    std::uint16_t port_ = 0;
    std::promise<void> finished_;
    std::thread thread_;
};

/// Registers the first request and stops the context.
class registering_handler final : public http_handler
{
  public:
    explicit registering_handler(asio::io_context& context) : context_(context) {}

    http_server* server = nullptr;
    request_id registered;

  private:
    void on_request(const std::shared_ptr<http_session>& session, parsleyshift::http_request&& /*request*/) override
    {
        registered = server->register_request(session);
        context_.stop();
    }
    void on_malformed(http_session& /*session*/, const error& /*why*/, unsigned /*status*/) override {}
    void on_disconnected(request_id /*request*/) override {}
    void on_stalled(request_id /*request*/, bool /*stalled*/) override {}

    asio::io_context& context_;
};

/// Number of the first request that a new server gets.
request_id first_request_of_new_server()
{
    asio::io_context context{1};
    registering_handler handler(context);
    http_server server(context, running_server::test_options(), handler);
    handler.server = &server;
    CHECK(!server.listen().has_error());
    client caller(server.port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    context.run_for(safety_timeout);
    return handler.registered;
}

} // namespace

TEST_GROUP(http_server){};

// Guards against messages of peers about requests of a killed process that its successor takes for its own.
TEST(http_server, numbers_its_requests_differently_after_a_restart)
{
    const request_id before = first_request_of_new_server();
    const request_id after = first_request_of_new_server();
    CHECK(before != request_id{} && after != request_id{});
    CHECK(before != after);
}

// Guards against a request that is read in part, or waits unread, and ends without an answer when the server finishes.
TEST(http_server, answers_requests_that_have_arrived_when_it_finishes)
{
    running_server server;
    client idle(server.port());
    idle.send(test_support::http_request("POST", "/", "before"));
    CHECK(idle.read_answer().ends_with("before"));
    client begun(server.port());
    begun.send("POST / HTTP/1.1\r\nHost: h\r\nContent-");
    client kept(server.port());
    kept.send(test_support::http_request("POST", "/", "first"));
    CHECK(kept.read_answer().ends_with("first"));
    kept.send("POST / HTTP/1.1\r\n");
    server.finish(late_requests::answered);
    begun.send("Length: 4\r\n\r\nlate");
    const std::string answer = begun.read_answer();
    CHECK(answer.ends_with("late"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    kept.send("Host: h\r\nContent-Length: 6\r\n\r\nsecond");
    CHECK(kept.read_answer().ends_with("second"));
    STRCMP_EQUAL("", idle.read_all().c_str());
    begun.close();
    kept.close();
    CHECK_TRUE(server.has_finished());
}

// Guards against a handler that gets requests although it can no longer respond to them.
TEST(http_server, drops_requests_that_have_arrived_when_it_finishes_without_a_handler)
{
    running_server server;
    client begun(server.port());
    begun.send(test_support::http_request("POST", "/", "first"));
    CHECK(begun.read_answer().ends_with("first"));
    begun.send("POST / HTTP/1.1\r\n");
    server.finish(late_requests::dropped);
    STRCMP_EQUAL("", begun.read_all().c_str());
    CHECK_TRUE(server.has_finished());
}

// Guards against a large answer that is cut off because its caller reads slowly: the socket of the server may accept no
// further byte for longer than the write timeout meanwhile.
TEST(http_server, delivers_a_large_answer_to_a_caller_that_reads_slowly)
{
    auto options = running_server::test_options();
    options.bounds.max_body_bytes = large_size;
    options.bounds.write_timeout = duration{1'000};
    running_server server(options);
    client caller(server.port(), 4096);
    caller.send(test_support::http_request("POST", "/", std::string(large_size, 'x')));
    caller.read_until("\r\n\r\n");
    std::size_t received = 0;
    // Three times the write timeout, in which less than a third of a socket's buffer is read.
    for (int count = 0; count < 150; ++count)
    {
        received += caller.read_exactly(1024).size();
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    received += caller.read_exactly(large_size - received).size();
    LONGS_EQUAL(large_size, received);
}

// Guards against a caller that holds the memory of a large answer for ever, since its amount no longer disconnects.
TEST(http_server, disconnects_a_caller_that_takes_nothing_of_a_large_answer)
{
    auto options = running_server::test_options();
    options.bounds.max_body_bytes = large_size;
    options.bounds.write_timeout = duration{200};
    running_server server(options);
    client caller(server.port(), 4096);
    caller.send(test_support::http_request("POST", "/", std::string(large_size, 'x')));
    CHECK_TRUE(server.has_closed_all_connections());
    CHECK(caller.read_all().size() < large_size);
}

// Guards against a pipelined request that is run a second time in place of the next one: the next bytes must not be
// read into a buffer whose contents are consumed meanwhile.
TEST(http_server, reads_the_request_after_pipelined_ones)
{
    running_server server;
    client caller(server.port());
    caller.send(test_support::http_request("POST", "/", "first") + test_support::http_request("POST", "/", "other"));
    CHECK(caller.read_answer().ends_with("first"));
    CHECK(caller.read_answer().ends_with("other"));
    caller.send(test_support::http_request("POST", "/", "third"));
    CHECK(caller.read_answer().ends_with("third"));
}

// Guards against bodies that are read although there is no memory for them, and against a body that is not read on once
// there is; small requests must be served meanwhile.
TEST(http_server, reads_a_body_on_once_there_is_room)
{
    memory_budget budget(40'000'000);
    auto held = budget.charge({memory_use::request_body, 1, 20'000'000});
    auto options = running_server::test_options();
    options.budget = &budget;
    running_server server(options);
    client large(server.port());
    large.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1000000\r\n\r\n");
    std::size_t waiting = 0;
    while (waiting == 0)
    {
        server.run([&] { waiting = budget.waiting(); });
    }
    client small(server.port());
    small.send(test_support::http_request("POST", "/", "small"));
    CHECK(small.read_answer().ends_with("small"));
    server.run([&] { held.release(); });
    CHECK(large.read_until("\r\n\r\n").starts_with("HTTP/1.1 100"));
    large.send(std::string(1'000'000, 'x'));
    CHECK(large.read_answer().ends_with(std::string(1'000'000, 'x')));
}

// Guards against a caller that waits for the time limit of its request when there is no memory for its body, and
// against a rejected body whose memory stays in use.
TEST(http_server, rejects_a_body_for_which_there_is_no_room)
{
    memory_budget budget(40'000'000);
    auto held = budget.charge({memory_use::request_body, 1, 20'000'000});
    auto options = running_server::test_options();
    options.budget = &budget;
    running_server server(options);
    client caller(server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    CHECK(caller.read_answer().starts_with("HTTP/1.1 503"));
    std::size_t used = 0;
    server.run([&] { used = budget.used(); });
    LONGS_EQUAL(20'000'000, used);
    // A body that never fits is rejected for its size.
    options.bounds.max_body_bytes = 30'000'000;
    memory_budget small_budget(40'000'000);
    options.budget = &small_budget;
    running_server other(options);
    client excessive(other.port());
    excessive.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 25000000\r\n\r\n");
    CHECK(excessive.read_answer().starts_with("HTTP/1.1 413"));
}

// Guards against a request that runs although it is the body of another, when the end of that body is not certain.
TEST(http_server, rejects_a_request_whose_body_has_no_certain_end)
{
    running_server server;
    const std::string hidden = test_support::http_request("POST", "/hidden", "hidden");
    for (const std::string framing :
         {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", "Content-Length: 0\r\nContent-Length: 0\r\n"})
    {
        client sender(server.port());
        sender.send("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n" + hidden);
        const std::string answer = sender.read_answer();
        CHECK_TEXT(answer.starts_with("HTTP/1.1 400 "), answer.c_str());
        CHECK(answer.find("Connection: close") != std::string::npos);
        sender.send(hidden);
        STRCMP_EQUAL("", sender.read_all().c_str());
    }
}

// Guards against trailer fields that count as header fields, which would let a body replace the id of its request.
TEST(http_server, drops_the_trailer_fields_of_a_chunked_request)
{
    running_server server;
    client sender(server.port());
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
    sender.send(head + "\r\n4\r\nbody\r\n0\r\nX-Id: other\r\n\r\n" + head +
                "X-Id: own\r\n\r\n4\r\nnext\r\n0\r\nX-Id: other\r\n\r\n");
    CHECK(sender.read_answer().ends_with("\r\nbody"));
    CHECK(sender.read_answer().ends_with("\r\nnextown"));
}
