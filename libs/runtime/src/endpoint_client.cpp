#include "endpoint_client.hpp" // endpoint_client

#include "generation_sink.hpp" // generation_sink

#include <boost/asio/post.hpp> // post

#include <utility> // move
#include <variant> // visit

namespace parsleyshift
{

namespace
{

constexpr duration report_timeout{2'000};
constexpr duration cancel_timeout{2'000};
// Loading weights is acknowledged at once; the answer only says whether the order was accepted.
constexpr duration order_timeout{5'000};

std::string generation_path(attempt_id attempt)
{
    return "/generations/" + std::to_string(attempt.value());
}

http_client_options client_options(const endpoint_client_options& options, channel<inbound_event>& events,
                                   std::function<void()> batch_done)
{
    http_client_options made;
    made.connect_timeout = options.connect_timeout;
    made.silence_timeout = options.silence_timeout;
    made.may_read = [&events]
    {
        return !events.congested();
    };
    made.batch_done = std::move(batch_done);
    return made;
}

} // namespace

endpoint_client::endpoint_client(asio::io_context& context, endpoint_client_options options,
                                 channel<inbound_event>& events, metrics& figures)
    : context_(context),
      options_(options),
      events_(events),
      metrics_(figures),
      http_(context, client_options(options, events, [this] { announce_later(); }))
{
}

endpoint_client::~endpoint_client() = default;

void endpoint_client::handle(action& what)
{
    std::visit(
        [this](auto& each)
        {
            if constexpr (requires { start(each); })
            {
                start(each);
            }
        },
        what);
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

void endpoint_client::emit(event what)
{
    events_.send({std::move(what), {}});
}

/// Sockets that became readable together are read one after the other; the decision thread is woken once for all.
void endpoint_client::announce_later()
{
    if (announce_posted_ || !events_.unannounced())
    {
        return;
    }
    announce_posted_ = true;
    asio::post(context_,
               [this]
               {
                   announce_posted_ = false;
                   events_.announce();
               });
}

void endpoint_client::malformed(error_kind kind)
{
    metrics_.count_malformed(input_source::endpoint, kind);
}

void endpoint_client::begin_generation(attempt_id attempt, http_call call, bool resumed)
{
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end())
    {
        http_.drop(found->second);
    }
    attempts_[attempt] = http_.start(std::move(call), std::make_shared<generation_sink>(*this, attempt, resumed));
}

void endpoint_client::start(start_generation& what)
{
    http_call call;
    call.text = request_text("POST", "/generate", what.address, generation_body(what));
    call.address = std::move(what.address);
    call.not_after = what.not_after;
    begin_generation(what.attempt, std::move(call), false);
}

void endpoint_client::start(resume_generation& what)
{
    http_call call;
    const std::string target = generation_path(what.attempt) + "?offset=" + std::to_string(what.offset);
    call.text = request_text("GET", target, what.address, {});
    call.address = std::move(what.address);
    begin_generation(what.attempt, std::move(call), true);
}

void endpoint_client::start(cancel_attempt& what)
{
    const auto found = attempts_.find(what.attempt);
    if (found != attempts_.end())
    {
        http_.drop(found->second);
        attempts_.erase(found);
    }
    http_call call;
    call.text = request_text("DELETE", generation_path(what.attempt), what.address, {});
    call.address = std::move(what.address);
    call.answer_by = millisecond_clock::now() + cancel_timeout;
    call.body_limit = options_.answer_bounds.max_bytes;
    // The engine may have ended the attempt or may be gone; either way nothing is left to do.
    http_.start(std::move(call), [](const http_result&) {});
}

void endpoint_client::start(set_attempt_reading& what)
{
    const auto found = attempts_.find(what.attempt);
    if (found != attempts_.end())
    {
        http_.set_reading(found->second, what.enabled);
    }
}

void endpoint_client::start(start_call& what)
{
    http_call call;
    call.text = request_text("POST", "/call", what.address, call_body(what));
    call.address = std::move(what.address);
    call.not_after = what.not_after;
    call.answer_by = what.answer_by;
    call.fresh_connection = !what.key.empty();
    call.body_limit = options_.answer_bounds.max_bytes;
    const attempt_id attempt = what.attempt;
    http_.start(std::move(call), [this, attempt](http_result answer) { end_call(attempt, std::move(answer)); });
}

void endpoint_client::end_call(attempt_id attempt, http_result answer)
{
    if (answer.has_error())
    {
        emit(attempt_failed{attempt, answer.error().failure, answer.error().message});
        return;
    }
    const http_answer& got = answer.value();
    if (got.status != 200)
    {
        const refusal said = parse_refusal(got.body);
        attempt_failure failure = attempt_failure::endpoint_error;
        if (got.status == 503 && said.not_started)
        {
            failure = said.leaving ? attempt_failure::leaving : attempt_failure::not_started;
        }
        emit(attempt_failed{attempt, failure, "status " + std::to_string(got.status) + " " + said.message});
        return;
    }
    auto result = parse_call_result(got.body, options_.answer_bounds);
    if (result.has_error())
    {
        malformed(result.error().kind);
        emit(attempt_failed{attempt, attempt_failure::endpoint_error, result.error().detail});
        return;
    }
    emit(call_answered{attempt, std::move(result.value())});
}

void endpoint_client::start(watch_endpoint& what)
{
    const endpoint_id endpoint = what.endpoint;
    const auto found = watches_.find(endpoint);
    if (found != watches_.end())
    {
        found->second->timer.cancel();
        watches_.erase(found);
    }
    if (what.enabled)
    {
        const auto watched = std::make_shared<watch>(context_, std::move(what));
        watches_.emplace(endpoint, watched);
        poll_load(watched);
    }
}

void endpoint_client::poll_load(const std::shared_ptr<watch>& watched)
{
    http_call call;
    call.address = watched->what.address;
    call.text = request_text("GET", "/load", call.address, {});
    call.answer_by = millisecond_clock::now() + report_timeout;
    call.body_limit = options_.answer_bounds.max_bytes;
    http_.start(std::move(call), [this, watched](http_result answer) { read_load(watched, std::move(answer)); });
}

void endpoint_client::read_load(const std::shared_ptr<watch>& watched, http_result answer)
{
    const auto found = watches_.find(watched->what.endpoint);
    if (found == watches_.end() || found->second != watched)
    {
        return;
    }
    if (answer.has_error() || answer.value().status != 200)
    {
        emit(load_unavailable{watched->what.endpoint});
        poll_later(watched);
        return;
    }
    auto report = parse_load(answer.value().body, watched->what.endpoint);
    if (report.has_error())
    {
        malformed(report.error().kind);
        emit(load_unavailable{watched->what.endpoint});
        poll_later(watched);
        return;
    }
    emit(load_reported{std::move(report.value())});
    if (watched->what.engine)
    {
        poll_cache(watched);
        return;
    }
    poll_later(watched);
}

void endpoint_client::poll_cache(const std::shared_ptr<watch>& watched)
{
    http_call call;
    call.address = watched->what.address;
    call.text = request_text("GET", "/cache-events?after=" + std::to_string(watched->next_event), call.address, {});
    call.answer_by = millisecond_clock::now() + report_timeout;
    call.body_limit = options_.answer_bounds.max_bytes;
    http_.start(std::move(call), [this, watched](http_result answer) { read_cache(watched, std::move(answer)); });
}

void endpoint_client::read_cache(const std::shared_ptr<watch>& watched, http_result answer)
{
    const auto found = watches_.find(watched->what.endpoint);
    if (found == watches_.end() || found->second != watched)
    {
        return;
    }
    if (answer.has_value() && answer.value().status == 200)
    {
        auto page = parse_cache_events(answer.value().body, options_.answer_bounds);
        if (page.has_error())
        {
            malformed(page.error().kind);
        }
        else
        {
            watched->next_event = page.value().next;
            if (!page.value().events.empty())
            {
                emit(cache_reported{watched->what.endpoint, std::move(page.value().events)});
            }
        }
    }
    poll_later(watched);
}

void endpoint_client::poll_later(const std::shared_ptr<watch>& watched)
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

void endpoint_client::start(send_placement_order& what)
{
    http_call call;
    call.text = request_text("POST", "/orders", what.address, order_body(what.order));
    call.address = std::move(what.address);
    call.answer_by = millisecond_clock::now() + order_timeout;
    call.body_limit = options_.answer_bounds.max_bytes;
    http_.start(std::move(call), [this, order = what.order](http_result answer) { end_order(order, answer); });
}

void endpoint_client::end_order(const placement_order& order, const http_result& answer)
{
    placement_answered answered{order, false, {}};
    if (answer.has_value())
    {
        const auto verdict = parse_order_verdict(answer.value().body);
        if (verdict.has_value())
        {
            answered.accepted = verdict.value().accepted && answer.value().status == 200;
            answered.fence = verdict.value().fence;
        }
        else
        {
            malformed(verdict.error().kind);
        }
    }
    emit(std::move(answered));
}

} // namespace parsleyshift
