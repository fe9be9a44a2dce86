#include <parsleyshift/runtime/http_server.hpp> // http_server

#include <boost/asio/post.hpp> // post

#include <algorithm> // clamp, min
#include <cstdint>   // uint64_t
#include <random>    // random_device, uniform_int_distribution
#include <utility>   // exchange, move

namespace parsleyshift
{

namespace
{
constexpr duration max_sweep_interval{500};
constexpr duration min_sweep_interval{10};
// Bounds the time of a stop while a client does not read its response.
constexpr duration finish_timeout{1'000};
// Requests that clients had sent before they could know of the stop arrive within this time.
constexpr duration late_request_time{200};
constexpr duration accept_retry_delay{100};
/// Leaves the upper half of the numbers to the orders of order_manager, and room to count on.
constexpr std::uint64_t max_first_request = std::uint64_t{1} << 62U;

/// Draws the number of a server's first request. Peers name the requests of an instance by number, and may still do so
/// when its process has ended, so that the next process must use other numbers.
request_id draw_first_request()
{
    std::random_device device;
    return request_id{std::uniform_int_distribution<std::uint64_t>{1, max_first_request}(device)};
}
} // namespace

http_server::http_server(asio::io_context& context, http_server_options options, http_handler& handler)
    : options_(std::move(options)),
      handler_(handler),
      context_(context),
      acceptor_(context),
      sweep_timer_(context),
      next_request_(draw_first_request())
{
    if (options_.budget != nullptr)
    {
        options_.budget->set_on_released([this] { schedule_serve(); });
    }
}

http_server::~http_server()
{
    if (options_.budget == nullptr)
    {
        return;
    }
    options_.budget->set_on_released({});
    for (const auto& session : sessions_)
    {
        session->release_body_bytes();
    }
}

void http_server::schedule_serve()
{
    if (std::exchange(serve_scheduled_, true))
    {
        return;
    }
    asio::post(context_,
               [this]
               {
                   serve_scheduled_ = false;
                   options_.budget->serve(millisecond_clock::now());
                   handler_.batch_done();
               });
}

result<void> http_server::listen()
{
    BOOST_OUTCOME_TRY(listen_on(acceptor_, options_.address, options_.address_setting));
    accept();
    return boost::outcome_v2::success();
}

void http_server::stop_listening()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

std::uint16_t http_server::port() const
{
    return acceptor_.local_endpoint().port();
}

void http_server::set_bounds(const caller_bounds& bounds, duration idle_timeout)
{
    options_.bounds = bounds;
    options_.idle_timeout = idle_timeout;
}

void http_server::close_after_answers()
{
    close_after_responses_ = true;
}

void http_server::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, tcp_socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (failure)
            {
                retry_accept();
                return;
            }
            add_session(std::move(socket));
            accept();
        });
}

void http_server::add_session(tcp_socket socket)
{
    if (sessions_.size() >= static_cast<std::size_t>(options_.bounds.max_connections))
    {
        handler_.on_connection_refused();
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    auto session = std::make_shared<http_session>(std::move(socket), *this);
    sessions_.insert(session);
    handler_.on_connections(sessions_.size());
    session->read();
    if (sessions_.size() == 1)
    {
        schedule_sweep();
    }
}

void http_server::accept_pending()
{
    boost::system::error_code failure;
    acceptor_.non_blocking(true, failure);
    while (!failure)
    {
        tcp_socket socket = acceptor_.accept(failure);
        if (!failure)
        {
            add_session(std::move(socket));
        }
    }
}

void http_server::retry_accept()
{
    // The usual cause is that the process is out of descriptors; an immediate retry would loop until one is closed.
    auto retry_timer = std::make_shared<steady_timer>(context_, accept_retry_delay);
    retry_timer->async_wait([this, retry_timer](const boost::system::error_code&) { accept(); });
}

void http_server::schedule_sweep()
{
    const duration shortest = std::min(options_.bounds.request_timeout, options_.bounds.write_timeout);
    sweep_timer_.expires_after(on_finished_ ? min_sweep_interval
                                            : std::clamp(shortest / 4, min_sweep_interval, max_sweep_interval));
    sweep_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                sweep();
            }
        });
}

void http_server::sweep()
{
    const time_point now = millisecond_clock::now();
    if (options_.budget != nullptr)
    {
        options_.budget->serve(now);
    }
    // check_timeouts() may remove the session from sessions_.
    const std::vector<std::shared_ptr<http_session>> all(sessions_.begin(), sessions_.end());
    for (const auto& session : all)
    {
        session->check_timeouts(now);
    }
    if (on_finished_ && now >= late_requests_end_)
    {
        for (const auto& session : all)
        {
            session->finish_idle();
        }
    }
    handler_.batch_done();
    if (on_finished_ && (sessions_.empty() || now > finish_deadline_))
    {
        std::exchange(on_finished_, [] {})();
        return;
    }
    if (!sessions_.empty())
    {
        schedule_sweep();
    }
}

void http_server::remove(const std::shared_ptr<http_session>& session)
{
    sessions_.erase(session);
    handler_.on_connections(sessions_.size());
    if (on_finished_ && sessions_.empty())
    {
        std::exchange(on_finished_, [] {})();
    }
}

request_id http_server::register_request(const std::shared_ptr<http_session>& session)
{
    const request_id request = next_request_;
    next_request_ = request.next();
    session->request_ = request;
    requests_.emplace(request, session);
    return request;
}

std::shared_ptr<http_session> http_server::find(request_id request) const
{
    const auto found = requests_.find(request);
    return found == requests_.end() ? nullptr : found->second;
}

void http_server::schedule_flush(const std::shared_ptr<http_session>& session)
{
    if (session->mark_flush_scheduled())
    {
        unflushed_.push_back(session);
    }
}

void http_server::flush()
{
    std::vector<std::shared_ptr<http_session>> unflushed;
    unflushed.swap(unflushed_);
    for (const auto& session : unflushed)
    {
        session->flush();
        session->check_backlog();
    }
    unflushed.clear();
    if (unflushed_.empty())
    {
        // Reuses the allocated capacity for the next batch.
        unflushed_.swap(unflushed);
    }
    handler_.batch_done();
}

void http_server::resume_reading()
{
    std::vector<std::shared_ptr<http_session>> paused;
    paused.swap(paused_);
    for (const auto& session : paused)
    {
        session->read();
    }
}

void http_server::finish(late_requests late, std::function<void()> done)
{
    late_requests_ = late;
    if (late == late_requests::answered)
    {
        accept_pending();
    }
    stop_listening();
    on_finished_ = std::move(done);
    const time_point now = millisecond_clock::now();
    finish_deadline_ = now + finish_timeout;
    late_requests_end_ = now + (late == late_requests::answered ? late_request_time : duration{});
    const std::vector<std::shared_ptr<http_session>> all(sessions_.begin(), sessions_.end());
    for (const auto& session : all)
    {
        session->finish();
    }
    if (sessions_.empty())
    {
        std::exchange(on_finished_, [] {})();
        return;
    }
    sweep_timer_.expires_after(min_sweep_interval);
    sweep_timer_.async_wait([this](const boost::system::error_code&) { sweep(); });
}

} // namespace parsleyshift
