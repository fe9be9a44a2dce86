#pragma once

#include <boost/asio/ip/tcp.hpp> // tcp
#include <boost/beast/http.hpp>  // request, string_body
#include <nlohmann/json.hpp>     // json

#include <cstdint>    // int64_t
#include <functional> // function
#include <string>     // string

namespace parsleyshift::standins
{

/// @brief One request and the means to answer it; used on the connection's own thread.
class exchange
{
  public:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    exchange(boost::asio::ip::tcp::socket& socket, request_type request);

    [[nodiscard]] std::string method() const;
    /// @brief The path without the query.
    [[nodiscard]] const std::string& path() const noexcept
    {
        return path_;
    }
    [[nodiscard]] bool is(const std::string& method, const std::string& path) const
    {
        return this->method() == method && path_ == path;
    }
    /// @brief Text after a prefix of the path, or nothing when the path does not start with it.
    [[nodiscard]] std::string path_after(const std::string& prefix) const;
    /// @brief Value of a query parameter, or the fallback.
    [[nodiscard]] std::string query(const std::string& name, const std::string& fallback = "") const;
    [[nodiscard]] std::int64_t query_number(const std::string& name, std::int64_t fallback) const;
    /// @brief The body as an object; null when it is not one.
    [[nodiscard]] nlohmann::json body() const;

    void reply(unsigned status, const nlohmann::json& body);
    /// @brief Starts a chunked body of JSON lines. @return false when the peer is gone
    bool begin_lines();
    bool line(const nlohmann::json& value);
    void end_lines();
    /// @brief Closes the connection without an answer.
    void drop();

    [[nodiscard]] bool usable() const noexcept
    {
        return usable_;
    }

  private:
    bool write(const std::string& text);

    boost::asio::ip::tcp::socket& socket_;
    request_type request_;
    std::string path_;
    bool usable_ = true;
};

/// @brief What a stand-in does with a request and with the leave signal.
struct server_hooks
{
    std::function<void(exchange&)> handle;
    /// Called with the bound address before the first request is accepted.
    std::function<void(const std::string& address)> ready;
    /// Called on SIGUSR1.
    std::function<void()> leave;
};

/// @brief Serves HTTP/1.1 with keep-alive, one thread for each connection, until SIGTERM or SIGINT.
///
/// At most 256 connections at a time, 8 MiB a body, 60 s idle. Prints `NAME listening on IP:PORT` when ready.
/// @param address "ip:port"; port 0 takes a free port
/// @return exit code of the process
int serve(const std::string& name, const std::string& address, const server_hooks& hooks);

/// @brief Milliseconds since the epoch.
std::int64_t now_ms();

} // namespace parsleyshift::standins
