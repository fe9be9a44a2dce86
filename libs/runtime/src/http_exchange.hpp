#pragma once

#include <parsleyshift/runtime/http_client.hpp> // http_call, exchange_sink

#include <boost/beast/http/parser.hpp>      // response_parser
#include <boost/beast/http/string_body.hpp> // string_body

#include <array>   // array
#include <cstddef> // size_t
#include <memory>  // enable_shared_from_this, weak_ptr

namespace parsleyshift
{

/// @brief A connection to a server. It always reads, also while idle, so that a close by the server is noticed.
class http_connection : public std::enable_shared_from_this<http_connection>
{
  public:
    http_connection(asio::io_context& context, http_client& client, std::string address);

    void read();
    void close();

    tcp_socket socket;
    http_client& client;
    std::string address;
    /// The exchange that uses the connection; empty while it is idle.
    std::shared_ptr<http_exchange> user;
    /// Input that the parser has not taken; a response head must fit.
    std::array<char, 4096> input{};
    std::size_t input_size = 0;
    time_point idle_since;
    /// Time for which the connection may be idle before it is used again.
    duration idle_limit;
    bool reused = false;
    bool read_pending = false;
};

/// @brief One request and its response.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
  public:
    http_exchange(http_client& client, http_call call, std::shared_ptr<exchange_sink> sink);

    void begin();
    void set_reading(bool enabled);
    /// @brief Ends without a call of the sink.
    void drop();
    /// @brief Fails the exchange when one of its times has passed.
    void check_time(time_point now);
    void on_read(const boost::system::error_code& failure);
    /// @brief Goes on reading if nothing forbids it.
    void read();

  private:
    void connect();
    void write();
    void prepare(tcp_socket& socket) const;
    void limit_idle_time();
    void on_input();
    bool feed_parser();
    void on_end_of_input();
    void complete();
    void fail(attempt_failure failure, std::string message);
    void release(bool keep);
    [[nodiscard]] attempt_failure broken() const noexcept;

    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    http_client& client_;
    http_call call_;
    std::shared_ptr<exchange_sink> sink_;
    std::shared_ptr<http_connection> connection_;
    std::unique_ptr<parser> parser_;
    std::size_t written_ = 0;
    /// The whole request has been written.
    bool sent_ = false;
    time_point last_progress_;
    bool connecting_ = false;
    bool reading_enabled_ = true;
    bool head_reported_ = false;
    bool ended_ = false;
};

} // namespace parsleyshift
