#pragma once

#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/core/hash.hpp>                      // stable_hasher
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // forwarding_protocol
#include <parsleyshift/forwarding/http_relay.hpp>          // forwarded_request_head
#include <parsleyshift/messages/action.hpp>                // action
#include <parsleyshift/messages/event.hpp>                 // event
#include <parsleyshift/runtime/http_client.hpp>            // http_client
#include <parsleyshift/runtime/http_server.hpp>            // http_server
#include <parsleyshift/runtime/metrics.hpp>                // metrics

#include <functional>    // function
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // move

namespace parsleyshift
{

/// @brief Carries the bytes of forwarded requests between callers and endpoints; the core decides where they go.
///
/// Answers of endpoints are held until they are whole and the core delivers them; only streams are passed on as they
/// arrive, from the moment at which the core delivers their head.
/// @tparam P the wire protocol
template <forwarding_protocol P>
class forwarder final : private http_handler
{
  public:
    /// @param feed takes events; the core's actions come back through handle()
    /// @param batch_done called after each batch of events
    forwarder(asio::io_context& context, http_server_options callers, http_client_options endpoints, const P& protocol,
              metrics& figures, std::function<void(event)> feed, std::function<void()> batch_done)
        : protocol_(protocol),
          metrics_(figures),
          feed_(std::move(feed)),
          batch_done_(std::move(batch_done)),
          server_(context, std::move(callers), *this),
          client_(context, with_batch_done(std::move(endpoints), batch_done_))
    {
    }

    result<void> listen()
    {
        return server_.listen();
    }
    [[nodiscard]] http_server& server() noexcept
    {
        return server_;
    }
    void handle(const start_forward& start);
    void handle(const drop_forward& drop);
    void handle(const deliver_forward& deliver);
    void handle(const request_rejected& rejected);
    void handle(const copy_run& copy);
    void flush()
    {
        server_.flush();
    }
    void close()
    {
        client_.close();
    }

  private:
    class attempt_sink;

    /// Longer than the notice of an engine that leaves.
    static constexpr duration copy_timeout{2'500};
    static constexpr std::size_t max_copy_answer = std::size_t{16} * 1024;
    /// Largest answer that is held until it is whole.
    static constexpr std::size_t max_held_answer = std::size_t{8} * 1024 * 1024;

    static http_client_options with_batch_done(http_client_options options, std::function<void()> batch_done)
    {
        options.batch_done = std::move(batch_done);
        return options;
    }
    void on_request(const std::shared_ptr<http_session>& session, http_request&& request) override;
    void on_malformed(http_session& session, const error& why, unsigned status) override;
    void on_disconnected(request_id request) override
    {
        asked_.erase(request);
        feed_(caller_disconnected{request});
    }
    void on_stalled(request_id request, bool stalled) override;
    void batch_done() override
    {
        batch_done_();
    }
    void on_connections(std::size_t count) override
    {
        metrics_.set(level_quantity::caller_connections, count);
    }
    void on_refused() override
    {
        metrics_.count_malformed(input_source::caller, error_kind::queue_full);
    }
    void answer(http_session& session, const own_answer& own);
    [[nodiscard]] static std::uint64_t content_hash(const http_request& request);

    /// A request in progress.
    struct request_bytes
    {
        http_request asked;
        std::string caller_id;
        /// Events that the caller has received, over all engines of the run.
        std::int64_t events = 0;
        std::string last_event;
    };
    struct running_attempt
    {
        std::shared_ptr<http_exchange> exchange;
        std::shared_ptr<attempt_sink> sink;
    };

    const P& protocol_;
    metrics& metrics_;
    std::function<void(event)> feed_;
    std::function<void()> batch_done_;
    http_server server_;
    http_client client_;
    /// The bytes of the requests in progress.
    std::unordered_map<request_id, request_bytes> asked_;
    std::unordered_map<attempt_id, running_attempt> attempts_;
};

/// @brief Answers requests that need no forwarding.
class local_handler final : public http_handler
{
  public:
    using function = std::function<void(const std::shared_ptr<http_session>&, const http_request&)>;

    local_handler(function on_request, std::function<void()> batch_done)
        : on_request_(std::move(on_request)), batch_done_(std::move(batch_done))
    {
    }

  private:
    void on_request(const std::shared_ptr<http_session>& session, http_request&& request) override
    {
        on_request_(session, request);
    }
    void on_malformed(http_session& session, const error& why, unsigned status) override
    {
        session.answer(status, "text/plain", why.message());
    }
    void on_disconnected(request_id /*request*/) override {}
    void on_stalled(request_id /*request*/, bool /*stalled*/) override {}
    void batch_done() override
    {
        batch_done_();
    }

