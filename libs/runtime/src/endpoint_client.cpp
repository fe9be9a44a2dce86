#include "endpoint_client.hpp" // endpoint_client

#include "generation_sink.hpp" // generation_sink

#include <boost/asio/post.hpp> // post

#include <utility> // move
#include <variant> // visit

namespace parsleyshift
{

namespace
{

// Response deadlines in milliseconds from the start of the exchange; poll_timeout is for /load and /cache-events.
constexpr duration poll_timeout{2'000};
constexpr duration cancel_timeout{2'000};
// The endpoint responds before it loads the weights; the response only states whether the order was accepted.
constexpr duration order_timeout{5'000};

std::string generation_path(attempt_id attempt)
{
    return "/generations/" + std::to_string(attempt.value());
}

http_client_options client_options(const endpoint_client_options& options, channel<inbound_event>& events,
                                   std::function<void()> batch_done)
{
    http_client_options http_options;
    http_options.connect_timeout = options.connect_timeout;
    http_options.silence_timeout = options.silence_timeout;
    http_options.may_read = [&events]
    {
        return !events.congested();
    };
    http_options.batch_done = std::move(batch_done);
    return http_options;
}

} // namespace

endpoint_client::endpoint_client(asio::io_context& context, endpoint_client_options options,
                                 channel<inbound_event>& events, metrics& registry)
    : context_(context),
      options_(options),
      events_(events),
      metrics_(registry),
      http_(context, client_options(options, events, [this] { schedule_announce(); }))
{
}

endpoint_client::~endpoint_client() = default;

void endpoint_client::handle(action& requested)
{
    std::visit(
        [this](auto& each)
        {
            // Actions without an overload of perform() are for other clients.
            if constexpr (requires { perform(each); })
            {
                perform(each);
            }
        },
        requested);
    metrics_.set(level_quantity::endpoint_exchanges, http_.exchanges());
}

void endpoint_client::resume_reading()
{
    if (events_.flush())
    {
        http_.resume_reading();
    }
}

void endpoint_client::close()
{
    watches_.clear();
    attempts_.clear();
    http_.close();
}

void endpoint_client::emit(event emitted)
{
    events_.send({std::move(emitted), {}});
}

/// Wakes the decision thread once for all sockets that became readable together: the posted call runs after their
/// handlers.
void endpoint_client::schedule_announce()
{
    if (announce_posted_ || !events_.notification_pending())
    {
        return;
    }
    announce_posted_ = true;
    asio::post(context_,
               [this]
               {
                   announce_posted_ = false;
                   events_.notify_consumer();
               });
}

void endpoint_client::count_malformed(error_kind kind)
{
    metrics_.count_malformed(input_source::endpoint, kind);
}

void endpoint_client::begin_generation(attempt_id attempt, http_call call, bool resumed)
{
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end())
    {
        http_.cancel(found->second);
    }
    attempts_[attempt] = http_.start(std::move(call), std::make_shared<generation_sink>(*this, attempt, resumed));
}

void endpoint_client::perform(start_generation& requested)
{
    http_call call;
    call.text = request_text("POST", "/generate", requested.address, generation_body(requested));
    call.address = std::move(requested.address);
    call.send_deadline = requested.send_deadline;
    begin_generation(requested.attempt, std::move(call), false);
}

void endpoint_client::perform(resume_generation& requested)
{
    http_call call;
    const std::string target = generation_path(requested.attempt) + "?offset=" + std::to_string(requested.offset);
    call.text = request_text("GET", target, requested.address, {});
    call.address = std::move(requested.address);
    begin_generation(requested.attempt, std::move(call), true);
}

void endpoint_client::perform(cancel_attempt& requested)
{
    const auto found = attempts_.find(requested.attempt);
    if (found != attempts_.end())
    {
        http_.cancel(found->second);
        attempts_.erase(found);
    }
    http_call call;
    call.text = request_text("DELETE", generation_path(requested.attempt), requested.address, {});
    call.address = std::move(requested.address);
    call.response_deadline = millisecond_clock::now() + cancel_timeout;
    call.body_limit = options_.response_bounds.max_bytes;
    // The attempt may have ended already or the engine may be unreachable; no further action is needed in either case.
    http_.start(std::move(call), [](const http_result&) {});
}

void endpoint_client::perform(set_attempt_reading& requested)
{
    const auto found = attempts_.find(requested.attempt);
    if (found != attempts_.end())
    {
        http_.set_reading(found->second, requested.enabled);
    }
}

void endpoint_client::perform(start_call& requested)
{
    http_call call;
    call.text = request_text("POST", "/call", requested.address, call_body(requested));
    call.address = std::move(requested.address);
    call.send_deadline = requested.send_deadline;
    call.response_deadline = requested.response_deadline;
    call.fresh_connection = !requested.key.empty();
    call.body_limit = options_.response_bounds.max_bytes;
    const attempt_id attempt = requested.attempt;
    http_.start(std::move(call),
                [this, attempt](http_result result) { handle_call_response(attempt, std::move(result)); });
}

void endpoint_client::handle_call_response(attempt_id attempt, http_result result)
{
    if (result.has_error())
    {
        emit(attempt_failed{attempt, result.error().failure, result.error().message});
        return;
    }
    const http_answer& response = result.value();
    if (response.status != 200)
    {
        const refusal parsed_refusal = parse_refusal(response.body);
        attempt_failure failure = attempt_failure::endpoint_error;
        if (response.status == 503 && parsed_refusal.not_started)
        {
            failure = parsed_refusal.leaving ? attempt_failure::leaving : attempt_failure::not_started;
        }
        emit(attempt_failed{attempt, failure,
                            "HTTP status " + std::to_string(response.status) + ": " + parsed_refusal.message});
        return;
    }
    auto call_result = parse_call_result(response.body, options_.response_bounds);
    if (call_result.has_error())
    {
        count_malformed(call_result.error().kind);
        emit(attempt_failed{attempt, attempt_failure::endpoint_error, call_result.error().detail});
        return;
    }
    emit(call_answered{attempt, std::move(call_result.value())});
}

void endpoint_client::perform(watch_endpoint& requested)
{
    const endpoint_id endpoint = requested.endpoint;
    const auto found = watches_.find(endpoint);
    if (found != watches_.end())
    {
        found->second->timer.cancel();
        watches_.erase(found);
    }
    if (requested.enabled)
    {
        const auto watched = std::make_shared<watch>(context_, std::move(requested));
        watches_.emplace(endpoint, watched);
        poll_load(watched);
    }
}

void endpoint_client::poll_load(const std::shared_ptr<watch>& watched)
{
    http_call call;
    call.address = watched->target.address;
    call.text = request_text("GET", "/load", call.address, {});
    call.response_deadline = millisecond_clock::now() + poll_timeout;
    call.body_limit = options_.response_bounds.max_bytes;
    http_.start(std::move(call),
                [this, watched](http_result result) { handle_load_response(watched, std::move(result)); });
}

void endpoint_client::handle_load_response(const std::shared_ptr<watch>& watched, http_result result)
{
    const auto found = watches_.find(watched->target.endpoint);
    if (found == watches_.end() || found->second != watched)
    {
        return;
    }
    if (result.has_error() || result.value().status != 200)
    {
        emit(load_unavailable{watched->target.endpoint});
        schedule_poll(watched);
        return;
    }
    auto report = parse_load(result.value().body, watched->target.endpoint);
    if (report.has_error())
    {
        count_malformed(report.error().kind);
        emit(load_unavailable{watched->target.endpoint});
        schedule_poll(watched);
        return;
    }
    emit(load_reported{std::move(report.value())});
    if (watched->target.engine)
    {
        poll_cache_events(watched);
        return;
    }
    schedule_poll(watched);
}

void endpoint_client::poll_cache_events(const std::shared_ptr<watch>& watched)
{
    http_call call;
    call.address = watched->target.address;
    call.text = request_text("GET", "/cache-events?after=" + std::to_string(watched->cache_cursor), call.address, {});
    call.response_deadline = millisecond_clock::now() + poll_timeout;
    call.body_limit = options_.response_bounds.max_bytes;
    http_.start(std::move(call),
                [this, watched](http_result result) { handle_cache_response(watched, std::move(result)); });
}

void endpoint_client::handle_cache_response(const std::shared_ptr<watch>& watched, http_result result)
{
    const auto found = watches_.find(watched->target.endpoint);
    if (found == watches_.end() || found->second != watched)
    {
        return;
    }
    if (result.has_value() && result.value().status == 200)
    {
        auto page = parse_cache_events(result.value().body, options_.response_bounds);
        if (page.has_error())
        {
            count_malformed(page.error().kind);
        }
        else
        {
            watched->cache_cursor = page.value().next;
            if (!page.value().events.empty())
            {
                emit(cache_reported{watched->target.endpoint, std::move(page.value().events)});
            }
        }
    }
    schedule_poll(watched);
}

void endpoint_client::schedule_poll(const std::shared_ptr<watch>& watched)
{
    watched->timer.expires_after(options_.load_interval);
    watched->timer.async_wait(
        [this, watched](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                poll_load(watched);
            }
        });
}

void endpoint_client::perform(send_placement_order& requested)
{
    http_call call;
    call.text = request_text("POST", "/orders", requested.address, order_body(requested.order));
    call.address = std::move(requested.address);
    call.response_deadline = millisecond_clock::now() + order_timeout;
    call.body_limit = options_.response_bounds.max_bytes;
    http_.start(std::move(call),
                [this, order = requested.order](http_result result) { handle_order_response(order, result); });
}

void endpoint_client::handle_order_response(const placement_order& order, const http_result& result)
{
    placement_answered answered{order, false, {}};
    if (result.has_value())
    {
        const auto order_response = parse_order_verdict(result.value().body);
        if (order_response.has_value())
        {
            answered.accepted = order_response.value().accepted && result.value().status == 200;
            answered.fence = order_response.value().fence;
        }
        else
        {
            count_malformed(order_response.error().kind);
        }
    }
    emit(std::move(answered));
}

} // namespace parsleyshift
