#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "loopback.hpp"       // scripted_server, client
#include "small_protocol.hpp" // small_protocol

#include <parsleyshift/forwarding/forwarder.hpp> // forwarder

#include <algorithm>          // count_if
#include <atomic>             // atomic
#include <chrono>             // milliseconds
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <future>             // promise
#include <latch>              // latch
#include <map>                // map
#include <memory>             // make_unique
#include <mutex>              // mutex
#include <string>             // string
#include <thread>             // thread
#include <variant>            // get_if, holds_alternative
#include <vector>             // vector

using namespace parsleyshift;
using namespace parsleyshift::test_support;

namespace
{

/// A forwarder that runs on its own thread, with a function in place of the core.
class running_forwarder
{
  public:
    using script = std::function<void(const event&, forwarder<small_protocol>&)>;

    /// @param budget_bytes budget of the memory; 0: none
    explicit running_forwarder(script core, std::size_t budget_bytes = 0)
        : core_(std::move(core)),
          budget_(budget_bytes),
          forwarder_(
              context_, options(budget_bytes > 0 ? &budget_ : nullptr), http_client_options{}, protocol_, metrics_,
              [this](event what) { feed(what); }, [this] { asio::post(context_, [this] { forwarder_.flush(); }); })
    {
        if (const auto listening = forwarder_.listen(); listening.has_error())
        {
            throw std::runtime_error(listening.error().message());
        }
        port_ = forwarder_.server().port();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~running_forwarder()
    {
        context_.stop();
        thread_.join();
    }
    running_forwarder(const running_forwarder&) = delete;
    running_forwarder& operator=(const running_forwarder&) = delete;
    running_forwarder(running_forwarder&&) = delete;
    running_forwarder& operator=(running_forwarder&&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }
    /// Waits for an event of a type and returns the last one; throws when none arrives in time.
    template <class Event>
    Event expect()
    {
        std::unique_lock lock(mutex_);
        std::optional<Event> found;
        arrived_.wait_for(lock, safety_timeout,
                          [&]
                          {
                              for (const event& received : events_)
                              {
                                  if (const auto* match = std::get_if<Event>(&received))
                                  {
                                      found = *match;
                                  }
                              }
                              return found.has_value();
                          });
        return found.value();
    }

    /// Number of events of a type so far.
    template <class Event>
    std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(std::count_if(events_.begin(), events_.end(),
                                                      [](const event& received)
                                                      { return std::holds_alternative<Event>(received); }));
    }

    /// Bytes of the budget in use.
    std::size_t used_memory()
    {
        std::promise<std::size_t> used;
        asio::post(context_, [&] { used.set_value(budget_.used()); });
        return used.get_future().get();
    }

  private:
    static http_server_options options(memory_budget* budget)
    {
        http_server_options options;
        options.address = "127.0.0.1:0";
        options.budget = budget;
        return options;
    }
    void feed(const event& what)
    {
        core_(what, forwarder_);
        forwarder_.flush();
        const std::lock_guard lock(mutex_);
        events_.push_back(what);
        arrived_.notify_all();
    }