    function on_request_;
    std::function<void()> batch_done_;
};

/// @brief Text of an answer that the instance itself gives.
inline std::string head_of(const own_answer& own, bool keep_alive)
{
    std::string head = "HTTP/1.1 " + std::to_string(own.status) + ' ';
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(own.status));
    head.append(reason.data(), reason.size());
    head += "\r\nContent-Type: " + own.content_type + "\r\nContent-Length: " + std::to_string(own.body.size()) + "\r\n";
    head += own.fields;
    head += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return head;
}

/// @brief Takes one attempt's answer.
template <forwarding_protocol P>
class forwarder<P>::attempt_sink final : public exchange_sink
{
  public:
    attempt_sink(forwarder& owner, const start_forward& start) : owner_(owner), start_(start) {}

    bool on_head(const response_head& head) override
    {
        const auto asked = owner_.asked_.find(start_.request);
        if (asked == owner_.asked_.end())
        {
            return false;
        }
        reading_ = owner_.protocol_.read_answer(head, asked->second.asked);
        if (!reading_.belongs)
        {
            return false;
        }
        head_ = head;
        if (is_event_stream())
        {
            owner_.feed_(forward_answered{start_.attempt, reading_.sign, false});
        }
        return true;
    }
    bool on_body(std::string& body) override
    {
        if (!streaming_)
        {
            return body.size() <= max_held_answer;
        }
        if (pass_on(body))
        {
            owner_.feed_(forward_progress{start_.attempt, events()});
        }
        return true;
    }
    void on_done(std::string& body) override
    {
        if (reading_.refusal)
        {
            fail(*reading_.refusal, "the endpoint refused the request");
            return;
        }
        if (!streaming_)
        {
            body_ = std::move(body);
            owner_.feed_(forward_answered{start_.attempt, reading_.sign, true});
            return;
        }
        pass_on(body);
        const std::int64_t total = events();
        if (const auto session = owner_.server_.find(start_.request))
        {
            session->stream().append(splitter_.rest());
            session->end_stream();
            owner_.server_.touch(session);
        }
        owner_.feed_(forward_completed{start_.attempt, total});
        owner_.attempts_.erase(start_.attempt);
        owner_.asked_.erase(start_.request);
    }
    void on_failed(attempt_failure failure, std::string message) override
    {
        fail(failure, std::move(message));
    }

    /// Passes the answer, or what there is of a stream, on to the caller.
    void deliver(http_session& session)
    {
        if (!is_event_stream() || !body_.empty())
        {
            session.answer_raw(forwarded_answer_head(head_, {false, body_.size(), session.keeps_alive()}), body_);
            return;
        }
        streaming_ = true;
        if (session.is_streaming())
        {
            // The stream goes on where the engine before has left it.
            return;
        }
        session.begin_stream(forwarded_answer_head(head_, {true, 0, session.keeps_alive()}));
    }
    [[nodiscard]] bool is_whole() const noexcept
    {
        return !streaming_;
    }
    [[nodiscard]] request_id request() const noexcept
    {
        return start_.request;
    }

  private:
    static constexpr boost::beast::string_view event_stream{"text/event-stream"};

    [[nodiscard]] bool is_event_stream() const
    {
        const auto type = head_[boost::beast::http::field::content_type];
        return start_.kind == route_kind::stream && reading_.sign == answer_sign::success && !reading_.refusal &&
               type.substr(0, event_stream.size()) == event_stream;
    }
    [[nodiscard]] std::int64_t events() const
    {
        const auto known = owner_.asked_.find(start_.request);
        return known == owner_.asked_.end() ? 0 : known->second.events;
    }
    /// @return true when the piece ends an event
    bool pass_on(std::string& body)
    {
        const auto session = owner_.server_.find(start_.request);
        const auto known = owner_.asked_.find(start_.request);
        if (!session || known == owner_.asked_.end() || body.empty())
        {
            return false;
        }
        const std::int64_t before = splitter_.events();
        const std::string_view whole = splitter_.take(body);
        body.clear();
        if (whole.empty())
        {
            return false;
        }
        known->second.events += splitter_.events() - before;
        known->second.last_event = splitter_.last_id();
        session->stream().append(whole);
        owner_.server_.touch(session);
        return true;
    }
    void fail(attempt_failure failure, std::string message)
    {
        const attempt_id attempt = start_.attempt;
        forwarder& owner = owner_;
        // The core may forget the request, and with it this sink.
        const auto self = owner.attempts_.extract(attempt);
        owner.feed_(attempt_failed{attempt, failure, std::move(message)});
    }

