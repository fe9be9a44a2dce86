#include "platform_client.hpp" // platform_client

#include <parsleyshift/wire/platform_codec.hpp> // parse_records, parse_instances

#include <utility> // move

namespace parsleyshift
{

namespace
{

// Fits 8,200 customers with records of a few hundred bytes and some of the largest size (1 MB).
constexpr body_bounds page_bounds{std::size_t{64} * 1024 * 1024, 64};
// Added to the time for which the request lets the service wait.
constexpr duration response_margin{5'000};
// A watch may be silent for its whole wait; the limit is its response_deadline.
constexpr duration watch_silence_timeout{600'000};

http_client_options client_options(channel<inbound_event>& events)
{
    http_client_options http_options;
    http_options.silence_timeout = watch_silence_timeout;
    http_options.may_read = [&events]
    {
        return !events.congested();
    };
    http_options.batch_done = [&events]
    {
        events.notify_consumer();
    };
    return http_options;
}

} // namespace

platform_client::platform_client(asio::io_context& context, platform_client_options options,
                                 channel<inbound_event>& events, metrics& process_metrics)
    : options_(std::move(options)),
      events_(events),
      metrics_(process_metrics),
      http_(context, client_options(events)),
      poll_timer_(context)
{
}

void platform_client::start()
{
    if (!options_.instance_list.empty())
    {
        poll_instances();
    }
}

void platform_client::handle(action& requested)
{
    if (const auto* query = std::get_if<read_configuration>(&requested))
    {
        read_records(*query);
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
    poll_timer_.cancel();
    http_.close();
}

void platform_client::emit(event emitted)
{
    events_.send({std::move(emitted), {}});
}

void platform_client::read_records(const read_configuration& query)
{
    if (options_.configuration_service.empty())
    {
        emit(configuration_unavailable{});
        events_.notify_consumer();
        return;
    }
    http_call call;
    call.address = options_.configuration_service;
    const std::string target =
        "/records?after=" + std::to_string(query.after.value()) + "&wait_ms=" + std::to_string(query.wait.count());
    call.text = request_text("GET", target, call.address, {});
    call.response_deadline = millisecond_clock::now() + query.wait + response_margin;
    call.body_limit = page_bounds.max_bytes;
    http_.start(std::move(call), [this, query](const http_result& response) { on_records_response(query, response); });
}

void platform_client::on_records_response(const read_configuration& query, const http_result& response)
{
    if (response.has_error() || response.value().status != 200)
    {
        emit(configuration_unavailable{});
        return;
    }
    auto page = parse_records(response.value().body, page_bounds);
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
    // If rows were skipped, a missing record may still exist: the page is not complete.
    const bool complete = query.after == revision{} && page.value().malformed_rows == 0;
    emit(configuration_received{page.value().highest, std::move(page.value().records), complete});
}

void platform_client::poll_instances()
{
    http_call call;
    call.address = options_.instance_list;
    call.text = request_text("GET", "/instances", call.address, {});
    call.response_deadline = millisecond_clock::now() + response_margin;
    call.body_limit = page_bounds.max_bytes;
    http_.start(std::move(call), [this](const http_result& response) { on_instances_response(response); });
}

void platform_client::on_instances_response(const http_result& response)
{
    if (response.has_value() && response.value().status == 200)
    {
        auto page = parse_instances(response.value().body, page_bounds);
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
    poll_timer_.expires_after(options_.list_interval);
    poll_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                poll_instances();
            }
        });
}

} // namespace parsleyshift