    script core_;
    small_protocol protocol_;
    metrics metrics_;
    memory_budget budget_;
    asio::io_context context_{1};
    forwarder<small_protocol> forwarder_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<event> events_;
    std::thread thread_;
};

start_forward start_at(const std::string& address, request_id request, std::uint64_t attempt, route_kind kind)
{
    start_forward start;
    start.attempt = attempt_id{attempt};
    start.request = request;
    start.endpoint = endpoint_id{"e"};
    start.address = address;
    start.kind = kind;
    start.deadline = millisecond_clock::now() + duration{60'000};
    return start;
}

/// Sends each request once, delivers its response and rejects it when the attempt fails.
running_forwarder::script simple_core(const std::string& address, route_kind kind)
{
    return [address, kind, attempt = std::uint64_t{0}, active = request_id{}](const event& what,
                                                                              forwarder<small_protocol>& tested) mutable
    {
        if (const auto* request = std::get_if<forward_request>(&what))
        {
            active = request->request;
            tested.handle(start_at(address, active, ++attempt, kind));
        }
        else if (const auto* answered = std::get_if<forward_answered>(&what))
        {
            tested.handle(deliver_forward{active, answered->attempt});
        }
        else if (const auto* completed = std::get_if<forward_completed>(&what))
        {
            tested.handle(deliver_forward{active, completed->attempt});
        }
        else if (const auto* failed = std::get_if<attempt_failed>(&what))
        {
            request_rejected rejected;
            rejected.request = active;
            rejected.what = proves_not_run(failed->failure) ? outcome::not_run : outcome::unknown;
            tested.handle(rejected);
        }
        else if (std::holds_alternative<caller_disconnected>(what))
        {
            tested.handle(cancel_forward{attempt_id{attempt}});
        }
    };
}

const std::string request_text_of_caller =
    "POST /x HTTP/1.1\r\nHost: h\r\nx-id: 5\r\nx-secret: s\r\nContent-Length: 2\r\n\r\nab";
const std::string stream_head =
    "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Head of a stream that has neither a length nor chunks and ends when its connection is closed.
const std::string unframed_stream_head = "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Type: text/event-stream\r\n\r\n";

/// Checks that the caller of a stream gets the event 1 and then the end of the connection, without a last chunk.
void expect_first_event_only(const scripted_server& endpoint)
{
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::stream));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    caller.read_until("\r\n\r\n");
    STRCMP_EQUAL("id: 1\ndata: a\n\n", caller.read_chunk().c_str());
    STRCMP_EQUAL("", caller.read_all().c_str());
}

/// Reads the chunks of a stream up to the last one.
std::string read_stream(client& caller)
{
    std::string stream;
    for (std::string chunk = caller.read_chunk(); !chunk.empty(); chunk = caller.read_chunk())
    {
        stream += chunk;
    }
    return stream;
}

std::string request_with_id(int id)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nx-id: " + std::to_string(id) +
           "\r\nx-secret: s\r\nContent-Length: 2\r\n\r\nab";
}

std::string status_of(const std::string& response)
{
    return response.substr(9, 3);
}

} // namespace

TEST_GROUP(forwarder){};

// Guards against a forwarder that loses or changes a request or its response, or that depends on one wire protocol.
TEST(forwarder, forwards_a_request_and_its_response_for_any_protocol)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            while (const auto received = from.request())
            {
                const bool is_expected = received->find("x-endpoint: e\r\n") != std::string::npos &&
                                         received->find("x-secret") == std::string::npos && received->ends_with("ab");
                from.send(std::string{"HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 2\r\n\r\n"} +
                          (is_expected ? "ok" : "no"));
            }
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    for (int call = 0; call < 2; ++call)
    {
        caller.send(request_text_of_caller);
        CHECK(caller.read_answer().ends_with("\r\n\r\nok"));
    }
}

// Guards against a relayed request that another instance cannot authenticate, or would relay again.
TEST(forwarder, relays_a_request_with_the_key_and_a_mark)
{
    scripted_server instance(
        [](scripted_server::connection& from)
        {
            const auto received = from.request();
            const bool is_expected = received->find("x-relayed: 1\r\n") != std::string::npos &&
                                     received->find("x-secret") != std::string::npos &&
                                     received->find("x-endpoint") == std::string::npos && received->ends_with("ab");
            from.send(std::string{"HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 2\r\n\r\n"} +
                      (is_expected ? "ok" : "no"));
        });
    running_forwarder relaying(
        [address = instance.address(), active = request_id{}](const event& what,
                                                              forwarder<small_protocol>& tested) mutable
        {
            if (const auto* request = std::get_if<forward_request>(&what))
            {
                active = request->request;
                start_forward relay = start_at(address, active, 1, route_kind::once);
                relay.relayed = true;
                tested.handle(relay);
            }
            else if (const auto* answered = std::get_if<forward_answered>(&what))
            {
                tested.handle(deliver_forward{active, answered->attempt});
            }
        });
    client caller(relaying.port());
    caller.send(request_text_of_caller);
    CHECK(caller.read_answer().ends_with("\r\n\r\nok"));
}

