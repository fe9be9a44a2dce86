#include <parsleyshift/test_support/property.hpp> // CppUTest

#include <parsleyshift/client/client_connection.hpp> // client_connection

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

/// Answers one request after the other with given bytes; an empty text closes the connection instead.
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
    /// @brief Connections that were accepted; read after wait().
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
        boost::system::error_code failed;
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failed);
        if (failed)
        {
            return false;
        }
        requests_.push_back(request);
        boost::asio::write(socket, boost::asio::buffer(answer), failed);
        return !failed && answer.find("HTTP") != std::string::npos;
    }

    std::vector<std::string> answers_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string address_;
    int connections_ = 0;
    std::vector<std::string> requests_;
    std::thread thread_;
};

constexpr duration stall{20'000};

} // namespace

TEST_GROUP(client_connection){};

// Guards against a new connection for each call, and against headers that the daemon needs.
TEST(client_connection, keeps_its_connection_and_sends_the_key)
{
    const std::string fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server{{fine, fine}};
    client_connection client{server.address(), stall};
    STRCMP_EQUAL("ok", client.call({"GET", "/a", "", "secret"}).value().body.c_str());
    STRCMP_EQUAL("ok", client.call({"GET", "/b", "", ""}).value().body.c_str());
    LONGS_EQUAL(1, server.connections());
    CHECK(server.requests()[0].find("Authorization: Bearer secret\r\n") != std::string::npos);
    CHECK(server.requests()[1].find("Authorization") == std::string::npos);
}

// Guards against telling `may have run` and `did not run` wrongly, on which resending depends.
TEST(client_connection, tells_a_refused_connection_from_a_broken_one)
{
    std::string unused;
    {
        scripted_server server{{""}};
        unused = server.address();
        client_connection client{server.address(), stall};
        CHECK(client.call({"POST", "/a", "{}", ""}).error().kind == error_kind::link_broken);
    }
    client_connection client{unused, stall};
    CHECK(client.call({"POST", "/a", "{}", ""}).error().kind == error_kind::no_endpoint);
    client_connection wrong{"not an address", stall};
    CHECK(wrong.call({}).error().kind == error_kind::no_endpoint);
}

// Guards against a stream that ends without its last chunk and looks whole.
TEST(client_connection, a_stream_that_is_cut_is_an_error)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    for (const bool cut : {false, true})
    {
        scripted_server server{{head + "3\r\nabc\r\n" + (cut ? "" : "0\r\n\r\n")}};
        client_connection client{server.address(), stall};
        std::string body;
        const auto answer = client.stream({"GET", "/", "", ""},
                                          [&body](std::string_view piece)
                                          {
                                              body += piece;
                                              return true;
                                          });
        STRCMP_EQUAL("abc", body.c_str());
        CHECK(answer.has_value() != cut);
    }
}

// Guards against names that break the path of a request.
TEST(client_connection, escapes_names)
{
    STRCMP_EQUAL("a%20b%2F%C3%A1~", url_escape("a b/\xc3\xa1~").c_str());
}
