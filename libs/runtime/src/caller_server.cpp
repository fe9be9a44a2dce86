#include "caller_server.hpp" // caller_server

#include "caller_connection.hpp" // caller_connection
#include "sha256.hpp"            // hex_sha256

#include <parsleyshift/wire/caller_codec.hpp> // answer_body, append_event

#include <algorithm>   // clamp, min
#include <type_traits> // is_same_v
#include <utility>     // move

namespace parsleyshift
{

namespace
{
constexpr duration longest_sweep{500};
constexpr duration shortest_sweep{10};
constexpr duration finish_time{1'000};
constexpr duration accept_retry{100};
} // namespace

caller_server::caller_server(asio::io_context& context, caller_server_options options, channel<inbound_event>& events,
                             metrics& figures, std::function<std::string()> metrics_text)
    : options_(std::move(options)),
      events_(events),
      metrics_(figures),
      metrics_text_(std::move(metrics_text)),
      context_(context),
      acceptor_(context),
      sweep_timer_(context)
{
    call_context_.bounds = {options_.bounds.max_body_bytes, options_.bounds.max_json_depth};
    if (!options_.operator_key.empty())
    {
        call_context_.operator_sha256 = hex_sha256(options_.operator_key);
    }
}

caller_server::~caller_server() = default;

result<void> caller_server::listen()
{
    BOOST_OUTCOME_TRY(listen_on(acceptor_, options_.address, "caller_address"));
    accept();
    schedule_sweep();
    return boost::outcome_v2::success();
}

std::uint16_t caller_server::port() const
{
    return acceptor_.local_endpoint().port();
}

void caller_server::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, tcp_socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            const bool is_full = connections_.size() >= static_cast<std::size_t>(options_.bounds.max_connections);
            if (!failure && is_full)
            {
                metrics_.count_malformed(input_source::caller, error_kind::queue_full);
            }
            else if (!failure)
            {
                boost::system::error_code ignored;
                socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                socket.non_blocking(true, ignored);
                auto connection = std::make_shared<caller_connection>(std::move(socket), *this);
                connections_.insert(connection);
                metrics_.set(level_quantity::caller_connections, connections_.size());
                connection->read();
            }
            else
            {
                // Out of descriptors: an immediate retry would spin until one is closed.
                auto pause = std::make_shared<steady_timer>(context_, accept_retry);
                pause->async_wait([this, pause](const boost::system::error_code&) { accept(); });
                return;
            }
            accept();
        });
}

void caller_server::schedule_sweep()
{
    const duration shortest = std::min(options_.bounds.request_timeout, options_.bounds.write_timeout);
    sweep_timer_.expires_after(finished_ ? shortest_sweep : std::clamp(shortest / 4, shortest_sweep, longest_sweep));
    sweep_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                sweep();
            }
        });
}

void caller_server::sweep()
{
    const time_point now = millisecond_clock::now();
    // check_time() may remove a connection.
    const std::vector<std::shared_ptr<caller_connection>> all(connections_.begin(), connections_.end());
    for (const auto& connection : all)
    {
        connection->check_time(now);
    }
    events_.announce();
    if (finished_ && (connections_.empty() || now > finish_by_))
    {
        std::exchange(finished_, [] {})();
        return;
    }
    schedule_sweep();
}

void caller_server::remove(const std::shared_ptr<caller_connection>& connection)
{
    connections_.erase(connection);
    metrics_.set(level_quantity::caller_connections, connections_.size());
    if (finished_ && connections_.empty())
    {
        std::exchange(finished_, [] {})();
    }
}

std::shared_ptr<caller_connection> caller_server::find(request_id request) const
{
    const auto found = requests_.find(request);
    return found == requests_.end() ? nullptr : found->second;
}

void caller_server::complete(request_id request, unsigned status, std::string body)
{
    if (const auto connection = find(request))
    {
        connection->answer(status, "application/json", body);
        if (connection->mark_dirty())
        {
            dirty_.push_back(connection);
        }
    }
}

void caller_server::handle(action& what)
{
    const auto streamed = [this](const auto& message, bool ends)
    {
        const auto connection = find(message.request);
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
        if (connection->mark_dirty())
        {
            dirty_.push_back(connection);
        }
    };
    if (auto* started = std::get_if<stream_started>(&what))
    {
        streamed(*started, false);
    }
    else if (auto* tokens = std::get_if<stream_tokens>(&what))
    {
        streamed(*tokens, false);
    }
    else if (auto* ended = std::get_if<stream_ended>(&what))
    {
        streamed(*ended, true);
    }
    else if (auto* rejected = std::get_if<request_rejected>(&what))
    {
        const auto connection = find(rejected->request);
        if (connection && connection->is_streaming())
        {
            streamed(*rejected, true);
        }
        else
        {
            complete(rejected->request, http_status(rejected->why.kind), answer_body(*rejected));
        }
    }
    else if (auto* view = std::get_if<operator_answer>(&what))
    {
        complete(view->request, 200, std::move(view->json));
    }
    else
    {
        std::visit(
            [this](const auto& each)
            {
                if constexpr (requires { answer_body(each); })
                {
                    complete(each.request, 200, answer_body(each));
                }
            },
            what);
    }
}

void caller_server::flush()
{
    std::vector<std::shared_ptr<caller_connection>> dirty;
    dirty.swap(dirty_);
    for (const auto& connection : dirty)
    {
        connection->flush();
        connection->check_backlog();
    }
    dirty.clear();
    if (dirty_.empty())
    {
        // Keeps the capacity for the next batch.
        dirty_.swap(dirty);
    }
    events_.announce();
}

void caller_server::resume_reading()
{
    if (!events_.flush())
    {
        return;
    }
    std::vector<std::shared_ptr<caller_connection>> paused;
    paused.swap(paused_);
    for (const auto& connection : paused)
    {
        connection->read();
    }
}

void caller_server::finish(std::function<void()> done)
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    finished_ = std::move(done);
    finish_by_ = millisecond_clock::now() + finish_time;
    const std::vector<std::shared_ptr<caller_connection>> all(connections_.begin(), connections_.end());
    for (const auto& connection : all)
    {
        connection->finish();
    }
    if (connections_.empty())
    {
        std::exchange(finished_, [] {})();
    }
    else
    {
        sweep_timer_.expires_after(shortest_sweep);
        sweep_timer_.async_wait([this](const boost::system::error_code&) { sweep(); });
    }
}

} // namespace parsleyshift