// Guards against forwarding the response to another request, bytes that are not HTTP, or a response that ends early.
TEST(forwarder, drops_incomplete_and_mismatched_responses)
{
    for (const char* bytes : {"HTTP/1.1 200 OK\r\nx-id: 6\r\nContent-Length: 2\r\n\r\nok", "garbage\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 9\r\n\r\nok"})
    {
        scripted_server endpoint(
            [bytes](scripted_server::connection& from)
            {
                from.request();
                from.send(bytes);
            });
        running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        STRCMP_EQUAL("502", status_of(caller.read_answer()).c_str());
    }
}

// Guards against an endpoint's rejection that is forwarded as a response, although the request did not run and may be
// repeated elsewhere.
TEST(forwarder, reports_that_a_refused_request_did_not_run)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 429 Full\r\nx-id: 5\r\nContent-Length: 0\r\n\r\n");
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("503", status_of(caller.read_answer()).c_str());
    running_forwarder unreachable(simple_core(refused_address(), route_kind::once));
    client other(unreachable.port());
    other.send(request_text_of_caller);
    STRCMP_EQUAL("503", status_of(other.read_answer()).c_str());
}

// Guards against an endpoint's status that promises the caller of an order that it did not run, without a proof.
TEST(forwarder, passes_on_no_unproven_promise_that_an_order_did_not_run)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 503 Unavailable\r\nx-id: 5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        });
    for (const route_kind kind : {route_kind::once, route_kind::stream, route_kind::idempotent})
    {
        running_forwarder forwarder(simple_core(endpoint.address(), kind));
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        const bool repeatable = kind == route_kind::idempotent;
        STRCMP_EQUAL(repeatable ? "503" : "502", status_of(caller.read_answer()).c_str());
        if (repeatable)
        {
            CHECK(forwarder.expect<forward_answered>().complete);
            LONGS_EQUAL(0, forwarder.count<attempt_failed>());
        }
        else
        {
            CHECK(forwarder.expect<attempt_failed>().failure == attempt_failure::endpoint_error);
        }
    }
}

// Guards against a request that is sent although its endpoint must not get it any more once the connection stands.
TEST(forwarder, does_not_write_a_request_that_must_not_be_sent)
{
    scripted_server endpoint([](scripted_server::connection& from) { from.request(); });
    auto core = [send = simple_core(endpoint.address(), route_kind::once)](const event& what,
                                                                           forwarder<small_protocol>& tested) mutable
    {
        tested.set_send_check([](attempt_id attempt) { return attempt != attempt_id{1}; });
        send(what, tested);
    };
    running_forwarder forwarder(core);
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("503", status_of(caller.read_answer()).c_str());
    CHECK(forwarder.expect<attempt_failed>().failure == attempt_failure::not_sent);
}

// Guards against a second copy of an answer, late on a connection that is in use again, which goes to the next caller
// or costs it its own answer.
TEST(forwarder, drops_a_late_copy_of_an_earlier_answer)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            const std::string first = "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 2\r\n\r\nab";
            from.request();
            from.send(first);
            if (from.request())
            {
                from.send(first + "HTTP/1.1 200 OK\r\nx-id: 6\r\nContent-Length: 2\r\n\r\ncd");
            }
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    CHECK(caller.read_answer().ends_with("\r\n\r\nab"));
    caller.send(request_with_id(6));
    CHECK(caller.read_answer().ends_with("\r\n\r\ncd"));
}

// Guards against a copy of an earlier rejection that passes for the answer to a request which the endpoint runs.
TEST(forwarder, takes_no_rejection_without_an_id_on_a_used_connection_as_proof)
{
    const std::string rejection = "HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n";
    scripted_server endpoint(
        [&rejection](scripted_server::connection& from)
        {
            while (from.request())
            {
                from.send(rejection);
            }
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("503", status_of(caller.read_answer()).c_str());
    caller.send(request_with_id(6));
    STRCMP_EQUAL("502", status_of(caller.read_answer()).c_str());
}

// Guards against a statement of an endpoint that is read only from answers which reach the caller.
TEST(forwarder, passes_on_what_an_endpoint_states_in_a_rejection)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 429 Full\r\nx-id: 5\r\nx-leaving: 1\r\nContent-Length: 0\r\n\r\n");
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("503", status_of(caller.read_answer()).c_str());
    const auto failed = forwarder.expect<attempt_failed>();
    CHECK(failed.statement && failed.statement->leaving);
}

// Guards against a broken stream that looks complete to the caller, and against a partial event that reaches it.
TEST(forwarder, cuts_off_a_stream_that_the_endpoint_breaks_off)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(stream_head);
            from.send_chunk("id: 1\ndata: a\n\nid: 2\nda");
        });
    expect_first_event_only(endpoint);
}

