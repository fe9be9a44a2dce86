#include "peer_link.hpp" // peer_link, peer_session

#include <parsleyshift/runtime/peer_network.hpp> // peer_network

#include <boost/asio/buffer.hpp> // buffer
#include <boost/asio/read.hpp>   // async_read
#include <boost/asio/write.hpp>  // async_write

#include <algorithm> // min
#include <utility>   // move

namespace parsleyshift
{

namespace
{
// The buffer grows with the bytes that arrive, so that a large length prefix alone does not allocate much.
constexpr std::size_t body_chunk_bytes = std::size_t{64} * 1024;
} // namespace

peer_link::peer_link(peer_network& network, std::string address)
    : network_(network),
      address_(std::move(address)),
      socket_(network.context_),
      last_progress_(millisecond_clock::now())
{
}

void peer_link::send(std::string frame)
{
    const auto header = frame_header(frame.size());
    frame.insert(frame.begin(), header.begin(), header.end());
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    const auto& options = network_.options_;
    // The first frame may be partly written.
    while (queue_.size() > 2 && (queue_.size() > options.max_queued_frames || queued_bytes_ > options.max_queued_bytes))
    {
        queued_bytes_ -= queue_[1].size();
        queue_.erase(queue_.begin() + 1);
        network_.metrics_.count_dropped_frames(1);
    }
    if (connected_)
    {
        write();
    }
    else if (!connecting_)
    {
        connect();
    }
}

void peer_link::connect()
{
    const auto endpoint = parse_address(address_, "peer address");
    if (endpoint.has_error())
    {
        fail();
        return;
    }
    connecting_ = true;
    last_progress_ = millisecond_clock::now();
    socket_.async_connect(
        endpoint.value(),
        [self = shared_from_this(), connection = connection_](const boost::system::error_code& failure)
        {
            if (self->connection_ != connection)
            {
                return;
            }
            self->connecting_ = false;
            if (failure)
            {
                self->fail();
                return;
            }
            boost::system::error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->connected_ = true;
            // Peers never send on this connection, so any completion of the read means that it was
            // closed.
            self->socket_.async_read_some(asio::buffer(self->eof_buffer_),
                                          [self, connection](const boost::system::error_code&, std::size_t)
                                          {
                                              if (self->connection_ == connection)
                                              {
                                                  self->fail();
                                              }
                                          });
            self->write();
        });
}

void peer_link::write()
{
    if (writing_ || queue_.empty())
    {
        return;
    }
    writing_ = true;
    last_progress_ = millisecond_clock::now();
    asio::async_write(
        socket_, asio::buffer(queue_.front()),
        [self = shared_from_this(), connection = connection_](const boost::system::error_code& failure, std::size_t)
        {
            if (self->connection_ != connection)
            {
                return;
            }
            if (failure)
            {
                self->fail();
                return;
            }
            self->writing_ = false;
            self->queued_bytes_ -= self->queue_.front().size();
            self->queue_.pop_front();
            self->write();
        });
}

void peer_link::fail()
{
    if (!queue_.empty())
    {
        network_.metrics_.count_dropped_frames(queue_.size());
    }
    close();
}

void peer_link::close()
{
    ++connection_;
    queue_.clear();
    queued_bytes_ = 0;
    connecting_ = false;
    connected_ = false;
    writing_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void peer_link::check_timeout(time_point now)
{
    const bool timed_out = (connecting_ || writing_) && now - last_progress_ > network_.options_.connect_timeout;
    if (timed_out)
    {
        fail();
    }
}

bool peer_link::idle_timed_out(time_point now) const noexcept
{
    return !connecting_ && queue_.empty() && now - last_progress_ > network_.options_.idle_timeout;
}

peer_session::peer_session(peer_network& network, tcp_socket socket)
    : network_(network), socket_(std::move(socket)), last_progress_(millisecond_clock::now())
{
}

void peer_session::read()
{
    if (closed_)
    {
        return;
    }
    if (network_.events_.congested())
    {
        network_.paused_.push_back(shared_from_this());
        return;
    }
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](const boost::system::error_code& failure, std::size_t)
                     {
                         if (failure)
                         {
                             self->close();
                             return;
                         }
                         self->on_header();
                     });
}

void peer_session::on_header()
{
    const auto size = frame_size(header_);
    if (size.has_error() || size.value() == 0)
    {
        reject(size.has_error() ? size.error().kind : error_kind::malformed_request);
        return;
    }
    body_.clear();
    body_size_ = size.value();
    read_body(0);
}

void peer_session::read_body(std::size_t received_bytes)
{
    last_progress_ = millisecond_clock::now();
    const std::size_t chunk_bytes = std::min(body_size_ - received_bytes, body_chunk_bytes);
    body_.resize(received_bytes + chunk_bytes);
    asio::async_read(socket_, asio::buffer(body_.data() + received_bytes, chunk_bytes),
                     [self = shared_from_this()](const boost::system::error_code& failure, std::size_t)
                     {
                         if (failure)
                         {
                             self->close();
                         }
                         else if (self->body_.size() < self->body_size_)
                         {
                             self->read_body(self->body_.size());
                         }
                         else
                         {
                             self->on_body();
                         }
                     });
}

void peer_session::on_body()
{
    last_progress_ = millisecond_clock::now();
    auto envelope = decode(body_);
    if (envelope.has_error())
    {
        // The stream stays aligned by the length prefix, and a newer peer may send unknown messages: skip the frame.
        network_.metrics_.count_malformed(input_source::peer, envelope.error().kind);
    }
    else
    {
        network_.events_.send({peer_received{std::move(envelope.value())}, {}});
        network_.events_.notify_consumer();
    }
    if (body_.capacity() > body_chunk_bytes)
    {
        std::string{}.swap(body_);
    }
    read();
}

void peer_session::reject(error_kind kind)
{
    network_.metrics_.count_malformed(input_source::peer, kind);
    close();
}

void peer_session::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    network_.sessions_.erase(shared_from_this());
}

void peer_session::check_timeout(time_point now)
{
    // Twice the sender's timeout, so that the sender closes first.
    if (now - last_progress_ > network_.options_.idle_timeout * 2)
    {
        close();
    }
}

} // namespace parsleyshift
