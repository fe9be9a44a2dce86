#include "caller_server.hpp" // caller_server

#include "sha256.hpp" // hex_sha256

#include <parsleyshift/wire/caller_codec.hpp> // answer_body, append_event

#include <type_traits> // is_same_v
#include <utility>     // move

namespace parsleyshift
{

namespace
{

constexpr std::string_view json_type = "application/json";

} // namespace

caller_server::caller_server(asio::io_context& context, caller_server_options options, channel<inbound_event>& events,
                             metrics& registry, std::function<std::string()> metrics_text)
    : options_(std::move(options)),
      events_(events),
      metrics_(registry),
      metrics_text_(std::move(metrics_text)),
      server_(context, {options_.address, "caller_address", options_.bounds, duration{}}, *this)
{
    call_context_.bounds = {options_.bounds.max_body_bytes, options_.bounds.max_json_depth};
    if (!options_.operator_key.empty())
    {
        call_context_.operator_sha256 = hex_sha256(options_.operator_key);
    }
}

result<void> caller_server::listen()
{
    return server_.listen();
}

std::uint16_t caller_server::port() const
{
    return server_.port();
}

void caller_server::on_request(const std::shared_ptr<http_session>& session, http_request&& request)
{
    const std::string_view key = presented_key(request[boost::beast::http::field::authorization]);
    const std::string key_sha256 = key.empty() ? std::string{} : hex_sha256(key);
    const caller_message call{request.method(), request.target(), request.body(), key_sha256};
    auto routed = route_call(call, call_context_);
    if (routed.has_error())
    {
        reject(*session, routed.error(), http_status(routed.error().kind));
        session->flush();
        return;
    }
    if (const auto* local = std::get_if<local_call>(&routed.value()))
    {
        respond_locally(*session, *local);
        session->flush();
        return;
    }
    event& caller_event = std::get<event>(routed.value());
    set_request(caller_event, server_.register_request(session));
    events_.send({std::move(caller_event), key_sha256});
}

void caller_server::respond_locally(http_session& session, local_call call)
{
    if (call == local_call::stop)
    {
        events_.send({stop_requested{}, {}});
        session.answer(202, json_type, "{\"outcome\":\"completed\"}");
        return;
    }
    session.answer(200, "text/plain; version=0.0.4", metrics_text_());
}

void caller_server::reject(http_session& session, const error& why, unsigned status)
{
    metrics_.count_malformed(input_source::caller, why.kind);
    session.answer(status, json_type, answer_body(request_rejected{{}, outcome::not_run, why, 0, never}));
}

void caller_server::on_malformed(http_session& session, const error& why, unsigned status)
{
    constexpr unsigned request_timeout = 408;
    reject(session, why, status == request_timeout ? request_timeout : http_status(why.kind));
}

void caller_server::on_disconnected(request_id request)
{
    events_.send({caller_disconnected{request}, {}});
}

void caller_server::on_stalled(request_id request, bool stalled)
{
    if (stalled)
    {
        events_.send({caller_stalled{request}, {}});
    }
    else
    {
        events_.send({caller_drained{request}, {}});
    }
}

bool caller_server::may_read() const
{
    return !events_.congested();
}

void caller_server::batch_done()
{
    events_.notify_consumer();
}

void caller_server::on_connections(std::size_t count)
{
    metrics_.set(level_quantity::caller_connections, count);
}

void caller_server::on_connection_refused()
{
    metrics_.count_malformed(input_source::caller, error_kind::queue_full);
}

void caller_server::respond(request_id request, unsigned status, const std::string& body)
{
    if (const auto session = server_.find(request))
    {
        session->answer(status, json_type, body);
        server_.schedule_flush(session);
    }
}

void caller_server::handle(action& requested)
{
    const auto append_to_stream = [this](const auto& message, bool ends)
    {
        const auto connection = server_.find(message.request);
        if (!connection)
        {
            return;
        }
        std::string& out = connection->stream();
        if constexpr (std::is_same_v<std::decay_t<decltype(message)>, stream_started>)
        {
            append_event(out, message, options_.instance);
        }
        else
        {
            append_event(out, message);
        }
        if (ends)
        {
            connection->end_stream();
        }
        server_.schedule_flush(connection);
    };
    if (auto* started = std::get_if<stream_started>(&requested))
    {
        append_to_stream(*started, false);
    }
    else if (auto* tokens = std::get_if<stream_tokens>(&requested))
    {
        append_to_stream(*tokens, false);
    }
    else if (auto* ended = std::get_if<stream_ended>(&requested))
    {
        append_to_stream(*ended, true);
    }
    else if (auto* rejected = std::get_if<request_rejected>(&requested))
    {
        const auto connection = server_.find(rejected->request);
        if (connection && connection->is_streaming())
        {
            append_to_stream(*rejected, true);
        }
        else
        {
            respond(rejected->request, http_status(rejected->why.kind), answer_body(*rejected));
        }
    }
    else if (auto* view = std::get_if<operator_answer>(&requested))
    {
        respond(view->request, 200, view->json);
    }
    else
    {
        std::visit(
            [this](const auto& each)
            {
                if constexpr (requires { answer_body(each); })
                {
                    respond(each.request, 200, answer_body(each));
                }
            },
            requested);
    }
}

void caller_server::flush()
{
    server_.flush();
}

void caller_server::resume_reading()
{
    if (events_.flush())
    {
        server_.resume_reading();
    }
}

void caller_server::finish(std::function<void()> done)
{
    server_.finish(late_requests::dropped, std::move(done));
}

} // namespace parsleyshift