// Guards against a stream without framing that reaches the caller as complete although it ends inside an event.
TEST(forwarder, cuts_off_an_unframed_stream_that_ends_inside_an_event)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(unframed_stream_head + "id: 1\ndata: a\n\nid: 2\nda");
        });
    expect_first_event_only(endpoint);
}

// Guards against a stream whose last chunk has arrived but whose last event has not, and that looks complete.
TEST(forwarder, cuts_off_a_framed_stream_that_ends_inside_an_event)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(stream_head);
            from.send_chunk("id: 1\ndata: a\n\nid: 2\nda");
            from.end_chunked();
        });
    expect_first_event_only(endpoint);
}

// Guards against an empty stream that reaches the caller as complete, from an endpoint that failed before its first
// event.
TEST(forwarder, cuts_off_an_unframed_stream_without_events)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(unframed_stream_head);
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::stream));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    caller.read_until("\r\n\r\n");
    STRCMP_EQUAL("", caller.read_all().c_str());
}

// Guards against a check for broken streams that also rejects complete ones.
TEST(forwarder, completes_an_unframed_stream_that_ends_after_an_event)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(unframed_stream_head + "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::stream));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    caller.read_until("\r\n\r\n");
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", read_stream(caller).c_str());
    CHECK(forwarder.expect<forward_completed>().end == answer_end::connection_closed);
}

// Guards against chunks that an HTTP/1.0 caller cannot read, and against a broken stream that looks complete to it.
TEST(forwarder, resets_an_unframed_stream_that_is_broken_off)
{
    for (const bool is_complete : {true, false})
    {
        scripted_server endpoint(
            [is_complete](scripted_server::connection& from)
            {
                from.request();
                from.send(stream_head);
                from.send_chunk("id: 1\ndata: a\n\n");
                if (is_complete)
                {
                    from.end_chunked();
                }
            });
        running_forwarder forwarder(simple_core(endpoint.address(), route_kind::stream));
        client caller(forwarder.port());
        caller.send("POST /x HTTP/1.0\r\nHost: h\r\nx-id: 5\r\nContent-Length: 2\r\n\r\nab");
        if (is_complete)
        {
            const std::string head = caller.read_until("\r\n\r\n");
            CHECK(head.find("Transfer-Encoding") == std::string::npos);
            STRCMP_EQUAL("id: 1\ndata: a\n\n", caller.read_all().c_str());
        }
        else
        {
            CHECK_TRUE(caller.read_until_reset());
        }
    }
}

// Guards against an unframed answer that is rejected, or one that was reset on the way and looks complete.
TEST(forwarder, tells_a_closed_unframed_answer_from_a_reset_one)
{
    for (const bool is_reset : {false, true})
    {
        scripted_server endpoint(
            [is_reset](scripted_server::connection& from)
            {
                from.request();
                from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\n\r\nok");
                if (is_reset)
                {
                    from.reset();
                }
            });
        running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        STRCMP_EQUAL(is_reset ? "502" : "200", status_of(caller.read_answer()).c_str());
    }
}

// Guards against an answer whose endpoint closed inside or right after the head, which has no length, and that reaches
// the caller as a complete and empty one.
TEST(forwarder, rejects_an_unframed_answer_that_ends_before_its_body)
{
    const std::string head = "HTTP/1.1 200 OK\r\nx-id: 5\r\nx-signature: s\r\n\r\n";
    std::size_t sent = 0;
    scripted_server endpoint(
        [&](scripted_server::connection& from)
        {
            from.request();
            from.send(head.substr(0, sent));
        });
    for (sent = 1; sent <= head.size(); ++sent)
    {
        running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        STRCMP_EQUAL("502", status_of(caller.read_answer()).c_str());
    }
}

// Guards against a check for broken answers that also rejects empty ones with a length.
TEST(forwarder, passes_on_an_empty_answer_with_a_length)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 0\r\n\r\n");
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("200", status_of(caller.read_answer()).c_str());
}

