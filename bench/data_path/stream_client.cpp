#include "stream_client.hpp" // run_streams

#include "token_source.hpp" // now_ns

#include <boost/asio/buffer.hpp>       // buffer
#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/asio/write.hpp>        // async_write

#include <algorithm>   // nth_element
#include <array>       // array
#include <charconv>    // from_chars
#include <chrono>      // seconds
#include <memory>      // shared_ptr
#include <stdexcept>   // runtime_error
#include <string_view> // string_view

namespace parsleyshift::bench
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// "t and 19 digits.
constexpr std::size_t stamp_size = 21;
constexpr std::chrono::seconds time_limit{120};

struct client_run
{
    asio::io_context context{1};
    stream_load load;
    std::string request;
    stream_figures figures;
    std::int64_t first_arrival = 0;
    std::int64_t last_arrival = 0;
    int open = 0;
    int failed = 0;
};

class client_stream : public std::enable_shared_from_this<client_stream>
{
  public:
    explicit client_stream(client_run& run) : run_(run), socket_(run.context) {}

    void begin(std::uint16_t port)
    {
        const tcp::endpoint server(asio::ip::make_address_v4("127.0.0.1"), port);
        socket_.async_connect(server,
                              [self = shared_from_this()](const auto& failure)
                              {
                                  if (failure)
                                  {
                                      self->end(true);
                                      return;
                                  }
                                  self->asked_ = now_ns();
                                  self->send();
                              });
    }

  private:
    void send()
    {
        asio::async_write(socket_, asio::buffer(run_.request),
                          [self = shared_from_this()](const auto& failure, std::size_t)
                          {
                              if (failure)
                              {
                                  self->end(true);
                                  return;
                              }
                              self->read();
                          });
    }
    void read()
    {
        socket_.async_read_some(asio::buffer(input_.data() + have_, input_.size() - have_),
                                [self = shared_from_this()](const auto& failure, std::size_t size)
                                {
                                    if (failure)
                                    {
                                        self->end(true);
                                        return;
                                    }
                                    self->have_ += size;
                                    self->scan();
                                });
    }
    void scan()
    {
        const std::int64_t now = now_ns();
        std::string_view text(input_.data(), have_);
        for (std::size_t at = text.find("\"t"); at != std::string_view::npos; at = text.find("\"t", at + 2))
        {
            if (at + stamp_size > text.size())
            {
                break;
            }
            std::int64_t sent = 0;
            const auto number = std::from_chars(text.data() + at + 2, text.data() + at + stamp_size, sent);
            if (number.ptr == text.data() + at + stamp_size && sent > 0)
            {
                token(now, sent);
            }
        }
        // A stamp may be cut at the end.
        const std::size_t cut = text.rfind("\"t");
        const bool is_cut = cut != std::string_view::npos && cut + stamp_size > text.size();
        const std::size_t kept = is_cut ? text.size() - cut : (text.ends_with('"') ? 1 : 0);
        std::copy(text.end() - kept, text.end(), input_.begin());
        have_ = kept;
        if (seen_ == run_.load.tokens)
        {
            end(false);
            return;
        }
        read();
    }
    void token(std::int64_t now, std::int64_t sent)
    {
        if (seen_++ == 0)
        {
            run_.figures.first_token.push_back(now - asked_);
        }
        run_.figures.transit.push_back(now - sent);
        run_.first_arrival = run_.first_arrival == 0 ? now : run_.first_arrival;
        run_.last_arrival = now;
    }
    void end(bool failed)
    {
        run_.failed += failed ? 1 : 0;
        if (--run_.open == 0)
        {
            run_.context.stop();
        }
    }

    client_run& run_;
    tcp::socket socket_;
    std::array<char, 8192> input_{};
    std::size_t have_ = 0;
    std::int64_t asked_ = 0;
    std::int64_t seen_ = 0;
};

} // namespace

stream_figures run_streams(std::uint16_t port, const std::string& target, const stream_load& load)
{
    client_run run;
    run.load = load;
    std::string body =
        "{\"prompt\":\"" + std::to_string(load.interval_us) + "\",\"max_tokens\":" + std::to_string(load.tokens);
    body += target == "/generate" ? ",\"attempt\":1}" : R"(,"customer":"c","service":"s"})";
    run.request = "POST " + target + " HTTP/1.1\r\nHost: bench\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body;
    run.open = load.streams;
    run.figures.transit.reserve(static_cast<std::size_t>(load.streams * load.tokens));
    std::vector<std::unique_ptr<asio::steady_timer>> starts;
    for (int i = 0; i < load.streams; ++i)
    {
        auto& timer = *starts.emplace_back(std::make_unique<asio::steady_timer>(run.context));
        timer.expires_after(std::chrono::microseconds{load.open_ms * 1000 * i / load.streams});
        timer.async_wait([&run, port](const auto&) { std::make_shared<client_stream>(run)->begin(port); });
    }
    run.context.run_for(time_limit);
    if (run.open > 0 || run.failed > 0)
    {
        throw std::runtime_error(std::to_string(run.open) + " streams did not end, " + std::to_string(run.failed) +
                                 " failed");
    }
    run.figures.elapsed = run.last_arrival - run.first_arrival;
    run.figures.tokens = static_cast<std::int64_t>(run.figures.transit.size());
    return std::move(run.figures);
}

std::int64_t percentile(std::vector<std::int64_t> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace parsleyshift::bench
