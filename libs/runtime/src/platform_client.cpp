#include "platform_client.hpp" // platform_client

#include <parsleyshift/wire/platform_codec.hpp> // parse_records, parse_instances

#include <utility> // move

namespace parsleyshift
{

namespace
{

// 8,200 customers with records of a few hundred bytes and some of the largest size (1 MB).
constexpr body_bounds page_bounds{std::size_t{64} * 1024 * 1024, 64};
// Time for an answer beyond the wait that the request allows.
constexpr duration answer_margin{5'000};
// The longest watch is silent for its whole wait, which answer_by bounds.
constexpr duration watch_silence{600'000};

http_client_options client_options(channel<inbound_event>& events)
{
    http_client_options made;
    made.silence_timeout = watch_silence;
    made.may_read = [&events]
    {
        return !events.congested();
    };
    made.batch_done = [&events]
    {
        events.announce();
    };
    return made;
}

} // namespace

platform_client::platform_client(asio::io_context& context, platform_client_options options,
                                 channel<inbound_event>& events, metrics& figures)
    : options_(std::move(options)),
      events_(events),
      metrics_(figures),
      http_(context, client_options(events)),
      list_timer_(context)
{
}

void platform_client::start()
{
    if (!options_.instance_list.empty())
    {
        poll_list();
    }
}

void platform_client::handle(action& what)
{
    if (const auto* wanted = std::get_if<read_configuration>(&what))
    {
        read(*wanted);
    }
}

void platform_client::resume_reading()
{
    if (events_.flush())
    {
        http_.resume_reading();
    }
}

void platform_client::close()
{
    closed_ = true;
    list_timer_.cancel();
    http_.close();
}

void platform_client::emit(event what)
{
    events_.send({std::move(what), {}});
}

void platform_client::read(const read_configuration& what)
{
    if (options_.configuration_service.empty())
    {
        emit(configuration_unavailable{});
        events_.announce();
        return;
    }
    http_call call;
    call.address = options_.configuration_service;
    const std::string target =
        "/records?after=" + std::to_string(what.after.value()) + "&wait_ms=" + std::to_string(what.wait.count());
    call.text = request_text("GET", target, call.address, {});
    call.answer_by = millisecond_clock::now() + what.wait + answer_margin;
    call.body_limit = page_bounds.max_bytes;
    http_.start(std::move(call), [this, what](const http_result& answer) { end_read(what, answer); });
}

void platform_client::end_read(const read_configuration& what, const http_result& answer)
{
    if (answer.has_error() || answer.value().status != 200)
    {
        emit(configuration_unavailable{});
        return;
    }
    auto page = parse_records(answer.value().body, page_bounds);
    if (page.has_error())
    {
        metrics_.count_malformed(input_source::platform, page.error().kind);
        emit(configuration_unavailable{});
        return;
    }
    for (std::size_t i = 0; i < page.value().malformed_rows; ++i)
    {
        metrics_.count_malformed(input_source::platform, error_kind::invalid_field);
    }
    // A page with rows left out says nothing about the records that it lacks.
    const bool complete = what.after == revision{} && page.value().malformed_rows == 0;
    emit(configuration_received{page.value().highest, std::move(page.value().records), complete});
}

void platform_client::poll_list()
{
    http_call call;
    call.address = options_.instance_list;
    call.text = request_text("GET", "/instances", call.address, {});
    call.answer_by = millisecond_clock::now() + answer_margin;
    call.body_limit = page_bounds.max_bytes;
    http_.start(std::move(call), [this](const http_result& answer) { end_poll(answer); });
}

void platform_client::end_poll(const http_result& answer)
{
    if (answer.has_value() && answer.value().status == 200)
    {
        auto page = parse_instances(answer.value().body, page_bounds);
        if (page.has_error())
        {
            metrics_.count_malformed(input_source::platform, page.error().kind);
        }
        else
        {
            emit(instances_listed{page.value().as_of, std::move(page.value().instances)});
        }
    }
    if (closed_)
    {
        return;
    }
    list_timer_.expires_after(options_.list_interval);
    list_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                poll_list();
            }
        });
}

} // namespace parsleyshift
