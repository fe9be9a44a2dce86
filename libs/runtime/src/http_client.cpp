#include <parsleyshift/runtime/http_client.hpp> // http_client

#include "http_exchange.hpp" // http_exchange, http_connection

#include <parsleyshift/runtime/http_head.hpp> // http_head_builder

#include <boost/asio/post.hpp> // post

#include <algorithm> // find
#include <utility>   // move

namespace parsleyshift
{

namespace
{

/// Passes on the complete response.
class collecting_sink final : public exchange_sink
{
  public:
    explicit collecting_sink(std::function<void(http_result)> done) : done_(std::move(done)) {}

    head_verdict on_head(const response_head& head, bool /*reused_connection*/) override
    {
        response_.status = head.result_int();
        response_.head = head;
        return head_verdict::accept;
    }
    bool on_body(std::string& body) override
    {
        received_bytes_ = body.size();
        return true;
    }
    void on_done(std::string& body, answer_end /*end*/) override
    {
        response_.body = std::move(body);
        done_(std::move(response_));
    }
    void on_failed(attempt_failure failure, std::string message) override
    {
        done_(http_failure{failure, std::move(message), received_bytes_});
    }

  private:
    std::function<void(http_result)> done_;
    http_answer response_;
    std::size_t received_bytes_ = 0;
};

} // namespace

result<std::string> request_text(std::string_view method, std::string_view target, std::string_view address,
                                 std::string_view body)
{
    http_head_builder head;
    head.request_line(method, target).field("Host", address);
    if (!body.empty())
    {
        head.field("Content-Type", "application/json").field("Content-Length", std::to_string(body.size()));
    }
    BOOST_OUTCOME_TRY(std::string text, std::move(head).finish());
    text.append(body);
    return text;
}

http_client::http_client(asio::io_context& context, http_client_options options)
    : context_(context), options_(std::move(options)), sweep_timer_(context)
{
}

http_client::~http_client()
{
    close();
}

std::shared_ptr<http_exchange> http_client::start(http_call call, std::shared_ptr<exchange_sink> sink)
{
    auto exchange = std::make_shared<http_exchange>(*this, std::move(call), std::move(sink));
    exchanges_.insert(exchange);
    schedule_sweep();
    asio::post(context_,
               [this, exchange]
               {
                   exchange->begin();
                   options_.batch_done();
               });
    return exchange;
}

void http_client::start(http_call call, std::function<void(http_result)> done)
{
    start(std::move(call), std::make_shared<collecting_sink>(std::move(done)));
}

void http_client::cancel(const std::shared_ptr<http_exchange>& exchange)
{
    exchange->cancel();
}

void http_client::set_reading(const std::shared_ptr<http_exchange>& exchange, bool enabled)
{
    exchange->set_reading(enabled);
}

void http_client::resume_reading()
{
    std::vector<std::shared_ptr<http_exchange>> paused;
    paused.swap(paused_);
    for (const auto& exchange : paused)
    {
        exchange->read();
    }
}

void http_client::close()
{
    const std::vector<std::shared_ptr<http_exchange>> all(exchanges_.begin(), exchanges_.end());
    for (const auto& exchange : all)
    {
        exchange->cancel();
    }
    for (auto& [address, connections] : idle_)
    {
        for (const auto& connection : connections)
        {
            connection->close();
        }
    }
    idle_.clear();
    paused_.clear();
    sweep_timer_.cancel();
}

std::shared_ptr<http_connection> http_client::take_idle(const std::string& address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
    {
        return nullptr;
    }
    const time_point now = millisecond_clock::now();
    while (!found->second.empty())
    {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (now - connection->idle_since <= connection->idle_limit)
        {
            connection->reused = true;
            return connection;
        }
        connection->close();
    }
    idle_.erase(found);
    return nullptr;
}

void http_client::add_idle(const std::shared_ptr<http_connection>& connection)
{
    auto& connections = idle_[connection->address];
    if (connections.size() >= options_.max_idle_per_address)
    {
        connection->close();
        return;
    }
    connection->idle_since = millisecond_clock::now();
    connections.push_back(connection);
    connection->read();
    schedule_sweep();
}

void http_client::remove_idle(const std::shared_ptr<http_connection>& connection)
{
    const auto found = idle_.find(connection->address);
    if (found == idle_.end())
    {
        return;
    }
    std::erase(found->second, connection);
    if (found->second.empty())
    {
        idle_.erase(found);
    }
}

void http_client::schedule_sweep()
{
    if (sweeping_)
    {
        return;
    }
    sweeping_ = true;
    sweep_timer_.expires_after(options_.sweep_interval);
    sweep_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            sweeping_ = false;
            sweep();
        });
}

void http_client::sweep()
{
    const time_point now = millisecond_clock::now();
    const std::vector<std::shared_ptr<http_exchange>> all(exchanges_.begin(), exchanges_.end());
    for (const auto& exchange : all)
    {
        exchange->check_timeouts(now);
    }
    for (auto& [address, connections] : idle_)
    {
        // Sorted by idle_since, oldest first.
        while (!connections.empty() && now - connections.front()->idle_since > connections.front()->idle_limit)
        {
            connections.front()->close();
            connections.erase(connections.begin());
        }
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    options_.batch_done();
    if (!exchanges_.empty() || !idle_.empty())
    {
        schedule_sweep();
    }
}

} // namespace parsleyshift
