#pragma once

#include <parsleyshift/core/clock.hpp>                     // millisecond_clock
#include <parsleyshift/core/field_text.hpp>                // is_field_value
#include <parsleyshift/core/hash.hpp>                      // stable_hasher
#include <parsleyshift/forwarding/forwarding_protocol.hpp> // forwarding_protocol
#include <parsleyshift/forwarding/http_relay.hpp>          // forwarded_request_head
#include <parsleyshift/forwarding/response_memory.hpp>     // response_memory
#include <parsleyshift/messages/action.hpp>                // action
#include <parsleyshift/messages/event.hpp>                 // event
#include <parsleyshift/runtime/http_client.hpp>            // http_client
#include <parsleyshift/runtime/http_server.hpp>            // http_server
#include <parsleyshift/runtime/metrics.hpp>                // metrics

#include <algorithm>     // find, max_element, min
#include <functional>    // function
#include <memory>        // make_shared, shared_ptr
#include <optional>      // nullopt, optional
#include <string>        // string, to_string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <utility>       // exchange, move
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Transfers the bytes of forwarded requests between callers and endpoints; the core decides where they go.
///
/// Responses are buffered until they are complete and the core delivers them. Only streams are forwarded as they
/// arrive, once the core has delivered their head; their end waits for the core, too. All members run on the thread of
/// the I/O context.
/// @tparam P the wire protocol
template <forwarding_protocol P>
class forwarder final : private http_handler
{
  public:
    /// @param callers options of the server that callers connect to
    /// @param endpoints options of the client that connects to endpoints
    /// @param feed passes events to the core, whose actions come back through handle()
    /// @param batch_done called after each batch of events
    forwarder(asio::io_context& context, http_server_options callers, http_client_options endpoints, const P& protocol,
              metrics& shared_metrics, std::function<void(event)> feed, std::function<void()> batch_done)
        : protocol_(protocol),
          metrics_(shared_metrics),
          feed_(std::move(feed)),
          batch_done_(std::move(batch_done)),
          budget_(callers.budget),
          server_(context, std::move(callers), *this),
          client_(context, with_batch_done(std::move(endpoints), batch_done_))
    {
    }

    /// @brief Binds the callers' address. @return error invalid_field
    result<void> listen()
    {
        return server_.listen();
    }
    /// @brief Returns the server that callers connect to.
    [[nodiscard]] http_server& server() noexcept
    {
        return server_;
    }
    /// @brief Sets the function that is asked immediately before the first byte of an attempt is written; unless it
    /// returns true, the attempt fails with not_sent.
    void set_send_check(std::function<bool(attempt_id)> may_send)
    {
        may_send_ = std::move(may_send);
    }
    /// @brief Sends a request to an endpoint; ignored when the request has ended.
    void handle(const start_forward& start);
    /// @brief Cancels an attempt and closes its connection to the endpoint; no events of the attempt follow.
    void handle(const cancel_forward& drop);
    /// @brief Sends a complete response, the head of a stream, or the end of a stream to the caller.
    void handle(const deliver_forward& deliver);
    /// @brief Responds to a request with an error; the connection of a stream that has begun is closed
    /// without the final chunk.
    void handle(const request_rejected& rejected);
    /// @brief Calls an engine to copy a run to another engine; run_copied follows. A run is the execution of a request,
    /// which can continue at another engine.
    void handle(const copy_run& copy);
    /// @brief Writes the pending output of the callers' connections.
    void flush()
    {
        server_.flush();
    }
    /// @brief Cancels all requests to endpoints; no events follow from them.
    void close()
    {
        client_.close();
    }

  private:
    class attempt_sink;

