#include <parsleyshift/runtime/peer_network.hpp> // peer_network

#include "peer_link.hpp" // peer_link, peer_session

#include <utility> // move

namespace parsleyshift
{

namespace
{
constexpr duration sweep_interval{500};
constexpr duration accept_retry_delay{100};
} // namespace

peer_network::peer_network(asio::io_context& context, peer_network_options options, channel<inbound_event>& events,
                           metrics& process_metrics)
    : options_(std::move(options)),
      events_(events),
      metrics_(process_metrics),
      context_(context),
      acceptor_(context),
      sweep_timer_(context),
      advertised_address_(options_.address)
{
}

peer_network::~peer_network()
{
    close();
}

result<void> peer_network::listen()
{
    BOOST_OUTCOME_TRY(listen_on(acceptor_, options_.address, "peer_address"));
    // With port 0 in the settings, the envelopes must contain the port that was bound.
    const auto colon = options_.address.rfind(':');
    advertised_address_ = options_.address.substr(0, colon + 1) + std::to_string(port());
    accept();
    schedule_sweep();
    return boost::outcome_v2::success();
}

std::uint16_t peer_network::port() const
{
    return acceptor_.local_endpoint().port();
}

void peer_network::accept()
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
                auto retry_timer = std::make_shared<steady_timer>(context_, accept_retry_delay);
                retry_timer->async_wait([this, retry_timer](const boost::system::error_code&) { accept(); });
                return;
            }
            if (sessions_.size() < options_.max_sessions)
            {
                auto session = std::make_shared<peer_session>(*this, std::move(socket));
                sessions_.insert(session);
                session->read();
            }
            accept();
        });
}

void peer_network::send(send_to_peer& outgoing, revision highest)
{
    const peer_envelope envelope{options_.instance, options_.started, advertised_address_, highest,
                                 std::move(outgoing.message)};
    std::string frame = encode(envelope);
    if (frame.size() > max_frame_bytes)
    {
        metrics_.count_dropped_frames(1);
        return;
    }
    auto& link = links_[outgoing.peer_address];
    if (!link)
    {
        link = std::make_shared<peer_link>(*this, outgoing.peer_address);
        metrics_.set(level_quantity::peer_links, links_.size());
    }
    link->send(std::move(frame));
}

void peer_network::resume_reading()
{
    if (!events_.flush())
    {
        return;
    }
    std::vector<std::shared_ptr<peer_session>> paused;
    paused.swap(paused_);
    for (const auto& session : paused)
    {
        session->read();
    }
}

bool peer_network::idle() const
{
    for (const auto& [address, link] : links_)
    {
        if (!link->idle())
        {
            return false;
        }
    }
    return true;
}

void peer_network::schedule_sweep()
{
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                sweep();
                schedule_sweep();
            }
        });
}

void peer_network::sweep()
{
    const time_point now = millisecond_clock::now();
    std::erase_if(links_,
                  [now](const auto& entry)
                  {
                      entry.second->check_timeout(now);
                      if (!entry.second->idle_timed_out(now))
                      {
                          return false;
                      }
                      entry.second->close();
                      return true;
                  });
    const std::vector<std::shared_ptr<peer_session>> current_sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : current_sessions)
    {
        session->check_timeout(now);
    }
    metrics_.set(level_quantity::peer_links, links_.size());
}

void peer_network::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    sweep_timer_.cancel();
    for (const auto& [address, link] : links_)
    {
        link->close();
    }
    links_.clear();
    const std::vector<std::shared_ptr<peer_session>> current_sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : current_sessions)
    {
        session->close();
    }
    paused_.clear();
}

} // namespace parsleyshift