    forwarder& owner_;
    start_forward start_;
    answer_reading reading_;
    response_head head_;
    std::string body_;
    event_splitter splitter_;
    bool streaming_ = false;
};

template <forwarding_protocol P>
std::uint64_t forwarder<P>::content_hash(const http_request& request)
{
    stable_hasher hasher;
    hasher.append({request.method_string().data(), request.method_string().size()});
    hasher.append({request.target().data(), request.target().size()});
    hasher.append(request.body());
    return hasher.value();
}

template <forwarding_protocol P>
void forwarder<P>::on_request(const std::shared_ptr<http_session>& session, http_request&& request)
{
    auto read = protocol_.read_request(request);
    if (read.has_error())
    {
        request_rejected malformed;
        malformed.why = read.error();
        metrics_.count_malformed(input_source::caller, malformed.why.kind);
        answer(*session, protocol_.rejection(malformed));
        server_.touch(session);
        return;
    }
    forward_request& asked = read.value();
    asked.request = server_.enroll(session);
    asked.content = content_hash(request);
    asked_.insert_or_assign(asked.request, request_bytes{std::move(request), asked.caller_id, 0, {}});
    feed_(std::move(asked));
}

template <forwarding_protocol P>
void forwarder<P>::on_malformed(http_session& session, const error& why, unsigned status)
{
    metrics_.count_malformed(input_source::caller, why.kind);
    own_answer own;
    own.status = status;
    own.content_type = "text/plain";
    own.body = why.message();
    answer(session, own);
}

template <forwarding_protocol P>
void forwarder<P>::answer(http_session& session, const own_answer& own)
{
    session.answer_raw(head_of(own, session.keeps_alive()), own.body);
}

template <forwarding_protocol P>
void forwarder<P>::on_stalled(request_id request, bool stalled)
{
    for (const auto& [attempt, running] : attempts_)
    {
        if (running.sink->request() == request)
        {
            client_.set_reading(running.exchange, !stalled);
        }
    }
}

template <forwarding_protocol P>
void forwarder<P>::handle(const start_forward& start)
{
    const auto asked = asked_.find(start.request);
    if (asked == asked_.end())
    {
        return;
    }
    const duration left = start.deadline - millisecond_clock::now();
    http_call call;
    call.address = start.address;
    call.text = forwarded_request_head(asked->second.asked, [this](std::string_view field)
                                       { return protocol_.forwards_request_field(field); });
    start_forward known = start;
    if (known.continuation)
    {
        known.continuation->last_event = asked->second.last_event;
    }
    protocol_.append_attempt_fields(call.text, known, left);
    call.text.append("\r\n").append(asked->second.asked.body());
    call.not_after = start.not_after;
    call.body_limit = std::nullopt;
    auto sink = std::make_shared<attempt_sink>(*this, start);
    auto exchange = client_.start(std::move(call), sink);
    attempts_.emplace(start.attempt, running_attempt{std::move(exchange), std::move(sink)});
}

template <forwarding_protocol P>
void forwarder<P>::handle(const copy_run& copy)
{
    const auto asked = asked_.find(copy.request);
    if (asked == asked_.end())
    {
        return;
    }
    const endpoint_call wanted = protocol_.copy_call(copy, asked->second.caller_id);
    http_call call;
    call.address = copy.source;
    call.text = request_text(wanted.method, wanted.target, copy.source, wanted.body);
    call.answer_by = millisecond_clock::now() + copy_timeout;
    call.body_limit = max_copy_answer;
    client_.start(std::move(call),
                  [this, attempt = copy.attempt, stop = copy.stop](const http_result& answer)
                  {
                      run_copied copied;
                      if (answer.has_value())
                      {
                          copied = protocol_.read_copy(answer.value().status, answer.value().body, stop);
                      }
                      else if (proves_not_run(answer.error().failure))
                      {
                          copied.result = copy_result::refused;
                      }
                      copied.attempt = attempt;
                      feed_(std::move(copied));
                  });
}

template <forwarding_protocol P>
void forwarder<P>::handle(const drop_forward& drop)
{
    const auto found = attempts_.find(drop.attempt);
    if (found == attempts_.end())
    {
        return;
    }
    const running_attempt dropped = std::move(found->second);
    attempts_.erase(found);
    client_.drop(dropped.exchange);
}

template <forwarding_protocol P>
void forwarder<P>::handle(const deliver_forward& deliver)
{
    const auto found = attempts_.find(deliver.attempt);
    const auto session = server_.find(deliver.request);
    if (found == attempts_.end() || !session)
    {
        return;
    }
    const auto sink = found->second.sink;
    sink->deliver(*session);
    server_.touch(session);
    if (sink->is_whole())
    {
        attempts_.erase(deliver.attempt);
        asked_.erase(deliver.request);
    }
}

template <forwarding_protocol P>
void forwarder<P>::handle(const request_rejected& rejected)
{
    asked_.erase(rejected.request);
    const auto session = server_.find(rejected.request);
    if (!session)
    {
        return;
    }
    if (session->is_streaming())
    {
        session->cut();
    }
    else
    {
        answer(*session, protocol_.rejection(rejected));
    }
    server_.touch(session);
}

} // namespace parsleyshift
