#include "token_source.hpp" // token_source

#include <boost/asio/buffer.hpp>     // buffer
#include <boost/asio/read.hpp>       // async_read
#include <boost/asio/read_until.hpp> // async_read_until
#include <boost/asio/write.hpp>      // async_write

#include <nlohmann/json.hpp> // json

#include <chrono>  // steady_clock
#include <cstdio>  // snprintf
#include <utility> // move

namespace parsleyshift::bench
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int unpaced_lines = 64;
constexpr std::chrono::microseconds tick_interval{250};

std::string chunk(const std::string& text)
{
    char size[24] = {};
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

std::int64_t now_ns()
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

/// One connection to the source.
class source_stream : public std::enable_shared_from_this<source_stream>
{
  public:
    source_stream(tcp::socket socket, token_source& source) : socket_(std::move(socket)), source_(source)
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }

    void read()
    {
        asio::async_read_until(socket_, asio::dynamic_buffer(input_), "\r\n\r\n",
                               [self = shared_from_this()](const auto& failure, std::size_t head)
                               {
                                   if (!failure)
                                   {
                                       self->read_body(head);
                                   }
                               });
    }
    /// Sends one token if it is due. @return false when the stream has ended
    bool send_due(std::int64_t now)
    {
        if (now < due_)
        {
            return true;
        }
        if (writing_)
        {
            return true;
        }
        due_ += interval_ns_;
        write(1);
        return sent_ < total_;
    }

  private:
    void read_body(std::size_t head)
    {
        const auto at = input_.find("Content-Length: ");
        const std::size_t size = at < head ? std::stoul(input_.substr(at + 16)) : 0;
        const std::size_t whole = head + size;
        if (input_.size() >= whole)
        {
            begin(head, whole);
            return;
        }
        asio::async_read(socket_, asio::dynamic_buffer(input_), asio::transfer_exactly(whole - input_.size()),
                         [self = shared_from_this(), head, whole](const auto& failure, std::size_t)
                         {
                             if (!failure)
                             {
                                 self->begin(head, whole);
                             }
                         });
    }
    void begin(std::size_t head, std::size_t whole)
    {
        const auto body = nlohmann::json::parse(input_.substr(head, whole - head), nullptr, false);
        input_.erase(0, whole);
        if (!body.is_object())
        {
            // A cancel.
            output_ = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            flush();
            return;
        }
        total_ = body.at("max_tokens").get<std::int64_t>();
        interval_ns_ = std::stoll(body.at("prompt").get<std::string>()) * 1000;
        sent_ = 0;
        output_ = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (interval_ns_ > 0)
        {
            due_ = now_ns() + interval_ns_;
            source_.paced_.push_back(shared_from_this());
            write(1);
        }
        else
        {
            write(unpaced_lines);
        }
    }
    void write(int lines)
    {
        std::string text;
        for (; lines > 0 && sent_ < total_; --lines, ++sent_)
        {
            char line[96] = {};
            std::snprintf(line, sizeof line, "{\"offset\":%lld,\"tokens\":[\"t%019lld\"]}\n",
                          static_cast<long long>(sent_), static_cast<long long>(now_ns()));
            text += line;
        }
        output_ += chunk(text);
        if (sent_ == total_)
        {
            output_ += chunk("{\"end\":true,\"count\":" + std::to_string(total_) + "}\n") + "0\r\n\r\n";
        }
        flush();
    }
    void flush()
    {
        writing_ = true;
        asio::async_write(socket_, asio::buffer(output_),
                          [self = shared_from_this()](const auto& failure, std::size_t)
                          {
                              self->writing_ = false;
                              self->output_.clear();
                              if (failure)
                              {
                                  self->sent_ = self->total_;
                              }
                              else if (self->sent_ == self->total_)
                              {
                                  self->read();
                              }
                              else if (self->interval_ns_ == 0)
                              {
                                  self->write(unpaced_lines);
                              }
                          });
    }

    tcp::socket socket_;
    token_source& source_;
    std::string input_;
    std::string output_;
    std::int64_t total_ = 0;
    std::int64_t sent_ = 0;
    std::int64_t interval_ns_ = 0;
    std::int64_t due_ = 0;
    bool writing_ = false;
};

token_source::token_source()
    : acceptor_(context_, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
      timer_(context_),
      port_(acceptor_.local_endpoint().port())
{
    accept();
    tick();
    thread_ = std::thread([this] { context_.run(); });
}

token_source::~token_source()
{
    context_.stop();
    thread_.join();
}

void token_source::accept()
{
    acceptor_.async_accept(
        [this](const auto& failure, tcp::socket socket)
        {
            if (!failure)
            {
                std::make_shared<source_stream>(std::move(socket), *this)->read();
            }
            accept();
        });
}

void token_source::tick()
{
    const std::int64_t now = now_ns();
    std::erase_if(paced_, [now](const auto& stream) { return !stream->send_due(now); });
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const auto& failure)
        {
            if (!failure)
            {
                tick();
            }
        });
}

} // namespace parsleyshift::bench