// Guards against lost or repeated events, or a second response head, when a run continues on another engine.
TEST(forwarder, joins_the_streams_of_a_moved_run)
{
    scripted_server first(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(stream_head);
            from.send_chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n");
        });
    scripted_server second(
        [](scripted_server::connection& from)
        {
            const auto received = from.request();
            from.send(stream_head);
            from.send_chunk(received->find("x-after: 2\r\n") != std::string::npos ? "id: 3\ndata: c\n\n" : "wrong\n\n");
            from.end_chunked();
        });
    const auto core = [to_first = first.address(), to_second = second.address(),
                       active = request_id{}](const event& what, forwarder<small_protocol>& tested) mutable
    {
        if (const auto* request = std::get_if<forward_request>(&what))
        {
            active = request->request;
            tested.handle(start_at(to_first, active, 1, route_kind::stream));
        }
        else if (const auto* answered = std::get_if<forward_answered>(&what))
        {
            tested.handle(deliver_forward{active, answered->attempt});
        }
        else if (const auto* completed = std::get_if<forward_completed>(&what))
        {
            tested.handle(deliver_forward{active, completed->attempt});
        }
        else if (std::holds_alternative<attempt_failed>(what))
        {
            start_forward continued = start_at(to_second, active, 2, route_kind::stream);
            continued.continuation = run_continuation{to_first, "handle", {}};
            tested.handle(continued);
        }
    };
    running_forwarder forwarder(core);
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    caller.read_until("\r\n\r\n");
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", read_stream(caller).c_str());
    LONGS_EQUAL(3, forwarder.expect<forward_completed>().events);
}

// Guards against an endpoint that takes the instance's memory with a line without end in its stream.
TEST(forwarder, breaks_off_a_stream_whose_event_does_not_end)
{
    std::promise<bool> closed;
    scripted_server endpoint(
        [&closed](scripted_server::connection& from)
        {
            from.request();
            from.send(stream_head);
            from.send_chunk("id: 1\ndata: a\n\n");
            const std::string part(std::size_t{64} * 1024, 'x');
            for (int count = 0; count < 8; ++count)
            {
                from.send_chunk(part);
            }
            closed.set_value(!from.request().has_value());
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::stream));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    caller.read_until("\r\n\r\n");
    STRCMP_EQUAL("id: 1\ndata: a\n\n", caller.read_chunk().c_str());
    STRCMP_EQUAL("", caller.read_all().c_str());
    CHECK(forwarder.expect<attempt_failed>().failure == attempt_failure::endpoint_error);
    auto is_closed = closed.get_future();
    CHECK(is_closed.wait_for(safety_timeout) == std::future_status::ready && is_closed.get());
}

// Guards against a plain answer above the limit that is dropped in silence, so that its caller waits for its deadline.
TEST(forwarder, rejects_an_answer_that_exceeds_the_limit_at_once)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\n\r\n" + std::string(std::size_t{9} * 1024 * 1024, 'x'));
            from.request();
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("502", status_of(caller.read_answer()).c_str());
}

// Guards against answers that are within the limit each and exceed the instance's memory together.
TEST(forwarder, fails_the_largest_of_many_incomplete_answers)
{
    constexpr int large_answers = 4;
    const std::string large_head = "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 8000000\r\n\r\n";
    std::latch others_sent{large_answers - 1};
    std::vector<std::unique_ptr<scripted_server>> endpoints;
    for (int index = 0; index < large_answers; ++index)
    {
        endpoints.push_back(std::make_unique<scripted_server>(
            [&, is_largest = index == 0](scripted_server::connection& from)
            {
                from.request();
                if (is_largest)
                {
                    others_sent.wait();
                    from.send(large_head + std::string(7'900'000, 'x'));
                }
                else
                {
                    from.send(large_head + std::string(6'000'000, 'x'));
                    others_sent.count_down();
                }
                from.request();
            }));
    }
    std::map<attempt_id, request_id> active;
    const auto core = [&](const event& what, forwarder<small_protocol>& tested)
    {
        if (const auto* request = std::get_if<forward_request>(&what))
        {
            const std::uint64_t attempt = active.size();
            active.emplace(attempt_id{attempt + 1}, request->request);
            tested.handle(start_at(endpoints[attempt]->address(), request->request, attempt + 1, route_kind::once));
        }
        else if (const auto* failed = std::get_if<attempt_failed>(&what))
        {
            request_rejected rejected;
            rejected.request = active.at(failed->attempt);
            rejected.what = outcome::unknown;
            tested.handle(rejected);
        }
    };
    running_forwarder forwarder(core);
    std::vector<std::unique_ptr<client>> callers;
    for (int index = 0; index < large_answers; ++index)
    {
        callers.push_back(std::make_unique<client>(forwarder.port()));
        callers.back()->send(request_text_of_caller);
    }
    // Three times 6 MB fit, but not with 7.9 MB.
    CHECK(forwarder.expect<attempt_failed>().failure == attempt_failure::endpoint_error);
    LONGS_EQUAL(1, forwarder.count<attempt_failed>());
}

