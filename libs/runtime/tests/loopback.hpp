#pragma once

#include <parsleyshift/runtime/daemon_runtime.hpp> // daemon_runtime

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp
#include <boost/asio/read.hpp>       // read
#include <boost/asio/read_until.hpp> // read_until
#include <boost/asio/write.hpp>      // write

#include <sys/socket.h> // setsockopt
#include <sys/time.h>   // timeval

#include <chrono>             // seconds
#include <condition_variable> // condition_variable
#include <deque>              // deque
#include <functional>         // function
#include <mutex>              // mutex
#include <optional>           // optional
#include <stdexcept>          // runtime_error
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

namespace parsleyshift::test_support
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Makes a test that would hang fail instead. No check depends on its length.
inline constexpr std::chrono::seconds safety_timeout{60};

/// Address of a port on the loopback interface.
inline tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::make_address_v4("127.0.0.1"), port};
}

/// Sets the receive and send timeouts of a socket to safety_timeout.
inline void set_socket_timeouts(tcp::socket& socket)
{
    const timeval timeout{safety_timeout.count(), 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

/// A blocking client connection. Its members throw when the connection fails.
class client
{
  public:
    /// `receive_buffer` is the socket buffer size in bytes; 0 keeps the system default.
    explicit client(std::uint16_t port, int receive_buffer = 0) : socket_(context_)
    {
        socket_.open(tcp::v4());
        if (receive_buffer > 0)
        {
            socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
        }
        socket_.connect(loopback(port));
        set_socket_timeouts(socket_);
    }
    void send(const std::string& bytes)
    {
        asio::write(socket_, asio::buffer(bytes));
    }
    /// Reads up to and including the delimiter.
    std::string read_until(const std::string& delimiter)
    {
        const std::size_t size = asio::read_until(socket_, asio::dynamic_buffer(input_), delimiter);
        return take(size);
    }
    std::string read_exactly(std::size_t size)
    {
        if (input_.size() < size)
        {
            asio::read(socket_, asio::dynamic_buffer(input_), asio::transfer_exactly(size - input_.size()));
        }
        return take(size);
    }
    /// Reads until the peer closes or resets the connection.
    std::string read_all()
    {
        boost::system::error_code end;
        asio::read(socket_, asio::dynamic_buffer(input_), end);
        if (end != asio::error::eof && end != asio::error::connection_reset)
        {
            throw std::runtime_error("the connection was not closed: " + end.message());
        }
        return take(input_.size());
    }
    /// Reads until the connection ends. @return true when the peer has reset it
    bool read_until_reset()
    {
        boost::system::error_code end;
        asio::read(socket_, asio::dynamic_buffer(input_), end);
        return end == asio::error::connection_reset;
    }
    /// Reads one response, header included; its body is empty without a Content-Length.
    std::string read_answer()
    {
        std::string head = read_until("\r\n\r\n");
        const auto at = head.find("Content-Length: ");
        return head + read_exactly(at == std::string::npos ? 0 : std::stoul(head.substr(at + 16)));
    }
    /// Reads one chunk of a chunked body. The last chunk is empty.
    std::string read_chunk()
    {
        const std::size_t size = std::stoul(read_until("\r\n"), nullptr, 16);
        std::string chunk = read_exactly(size + 2);
        chunk.resize(size);
        return chunk;
    }
    /// Reads and discards the header of a chunked response and its first chunk.
    void skip_header_and_first_chunk()
    {
        read_until("\r\n\r\n");
        read_chunk();
    }
    void close()
    {
        socket_.close();
    }

  private:
    std::string take(std::size_t size)
    {
        std::string taken = input_.substr(0, size);
        input_.erase(0, size);
        return taken;
    }

    asio::io_context context_;
    tcp::socket socket_;
    std::string input_;
};

/// Composes a request.
inline std::string http_request(const std::string& method, const std::string& target, const std::string& body = {},
                                const std::string& headers = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: test\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Composes a response with a Content-Length, status 200 unless given.
inline std::string http_ok(const std::string& body, const std::string& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server that passes each connection to a script function. Serves one connection at a time, on its own thread.
class scripted_server
{
  public:
    /// Server side of one connection, as the script uses it.
    class connection
    {
      public:
        explicit connection(tcp::socket& socket) : socket_(socket) {}

        /// Reads the next request, header included. Returns nothing when the peer closes the connection.
        std::optional<std::string> request()
        {
            boost::system::error_code end;
            const std::size_t head = asio::read_until(socket_, asio::dynamic_buffer(input_), "\r\n\r\n", end);
            if (end)
            {
                return std::nullopt;
            }
            const auto at = input_.substr(0, head).find("Content-Length: ");
            const std::size_t size = head + (at == std::string::npos ? 0 : std::stoul(input_.substr(at + 16)));
            if (input_.size() < size)
            {
                asio::read(socket_, asio::dynamic_buffer(input_), asio::transfer_exactly(size - input_.size()), end);
            }
            std::string request = input_.substr(0, size);
            input_.erase(0, size);
            return request;
        }
        /// Sends bytes; errors are ignored, because the peer may have closed the connection.
        void send(const std::string& bytes)
        {
            boost::system::error_code ignored;
            asio::write(socket_, asio::buffer(bytes), ignored);
        }
        /// Resets the connection; the peer may lose bytes that it has not read yet.
        void reset()
        {
            socket_.set_option(asio::socket_base::linger(true, 0));
            socket_.close();
        }
        /// Sends the header of a chunked response.
        void begin_chunked()
        {
            send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        /// Sends one chunk.
        void send_chunk(const std::string& text)
        {
            char size[20] = {};
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            send(size + text + "\r\n");
        }
        /// Sends the last chunk.
        void end_chunked()
        {
            send("0\r\n\r\n");
        }

      private:
        tcp::socket& socket_;
        std::string input_;
    };

    explicit scripted_server(std::function<void(connection&)> script)
        : acceptor_(context_, loopback(0)),
          port_(acceptor_.local_endpoint().port()),
          thread_([this, script] { run(script); })
    {
    }
    ~scripted_server()
    {
        stopping_ = true;
        // Ends the connection that is still open, and unblocks accept() with a further connection.
        boost::system::error_code ignored;
        {
            const std::lock_guard lock(mutex_);
            if (open_ != nullptr)
            {
                open_->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        asio::io_context context;
        tcp::socket unblocking_socket(context);
        unblocking_socket.connect(loopback(port_), ignored);
        thread_.join();
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

  private:
    void run(const std::function<void(connection&)>& script)
    {
        while (!stopping_)
        {
            tcp::socket socket(context_);
            boost::system::error_code failure;
            acceptor_.accept(socket, failure);
            if (failure || stopping_)
            {
                continue;
            }
            set_socket_timeouts(socket);
            {
                const std::lock_guard lock(mutex_);
                open_ = &socket;
            }
            connection current(socket);
            script(current);
            const std::lock_guard lock(mutex_);
            open_ = nullptr;
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    tcp::socket* open_ = nullptr;
    std::thread thread_;
};

/// Returns an address that refuses connections: a port that has been free a moment ago.
inline std::string refused_address()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, loopback(0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// A decider that records events and reacts to each with a script. Tests add actions with perform().
class fake_decider
{
  public:
    using script = std::function<void(const event&, std::vector<action>&)>;

    explicit fake_decider(script react = [](const event&, std::vector<action>&) {}) : react_(std::move(react)) {}

    void handle(const event& what, time_point /*now*/, std::vector<action>& out)
    {
        const std::lock_guard lock(mutex_);
        if (std::holds_alternative<stop_requested>(what))
        {
            for (action& each : queued_)
            {
                out.push_back(std::move(each));
            }
            queued_.clear();
            return;
        }
        events_.push_back(what);
        arrived_.notify_all();
        react_(what, out);
    }
    [[nodiscard]] time_point next_deadline() const
    {
        return never;
    }
    [[nodiscard]] revision highest_revision() const
    {
        return revision{77};
    }
    [[nodiscard]] std::string key_sha256(const customer_id& customer) const
    {
        // SHA-256 of "secret".
        return customer == customer_id{"guarded"} ? "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
                                                  : "";
    }

    /// Makes the decision thread return actions: request_stop() sends it stop_requested, on which handle() returns
    /// them.
    template <class Daemon>
    void perform(Daemon& instance, std::vector<action> actions)
    {
        {
            const std::lock_guard lock(mutex_);
            for (action& each : actions)
            {
                queued_.push_back(std::move(each));
            }
        }
        instance.request_stop();
    }
    /// Removes and returns the oldest recorded event of a type; waits for one if there is none. Throws after
    /// safety_timeout.
    template <class Event>
    Event expect()
    {
        std::unique_lock lock(mutex_);
        std::optional<Event> found;
        const bool in_time = arrived_.wait_for(lock, safety_timeout,
                                               [this, &found]
                                               {
                                                   found = take<Event>();
                                                   return found.has_value();
                                               });
        if (!in_time)
        {
            throw std::runtime_error("timed out waiting for the expected event");
        }
        return std::move(*found);
    }
    /// Like expect() for the oldest event of either type.
    template <class First, class Second>
    event expect_any()
    {
        std::unique_lock lock(mutex_);
        std::optional<event> found;
        const auto take_either = [this, &found]
        {
            for (auto at = events_.begin(); at != events_.end(); ++at)
            {
                if (std::holds_alternative<First>(*at) || std::holds_alternative<Second>(*at))
                {
                    found = std::move(*at);
                    events_.erase(at);
                    return true;
                }
            }
            return false;
        };
        if (!arrived_.wait_for(lock, safety_timeout, take_either))
        {
            throw std::runtime_error("timed out waiting for either of the expected events");
        }
        return std::move(*found);
    }
    /// Returns whether an event of a type is recorded, and removes the oldest match.
    template <class Event>
    bool take_if_recorded()
    {
        const std::lock_guard lock(mutex_);
        return take<Event>().has_value();
    }

  private:
    template <class Event>
    std::optional<Event> take()
    {
        for (auto at = events_.begin(); at != events_.end(); ++at)
        {
            if (const auto* match = std::get_if<Event>(&*at))
            {
                std::optional<Event> taken = *match;
                events_.erase(at);
                return taken;
            }
        }
        return std::nullopt;
    }

    script react_;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<event> events_;
    std::vector<action> queued_;
};

/// Settings of a daemon that listens on free loopback ports.
inline daemon_settings test_settings()
{
    daemon_settings settings;
    settings.instance = instance_id{"one"};
    settings.caller_address = "127.0.0.1:0";
    settings.peer_address = "127.0.0.1:0";
    settings.operator_key = "operators";
    settings.log_level = "error";
    return settings;
}

inline const std::string operator_header = "Authorization: Bearer operators\r\n";

/// A daemon with a fake decider. The destructor stops it.
class running_daemon
{
  public:
    explicit running_daemon(fake_decider& decider, const daemon_settings& settings = test_settings(),
                            daemon_options options = {})
        : decider_(decider), instance_(settings, options, decider)
    {
        if (const auto begun = instance_.start(); begun.has_error())
        {
            throw std::runtime_error(begun.error().message());
        }
    }
    ~running_daemon()
    {
        stop();
    }
    running_daemon(const running_daemon&) = delete;
    running_daemon& operator=(const running_daemon&) = delete;
    running_daemon(running_daemon&&) = delete;
    running_daemon& operator=(running_daemon&&) = delete;

    /// Makes the decision thread return actions.
    void perform(std::vector<action> actions)
    {
        decider_.perform(instance_, std::move(actions));
    }
    /// Stops the daemon and waits for its end.
    void stop()
    {
        perform({stop_complete{}});
        instance_.wait();
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return instance_.caller_port();
    }
    [[nodiscard]] std::uint16_t peer_port() const
    {
        return instance_.peer_port();
    }
    /// Returns the value of a sample of GET /metrics, or -1 when there is none. `line` is its name with labels.
    double metric(const std::string& line)
    {
        client operator_client(port());
        operator_client.send(http_request("GET", "/metrics", {}, operator_header));
        const std::string text = operator_client.read_answer();
        const auto at = text.find("\n" + line + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + line.size() + 2));
    }

  private:
    fake_decider& decider_;
    daemon_runtime<fake_decider> instance_;
};

} // namespace parsleyshift::test_support