    /// Maximum time for the response to a copy call. An engine exits sooner than this after it announces that it
    /// leaves, so a leaving engine cannot respond later.
    static constexpr duration copy_timeout{2'500};
    /// Maximum time for the response to a copy call that stops the run. The engine may stop the run whenever it handles
    /// the call, and only the response says where the run can be resumed. Engines keep a copy for about as long.
    static constexpr duration stop_timeout{5'000};
    /// Maximum size of the response to a copy call.
    static constexpr std::size_t max_copy_response_bytes = std::size_t{16} * 1024;
    static constexpr std::size_t max_buffered_response_bytes = response_memory::max_response_bytes;
    /// Largest event of a stream.
    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
    /// Total size of the responses and events that have arrived in part.
    static constexpr std::size_t max_total_buffered_bytes = std::size_t{24} * 1024 * 1024;

    static http_client_options with_batch_done(http_client_options options, std::function<void()> batch_done)
    {
        options.batch_done = std::move(batch_done);
        return options;
    }
    void on_request(const std::shared_ptr<http_session>& session, http_request&& request) override;
    void on_malformed(http_session& session, const error& why, unsigned status) override;
    void on_disconnected(request_id request) override
    {
        requests_.erase(request);
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
    void on_connection_refused() override
    {
        // A connection above the maximum number of callers' connections.
        metrics_.count_malformed(input_source::caller, error_kind::queue_full);
    }
    void respond(http_session& session, const local_response& response);
    /// Fails the attempts with the largest buffers until the total is within max_buffered_sum().
    void enforce_buffer_limit();
    [[nodiscard]] static std::uint64_t content_hash(const http_request& request);

    /// Limit of the responses and events that have arrived in part without a share of the budget.
    [[nodiscard]] std::size_t max_buffered_sum() const noexcept
    {
        return budget_ == nullptr ? max_total_buffered_bytes
                                  : std::min(max_total_buffered_bytes, budget_->max_unannounced_bytes());
    }

    /// A request in progress.
    struct active_request
    {
        /// Shared with the attempts that write its body.
        std::shared_ptr<const http_request> request;
        std::string caller_id;
        /// Events sent to the caller, from all engines of the run.
        std::int64_t events_sent = 0;
        std::string last_event_id;
        /// Addresses of the endpoints that the request was sent to.
        std::vector<std::string> addresses{};
        customer_hash customer = 0;
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
    std::function<bool(attempt_id)> may_send_;
    /// Bytes buffered by all attempts. Outlives client_, whose exchanges hold sinks that count themselves out.
    std::size_t total_buffered_bytes_ = 0;
    /// Null without a limit of the memory.
    memory_budget* budget_;
    http_server server_;
    http_client client_;
    std::unordered_map<request_id, active_request> requests_;
    std::unordered_map<attempt_id, running_attempt> attempts_;
};

/// @brief HTTP handler that passes requests to a function of this instance instead of forwarding them.
class local_handler final : public http_handler
{
  public:
    using request_callback = std::function<void(const std::shared_ptr<http_session>&, const http_request&)>;

    local_handler(request_callback on_request, std::function<void()> batch_done)
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

    request_callback on_request_;
    std::function<void()> batch_done_;
};

/// @brief Serializes the head of a response that the instance itself generates, with the final blank line.
inline std::string local_response_head(const local_response& response, bool keep_alive)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    head.append(reason.data(), reason.size());
    head += "\r\nContent-Type: " + response.content_type +
            "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
    head += response.fields;
    head += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return head;
}

/// @brief Receives the response to one attempt and reports its progress to the core.
template <forwarding_protocol P>
class forwarder<P>::attempt_sink final : public exchange_sink
{
  public:
    attempt_sink(forwarder& owner, const start_forward& start)
        : owner_(owner), start_(start), memory_(owner.budget_, [this](bool enabled) { set_reading(enabled); })
    {
    }
    ~attempt_sink() override
    {
        count_buffered(0);
    }
    attempt_sink(const attempt_sink&) = delete;
    attempt_sink& operator=(const attempt_sink&) = delete;
    attempt_sink(attempt_sink&&) = delete;
    attempt_sink& operator=(attempt_sink&&) = delete;

    head_verdict on_head(const response_head& head, bool reused_connection) override
    {
        const auto found = owner_.requests_.find(start_.request);
        if (found == owner_.requests_.end())
        {
            return head_verdict::reject;
        }
        evaluation_ = start_.relayed ? owner_.protocol_.read_relayed_response(head, *found->second.request)
                                     : owner_.protocol_.read_response(head, *found->second.request);
        if (evaluation_.names_other_request && reused_connection)
        {
            return head_verdict::skip;
        }
        // A rejection that does not name its request may be a copy of one for an earlier request on the connection.
        const bool is_ambiguous =
            evaluation_.not_run_reason && !evaluation_.names_request && reused_connection && !start_.relayed;
        if (!evaluation_.matches_request || is_ambiguous)
        {
            evaluation_ = {};
            return head_verdict::reject;
        }
        head_ = head;
        const customer_hash customer = found->second.customer;
        statement_ = start_.relayed ? std::nullopt : std::optional{evaluation_.statement};
        if (is_event_stream())
        {
            owner_.feed_(forward_answered{start_.attempt, evaluation_.sign, false, evaluation_.statement});
            return head_verdict::accept;
        }
        has_excess_length_ = !memory_.begin(head, customer);
        return has_excess_length_ ? head_verdict::reject : head_verdict::accept;
    }
    bool on_body(std::string& body) override
    {
        if (!streaming_ && owner_.budget_ != nullptr && !is_event_stream())
        {
            return buffer_response(body.size());
        }
        if (!streaming_)
        {
            return buffer(body.size(), max_buffered_response_bytes, "the response has");
        }
        const bool progressed = forward_events(body);
        if (!buffer(splitter_.remainder().size(), max_event_bytes, "an event has"))
        {
            return false;
        }
        if (progressed)
        {
            owner_.feed_(forward_progress{start_.attempt, events_sent()});
        }
        return true;
    }
    void on_done(std::string& body, answer_end end) override
    {
        if (evaluation_.not_run_reason)
        {
            fail(*evaluation_.not_run_reason, "the endpoint rejected the request without running it");
            return;
        }
        if (evaluation_.claims_not_run && start_.kind != route_kind::idempotent)
        {
            // The caller would send the request again, which may have run.
            fail(attempt_failure::endpoint_error, "the endpoint answered " + std::to_string(head_.result_int()) +
                                                      " without stating that it did not run the request");
            return;
        }
        if (streaming_)
        {
            forward_events(body);
        }
        else if (is_event_stream())
        {
            splitter_.append(body);
        }
        if (is_event_stream() && is_broken_off(end))
        {
            fail(attempt_failure::link_broken, "the stream was broken off, " +
                                                   std::to_string(splitter_.remainder().size()) +
                                                   " bytes after its last complete event");
            return;
        }
        const bool lacks_body =
            body.empty() && end == answer_end::connection_closed && evaluation_.sign == answer_sign::success;
        if (!streaming_ && lacks_body)
        {
            fail(attempt_failure::link_broken, "the connection was closed after the head, which announces no length");
            return;
        }
        if (!streaming_)
        {
            body_ = std::move(body);
            memory_.stop_waiting();
            memory_.count(body_.size());
            owner_.feed_(forward_answered{start_.attempt, evaluation_.sign, true, evaluation_.statement});
            return;
        }
        owner_.feed_(forward_completed{start_.attempt, events_sent(), end});
    }
    void on_failed(attempt_failure failure, std::string message) override
    {
        fail(failure, has_excess_length_ ? size_message("the response announces", max_buffered_response_bytes)
                                         : std::move(message));
    }

    /// Sends the complete response, the head of a stream, or the end of a stream to the caller.
    /// @return true when further parts of a stream follow
    [[nodiscard]] bool deliver(http_session& session)
    {
        if (streaming_)
        {
            session.end_stream();
            return false;
        }
        // An event stream that ended before the core delivered it is complete in body_.
        if (!is_event_stream() || !body_.empty())
        {
            auto head = forwarded_response_head(head_, {false, body_.size(), session.keeps_alive()});
            if (head.has_error())
            {
                session.abort();
                return false;
            }
            session.answer_raw(std::move(head).value(), std::move(body_));
            return false;
        }
        streaming_ = true;
        // The stream of a run that moved to another engine has begun; the events of this engine continue it.
        if (!session.is_streaming())
        {
            const bool chunked = session.accepts_chunks();
            auto head = forwarded_response_head(head_, {chunked, std::nullopt, chunked && session.keeps_alive()});
            if (head.has_error())
            {
                session.abort();
                return false;
            }
            session.begin_stream(std::move(head).value());
        }
        return true;
    }
    [[nodiscard]] request_id request() const noexcept
    {
        return start_.request;
    }
    /// Bytes that have arrived and cannot be passed on yet.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return buffered_bytes_;
    }
    /// Ends the attempt because its endpoint has sent more than can be buffered.
    void fail_for_size(std::string_view what, std::size_t limit)
    {
        fail(attempt_failure::endpoint_error, size_message(what, limit) + " incomplete");
    }

  private:
    static constexpr boost::beast::string_view event_stream{"text/event-stream"};

    [[nodiscard]] bool is_event_stream() const
    {
        const auto type = head_[boost::beast::http::field::content_type];
        return start_.kind == route_kind::stream && evaluation_.sign == answer_sign::success &&
               !evaluation_.not_run_reason && type.substr(0, event_stream.size()) == event_stream;
    }
    static std::string size_message(std::string_view what, std::size_t limit)
    {
        return std::string{what} + " more than " + std::to_string(limit) + " bytes";
    }
    void count_buffered(std::size_t bytes)
    {
        owner_.total_buffered_bytes_ += bytes - std::exchange(buffered_bytes_, bytes);
        memory_.count(bytes);
    }
    void set_reading(bool enabled)
    {
        const auto found = owner_.attempts_.find(start_.attempt);
        if (found != owner_.attempts_.end())
        {
            owner_.client_.set_reading(found->second.exchange, enabled);
        }
    }
    /// Counts the bytes of an incomplete response in the budget. @return false when it exceeds the limit
    bool buffer_response(std::size_t bytes)
    {
        if (bytes > max_buffered_response_bytes)
        {
            fail_for_size("the response has", max_buffered_response_bytes);
            return false;
        }
        memory_.reserve(bytes);
        return true;
    }
    /// Counts the bytes of an incomplete response or event, and fails the attempt if they exceed a limit.
    /// @param what subject and verb of the message
    /// @return false when the attempt has failed
    bool buffer(std::size_t bytes, std::size_t limit, std::string_view what)
    {
        count_buffered(bytes);
        if (bytes > limit)
        {
            fail_for_size(what, limit);
            return false;
        }
        owner_.enforce_buffer_limit();
        return owner_.attempts_.contains(start_.attempt);
    }
    /// Returns true for a stream that ended inside an event. A stream without framing must also have an event: the end
    /// of its connection may be the end of its endpoint.
    [[nodiscard]] bool is_broken_off(answer_end end) const
    {
        const bool may_have_failed_early = end == answer_end::connection_closed && splitter_.event_count() == 0;
        return may_have_failed_early || !splitter_.remainder().empty();
    }
    [[nodiscard]] std::int64_t events_sent() const
    {
        const auto found = owner_.requests_.find(start_.request);
        return found == owner_.requests_.end() ? 0 : found->second.events_sent;
    }
    /// Sends the events that these bytes complete to the caller.
    /// @return true when there is one
    bool forward_events(std::string& body)
    {
        const auto session = owner_.server_.find(start_.request);
        const auto found = owner_.requests_.find(start_.request);
        if (!session || found == owner_.requests_.end() || body.empty())
        {
            return false;
        }
        const std::int64_t before = splitter_.event_count();
        const std::string_view complete = splitter_.append(body);
        body.clear();
        if (complete.empty())
        {
            return false;
        }
        found->second.events_sent += splitter_.event_count() - before;
        found->second.last_event_id = splitter_.last_event_id();
        session->stream().append(complete);
        owner_.server_.schedule_flush(session);
        return true;
    }
    void fail(attempt_failure failure, std::string message)
    {
        // The sink can outlive the attempt while a function of it runs.
        count_buffered(0);
        const attempt_id attempt = start_.attempt;
        const std::optional<endpoint_statement> statement = statement_;
        forwarder& owner = owner_;
        // Keeps this sink alive: the core may cancel the attempt, and with it the sink, while it handles the event.
        const auto self = owner.attempts_.extract(attempt);
        owner.feed_(attempt_failed{attempt, failure, std::move(message), statement});
    }

    forwarder& owner_;
    start_forward start_;
    response_evaluation evaluation_;
    /// What the endpoint has stated about itself in the head of its answer; nothing before that.
    std::optional<endpoint_statement> statement_;
    response_head head_;
    std::string body_;
    event_splitter splitter_;
    std::size_t buffered_bytes_ = 0;
    response_memory memory_;
    bool has_excess_length_ = false;
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
    auto decoded = protocol_.read_request(request);
    if (decoded.has_error())
    {
        request_rejected malformed;
        malformed.why = decoded.error();
        metrics_.count_malformed(input_source::caller, malformed.why.kind);
        respond(*session, protocol_.rejection_response(malformed));
        server_.schedule_flush(session);
        return;
    }
    forward_request& decoded_request = decoded.value();
    decoded_request.request = server_.register_request(session);
    decoded_request.content_hash = content_hash(request);
    active_request active;
    active.request = std::make_shared<const http_request>(std::move(request));
    active.caller_id = decoded_request.caller_id;
    active.customer = session->customer();
    requests_.insert_or_assign(decoded_request.request, std::move(active));
    feed_(std::move(decoded_request));
}

template <forwarding_protocol P>
void forwarder<P>::on_malformed(http_session& session, const error& why, unsigned status)
{
    metrics_.count_malformed(input_source::caller, why.kind);
    if (why.retry_after)
    {
        request_rejected rejected;
        rejected.why = why;
        respond(session, protocol_.rejection_response(rejected));
        return;
    }
    local_response response;
    response.status = status;
    response.content_type = "text/plain";
    response.body = why.message();
    respond(session, response);
}

template <forwarding_protocol P>
void forwarder<P>::respond(http_session& session, const local_response& response)
{
    session.answer_raw(local_response_head(response, session.keeps_alive()), response.body);
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
void forwarder<P>::enforce_buffer_limit()
{
    while (total_buffered_bytes_ > max_buffered_sum())
    {
        const auto largest =
            std::max_element(attempts_.begin(), attempts_.end(),
                             [](const auto& left, const auto& right)
                             { return left.second.sink->buffered_bytes() < right.second.sink->buffered_bytes(); });
        if (largest == attempts_.end())
        {
            return;
        }
        const running_attempt failing = largest->second;
        client_.cancel(failing.exchange);
        failing.sink->fail_for_size("this response is the largest of those that have", max_buffered_sum());
    }
}

template <forwarding_protocol P>
void forwarder<P>::handle(const start_forward& start)
{
    const auto found = requests_.find(start.request);
    if (found == requests_.end())
    {
        return;
    }
    const duration left = start.deadline - millisecond_clock::now();
    http_call call;
    call.address = start.address;
    const std::shared_ptr<const http_request>& request = found->second.request;
    http_head_builder head = forwarded_request_head(*request,
                                                    [&](std::string_view field) {
                                                        return protocol_.forwards_request_field(field) ||
                                                               (start.relayed && protocol_.relays_request_field(field));
                                                    });
    start_forward attempt = start;
    if (attempt.continuation)
    {
        attempt.continuation->last_event = found->second.last_event_id;
    }
    protocol_.append_attempt_fields(head, attempt, left);
    call.text = std::move(head).finish();
    if (request->body().size() > memory_budget::small_bytes)
    {
        call.body = std::shared_ptr<const std::string>(request, &request->body());
    }
    else if (call.text.has_value())
    {
        // One write for head and body.
        call.text.value().append(request->body());
    }
    call.send_deadline = start.send_deadline;
    if (may_send_)
    {
        call.may_send = [this, id = start.attempt]
        {
            return may_send_(id);
        };
    }
    call.body_limit = std::nullopt;
    // On the connection of an earlier attempt, a copy of the answer to that one could not be told from the answer to
    // this one.
    std::vector<std::string>& addresses = found->second.addresses;
    call.fresh_connection = std::find(addresses.begin(), addresses.end(), start.address) != addresses.end();
    addresses.push_back(start.address);
    auto sink = std::make_shared<attempt_sink>(*this, start);
    auto exchange = client_.start(std::move(call), sink);
    attempts_.emplace(start.attempt, running_attempt{std::move(exchange), std::move(sink)});
}

template <forwarding_protocol P>
void forwarder<P>::handle(const copy_run& copy)
{
    const auto found = requests_.find(copy.request);
    if (found == requests_.end())
    {
        return;
    }
    if (!is_field_value(found->second.last_event_id))
    {
        // The request that resumes the run could not state where it continues.
        feed_(run_copied{copy.attempt, copy_result::refused, {}, 0});
        return;
    }
    const endpoint_call copy_call = protocol_.copy_call(copy, found->second.caller_id);
    http_call call;
    call.address = copy.source;
    call.text = request_text(copy_call.method, copy_call.target, copy.source, copy_call.body);
    call.response_deadline = millisecond_clock::now() + (copy.stop ? stop_timeout : copy_timeout);
    // On a connection with earlier calls, a late response to one of them could be taken for the response to this one.
    call.fresh_connection = copy.stop;
    call.body_limit = max_copy_response_bytes;
    client_.start(std::move(call),
                  [this, attempt = copy.attempt, stop = copy.stop](const http_result& response)
                  {
                      run_copied copied;
                      if (response.has_value())
                      {
                          copied = protocol_.read_copy(response.value().status, response.value().body, stop);
                      }
                      else if (proves_not_run(response.error().failure))
                      {
                          copied.result = copy_result::refused;
                      }
                      copied.attempt = attempt;
                      feed_(std::move(copied));
                  });
}

template <forwarding_protocol P>
void forwarder<P>::handle(const cancel_forward& drop)
{
    const auto found = attempts_.find(drop.attempt);
    if (found == attempts_.end())
    {
        return;
    }
    const running_attempt cancelled = std::move(found->second);
    attempts_.erase(found);
    client_.cancel(cancelled.exchange);
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
    const bool more_follows = sink->deliver(*session);
    server_.schedule_flush(session);
    if (!more_follows)
    {
        attempts_.erase(deliver.attempt);
        requests_.erase(deliver.request);
    }
}

template <forwarding_protocol P>
void forwarder<P>::handle(const request_rejected& rejected)
{
    requests_.erase(rejected.request);
    const auto session = server_.find(rejected.request);
    if (!session)
    {
        return;
    }
    if (session->is_streaming())
    {
        session->abort();
    }
    else
    {
        respond(*session, protocol_.rejection_response(rejected));
    }
    server_.schedule_flush(session);
}

} // namespace parsleyshift