// Guards against an endpoint that keeps running a request whose caller has disconnected.
TEST(forwarder, closes_the_endpoint_connection_when_the_caller_disconnects)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool running = false;
    bool ended = false;
    scripted_server endpoint(
        [&](scripted_server::connection& from)
        {
            from.request();
            {
                const std::lock_guard lock(mutex);
                running = true;
                changed.notify_all();
            }
            const bool closed = !from.request().has_value();
            const std::lock_guard lock(mutex);
            ended = closed;
            changed.notify_all();
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    std::unique_lock lock(mutex);
    CHECK_TRUE(changed.wait_for(lock, safety_timeout, [&] { return running; }));
    caller.close();
    CHECK_TRUE(changed.wait_for(lock, safety_timeout, [&] { return ended; }));
}

// Guards against a large answer that is cut off because of the bytes that wait, although its caller reads.
TEST(forwarder, delivers_an_answer_of_the_largest_size_to_a_slow_caller)
{
    constexpr std::size_t size = std::size_t{8} * 1024 * 1024;
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                      std::string(size, 'x'));
            from.request();
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    // The socket buffers hold a part of the answer only.
    client caller(forwarder.port(), 4096);
    caller.send(request_text_of_caller);
    forwarder.expect<forward_answered>();
    caller.read_until("\r\n\r\n");
    LONGS_EQUAL(size, caller.read_exactly(size).size());
    LONGS_EQUAL(0, forwarder.count<caller_disconnected>());
}

// Guards against large answers that exceed the memory together: the later ones must wait at their endpoints until the
// earlier ones are read, and then arrive whole; a small one must not wait behind them.
TEST(forwarder, reads_large_answers_on_as_there_is_room)
{
    constexpr std::size_t size = 8'000'000;
    constexpr std::size_t budget = 20'000'000;
    const std::string large = "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 8000000\r\n\r\n" + std::string(size, 'x');
    std::vector<std::unique_ptr<scripted_server>> endpoints;
    for (int index = 0; index < 4; ++index)
    {
        endpoints.push_back(std::make_unique<scripted_server>(
            [&, is_small = index == 3](scripted_server::connection& from)
            {
                from.request();
                from.send(is_small ? "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 4\r\n\r\ntiny" : large);
                from.request();
            }));
    }
    std::map<attempt_id, request_id> active;
    const auto core = [&](const event& what, forwarder<small_protocol>& tested)
    {
        if (const auto* request = std::get_if<forward_request>(&what))
        {
            const std::uint64_t attempt = active.size();
            active.emplace(attempt_id{attempt + 1}, request->request);
            tested.handle(start_at(endpoints[attempt]->address(), request->request, attempt + 1, route_kind::once));
        }
        else if (const auto* answered = std::get_if<forward_answered>(&what))
        {
            tested.handle(deliver_forward{active.at(answered->attempt), answered->attempt});
        }
    };
    running_forwarder forwarder(core, budget);
    std::vector<std::unique_ptr<client>> callers;
    for (int index = 0; index < 4; ++index)
    {
        callers.push_back(std::make_unique<client>(forwarder.port(), 4096));
        callers.back()->send(request_text_of_caller);
        while (forwarder.count<forward_request>() <= static_cast<std::size_t>(index))
        {
            CHECK(forwarder.used_memory() <= budget);
        }
    }
    CHECK(callers[3]->read_answer().ends_with("tiny"));
    // All read at once: which answer gets room first depends on which endpoint answers first.
    std::vector<std::future<std::size_t>> received;
    for (int index = 0; index < 3; ++index)
    {
        received.push_back(std::async(std::launch::async,
                                      [&caller = *callers[index]]
                                      {
                                          caller.read_until("\r\n\r\n");
                                          return caller.read_exactly(size).size();
                                      }));
    }
    for (auto& each : received)
    {
        LONGS_EQUAL(size, each.get());
        CHECK(forwarder.used_memory() <= budget);
    }
    LONGS_EQUAL(0, forwarder.count<attempt_failed>());
}

