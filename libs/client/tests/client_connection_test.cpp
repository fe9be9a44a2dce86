#include <parsleyshift/test_support/property.hpp> // CppUTest

#include <parsleyshift/client/client_connection.hpp> // client_connection
#include <parsleyshift/core/http_status.hpp>         // max_interim_responses

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp
#include <boost/asio/read_until.hpp> // read_until
#include <boost/asio/write.hpp>      // write

#include <string> // string
#include <thread> // thread
#include <vector> // vector

using namespace parsleyshift;
using boost::asio::ip::tcp;

namespace
{

/// Answers each request with the next text of `answers`. A text without "HTTP" closes the connection.
class scripted_server
{
  public:
    explicit scripted_server(std::vector<std::string> answers)
        : answers_(std::move(answers)),
          acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())),
          thread_([this] { run(); })
    {
    }
    ~scripted_server()
    {
        thread_.join();
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] const std::string& address() const
    {
        return address_;
    }
    /// @brief Number of accepted connections.
    [[nodiscard]] int connections() const
    {
        return connections_;
    }
    [[nodiscard]] const std::vector<std::string>& requests() const
    {
        return requests_;
    }

  private:
    void run()
    {
        std::size_t next = 0;
        while (next < answers_.size())
        {
            tcp::socket socket = acceptor_.accept();
            ++connections_;
            while (next < answers_.size() && serve(socket, answers_[next]))
            {
                ++next;
            }
            next += next < answers_.size() && answers_[next].find("HTTP") == std::string::npos ? 1 : 0;
        }
    }
    bool serve(tcp::socket& socket, const std::string& answer)
    {
        boost::system::error_code ec;
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
        if (ec)
        {
            return false;
        }
        requests_.push_back(request);
        boost::asio::write(socket, boost::asio::buffer(answer), ec);
        return !ec && answer.find("HTTP") != std::string::npos;
    }

    std::vector<std::string> answers_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string address_;
    int connections_ = 0;
    std::vector<std::string> requests_;
    std::thread thread_;
};

constexpr duration operation_timeout{20'000};

} // namespace

TEST_GROUP(client_connection){};

// Guards against a new connection for each call, and against a missing or unwanted Authorization header.
TEST(client_connection, reuses_its_connection_and_sends_the_bearer_token)
{
    const std::string ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server{{ok_response, ok_response}};
    client_connection client{server.address(), operation_timeout};
    STRCMP_EQUAL("ok", client.call({"GET", "/a", "", "secret"}).value().body.c_str());
    STRCMP_EQUAL("ok", client.call({"GET", "/b", "", ""}).value().body.c_str());
    LONGS_EQUAL(1, server.connections());
    CHECK(server.requests()[0].find("Authorization: Bearer secret\r\n") != std::string::npos);
    CHECK(server.requests()[1].find("Authorization") == std::string::npos);
}

// Guards against confusing requests that were not sent with requests that may have run, since only the former are safe
// to resend.
TEST(client_connection, distinguishes_a_refused_from_a_broken_connection)
{
    std::string closed_address;
    {
        scripted_server server{{""}};
        closed_address = server.address();
        client_connection client{server.address(), operation_timeout};
        CHECK(client.call({"POST", "/a", "{}", ""}).error().kind == error_kind::link_broken);
    }
    client_connection client{closed_address, operation_timeout};
    CHECK(client.call({"POST", "/a", "{}", ""}).error().kind == error_kind::no_endpoint);
    client_connection invalid{"not an address", operation_timeout};
    CHECK(invalid.call({}).error().kind == error_kind::no_endpoint);
}

// Guards against reporting success for a stream that ends without its last chunk.
TEST(client_connection, truncated_stream_is_an_error)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    for (const bool truncated : {false, true})
    {
        scripted_server server{{head + "3\r\nabc\r\n" + (truncated ? "" : "0\r\n\r\n")}};
        client_connection client{server.address(), operation_timeout};
        std::string body;
        const auto answer = client.stream({"GET", "/", "", ""},
                                          [&body](std::string_view piece)
                                          {
                                              body += piece;
                                              return true;
                                          });
        STRCMP_EQUAL("abc", body.c_str());
        CHECK(answer.has_value() != truncated);
    }
}

// Guards against a response with a broken head that passes for an answer, and its connection for one in order.
TEST(client_connection, broken_heads_are_broken_connections)
{
    const std::string end = "Content-Length: 0\r\n\r\n";
    for (const std::string head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 101 Switching Protocols\r\n",
          "HTTP/1.1 200 OK\r\nX : 1\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
          "HTTP/1.1 200 OK\r\nno colon\r\n"})
    {
        for (const bool streamed : {false, true})
        {
            scripted_server server{{head + end}};
            client_connection client{server.address(), operation_timeout};
            const client_request request{"POST", "/a", "{}", ""};
            const auto answer = streamed ? client.stream(request, [](std::string_view /*piece*/) { return true; })
                                         : client.call(request);
            CHECK_TEXT(answer.has_error(), head.c_str());
            CHECK(answer.error().kind == error_kind::link_broken);
        }
    }
}

// Guards against an interim response that passes for the answer, so that the answer passes for that of the next call.
TEST(client_connection, reads_the_final_response_after_interim_ones)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string final_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server{{"HTTP/1.1 100 Continue\r\n\r\n" + interim + final_response, final_response}};
    client_connection client{server.address(), operation_timeout};
    // The server ends after two calls.
    const std::vector answers{client.call({"POST", "/a", "{}", ""}), client.call({"POST", "/b", "{}", ""})};
    for (const auto& answer : answers)
    {
        CHECK(answer.has_value());
        LONGS_EQUAL(200, answer.value().status);
        STRCMP_EQUAL("ok", answer.value().body.c_str());
    }
    std::string too_many;
    for (int each = 0; each <= max_interim_responses; ++each)
    {
        too_many += interim;
    }
    scripted_server faulty{{too_many + final_response}};
    client_connection other{faulty.address(), operation_timeout};
    CHECK(other.call({"POST", "/a", "{}", ""}).error().kind == error_kind::link_broken);
}

// Guards against names with special characters that corrupt the target of a request.
TEST(client_connection, percent_encodes_names)
{
    STRCMP_EQUAL("a%20b%2F%C3%A1~", url_escape("a b/\xc3\xa1~").c_str());
}