// Guards against a large body that is sent in part, since it is written apart from its head, or counted after its end.
TEST(forwarder, sends_a_large_body_whole)
{
    const std::string body(3'000'000, 'b');
    scripted_server endpoint(
        [&](scripted_server::connection& from)
        {
            const auto received = from.request().value_or("");
            const bool is_whole = received.ends_with("\r\n\r\n" + body);
            from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 2\r\n\r\n" + std::string(is_whole ? "ok" : "no"));
            from.request();
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once), 40'000'000);
    client caller(forwarder.port());
    caller.send("POST /x HTTP/1.1\r\nHost: h\r\nx-id: 5\r\nContent-Length: 3000000\r\n\r\n" + body);
    CHECK(caller.read_answer().ends_with("ok"));
    LONGS_EQUAL(0, forwarder.used_memory());
}

// Guards against an announced length that is reserved, or read, although it exceeds what is passed on.
TEST(forwarder, rejects_an_answer_that_announces_more_than_the_limit)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 9000000000\r\n\r\n");
            from.request();
        });
    running_forwarder forwarder(simple_core(endpoint.address(), route_kind::once));
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    STRCMP_EQUAL("502", status_of(caller.read_answer()).c_str());
}

// Guards against an answer whose head is broken and that reaches a caller, with the broken line passed on or with a
// body that is not the endpoint's.
TEST(forwarder, passes_on_no_answer_with_a_broken_head)
{
    using namespace std::string_literals;
    for (const std::string& broken : {"X : 1"s,
                                      "X y: 1"s,
                                      " X: 1"s,
                                      "X\t: 1"s,
                                      "X\ty: 1"s,
                                      "X\x01y: 1"s,
                                      "X\0y: 1"s,
                                      "X\x7Fy: 1"s,
                                      "X\xC3y: 1"s,
                                      "X(y): 1"s,
                                      "X[y]: 1"s,
                                      ": 1"s,
                                      "no colon"s,
                                      "X: 1\r\n folded"s,
                                      "X: 1\x01"s,
                                      "X: \0"s,
                                      "Content-Length : 2"s,
                                      "Content Length: 2"s,
                                      "Content-Length\x01: 2"s,
                                      "Transfer-Encoding : chunked"s,
                                      "Transfer Encoding: chunked"s})
    {
        const scripted_server endpoint(
            [&broken](scripted_server::connection& from)
            {
                from.request();
                from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\n" + broken + "\r\nContent-Length: 2\r\n\r\nok");
                from.request();
            });
        for (const route_kind kind : {route_kind::once, route_kind::idempotent, route_kind::stream})
        {
            running_forwarder forwarder(simple_core(endpoint.address(), kind));
            client caller(forwarder.port());
            caller.send(request_text_of_caller);
            STRCMP_EQUAL_TEXT("502", status_of(caller.read_answer()).c_str(), broken.c_str());
        }
    }
}

// Guards against an interim response (1xx) that reaches a caller as the answer: callers would wait for a final one.
TEST(forwarder, passes_on_the_final_response_only)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nx-id: 5\r\n\r\n";
    const scripted_server endpoint(
        [&interim](scripted_server::connection& from)
        {
            from.request();
            from.send(interim + "HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 2\r\n\r\nok");
            from.request();
        });
    for (const route_kind kind : {route_kind::once, route_kind::idempotent, route_kind::stream})
    {
        running_forwarder forwarder(simple_core(endpoint.address(), kind));
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        const std::string answer = caller.read_answer();
        STRCMP_EQUAL("200", status_of(answer).c_str());
        CHECK(answer.ends_with("\r\n\r\nok"));
    }
}

// Guards against an id of an endpoint that ends the head of the request, so that the endpoint runs another one.
TEST(forwarder, sends_no_request_whose_head_another_system_has_broken)
{
    for (const char* id : {"e\r\nx-id: 6", "e\r\n\r\n", "e\n", "e\x7f"})
    {
        std::atomic<int> requests = 0;
        scripted_server endpoint(
            [&requests](scripted_server::connection& from)
            {
                while (from.request())
                {
                    ++requests;
                    from.send("HTTP/1.1 200 OK\r\nx-id: 5\r\nContent-Length: 0\r\n\r\n");
                }
            });
        running_forwarder forwarder(
            [&, core = simple_core(endpoint.address(), route_kind::once)](
                const event& what, parsleyshift::forwarder<small_protocol>& tested) mutable
            {
                const auto* request = std::get_if<forward_request>(&what);
                if (request == nullptr)
                {
                    core(what, tested);
                    return;
                }
                start_forward start = start_at(endpoint.address(), request->request, 1, route_kind::once);
                start.endpoint = endpoint_id{id};
                tested.handle(start);
            });
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        CHECK(proves_not_run(forwarder.expect<attempt_failed>().failure));
        LONGS_EQUAL(0, requests.load());
    }
}

// Guards against a run that is stopped for a move although the request that resumes it cannot name the last event.
TEST(forwarder, copies_no_run_whose_last_event_id_cannot_be_sent)
{
    for (const bool is_sound : {true, false})
    {
        std::atomic<int> copies = 0;
        scripted_server copier(
            [&copies](scripted_server::connection& from)
            {
                while (from.request())
                {
                    ++copies;
                    from.send(http_ok("h"));
                }
            });
        scripted_server endpoint(
            [is_sound](scripted_server::connection& from)
            {
                from.request();
                from.send(stream_head);
                from.send_chunk(is_sound ? "id: 1\ndata: a\n\n" : "id: 1\rx-id: 6\ndata: a\n\n");
                from.request();
            });
        running_forwarder forwarder(
            [&, core = simple_core(endpoint.address(), route_kind::stream),
             active = request_id{}](const event& what, parsleyshift::forwarder<small_protocol>& tested) mutable
            {
                if (const auto* request = std::get_if<forward_request>(&what))
                {
                    active = request->request;
                }
                core(what, tested);
                if (std::holds_alternative<forward_progress>(what))
                {
                    tested.handle(copy_run{attempt_id{1}, active, copier.address(), "127.0.0.1:9", false});
                }
            });
        client caller(forwarder.port());
        caller.send(request_text_of_caller);
        const copy_result result = forwarder.expect<run_copied>().result;
        CHECK(result == (is_sound ? copy_result::complete : copy_result::refused));
        LONGS_EQUAL(is_sound ? 1 : 0, copies.load());
    }
}

// Guards against a late response to an earlier call that is taken for the response to the call that stops a run.
TEST(forwarder, stops_runs_on_connections_without_earlier_calls)
{
    scripted_server copier(
        [](scripted_server::connection& from)
        {
            // The connection stays open for a while, but no further call on it is answered.
            from.request();
            from.send(http_ok("h"));
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
        });
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send(stream_head);
            from.send_chunk("id: 1\ndata: a\n\n");
            from.request();
        });
    running_forwarder forwarder(
        [&, core = simple_core(endpoint.address(), route_kind::stream), active = request_id{},
         copies = 0](const event& what, parsleyshift::forwarder<small_protocol>& tested) mutable
        {
            if (const auto* request = std::get_if<forward_request>(&what))
            {
                active = request->request;
            }
            core(what, tested);
            const bool is_copied = std::holds_alternative<run_copied>(what);
            if (std::holds_alternative<forward_progress>(what) || (is_copied && ++copies == 1))
            {
                tested.handle(copy_run{attempt_id{1}, active, copier.address(), "127.0.0.1:9", is_copied});
            }
        });
    client caller(forwarder.port());
    caller.send(request_text_of_caller);
    while (forwarder.count<run_copied>() < 2)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    CHECK(forwarder.expect<run_copied>().result == copy_result::complete);
}
