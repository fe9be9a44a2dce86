#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "loopback.hpp"       // scripted_server, refused_address
#include "small_protocol.hpp" // small_protocol

#include <parsleyshift/forwarding/load_reader.hpp> // load_reader

#include <string>  // string
#include <variant> // get_if
#include <vector>  // vector

using namespace parsleyshift;
using namespace parsleyshift::test_support;

namespace
{

/// Feeds the events of a load reader to a function until it says that it has seen enough.
class running_reader
{
  public:
    using look = std::function<bool(const event&, load_reader<small_protocol>&)>;

    explicit running_reader(look seen)
        : seen_(std::move(seen)),
          reader_(
              context_, protocol_, [this](const event& what) { take(what); }, [] {})
    {
    }
    /// @return false when the events have not come in time
    bool run(const watch_endpoint& watched)
    {
        reader_.handle(watched);
        context_.run_for(safety_timeout);
        return finished_;
    }

  private:
    void take(const event& what)
    {
        if (seen_(what, reader_))
        {
            finished_ = true;
            reader_.close();
            context_.stop();
        }
    }

    look seen_;
    small_protocol protocol_;
    asio::io_context context_{1};
    load_reader<small_protocol> reader_;
    bool finished_ = false;
};

} // namespace

TEST_GROUP(load_reader){};

// Guards against a report that is asked for once only, and against a sign of leaving that is lost on the way.
TEST(load_reader, asks_again_until_the_endpoint_leaves)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            for (int reports = 0; from.request(); ++reports)
            {
                const std::string body = reports == 0 ? "ready" : "leaving";
                from.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            }
        });
    std::vector<bool> leaving;
    running_reader reader(
        [&leaving](const event& what, load_reader<small_protocol>& /*reader*/)
        {
            if (const auto* reported = std::get_if<load_reported>(&what))
            {
                leaving.push_back(reported->report.leaving);
                return reported->report.endpoint == endpoint_id{"e"} && reported->report.leaving;
            }
            return false;
        });
    CHECK_TRUE(reader.run({endpoint_id{"e"}, endpoint.address(), true, true}));
    CHECK(leaving == (std::vector<bool>{false, true}));
}

// Guards against an endpoint that refuses or answers badly and is taken for one that has said something.
TEST(load_reader, reports_an_endpoint_that_says_nothing)
{
    scripted_server broken(
        [](scripted_server::connection& from)
        {
            from.request();
            from.send("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
        });
    for (const std::string& address : {broken.address(), refused_address()})
    {
        running_reader reader([](const event& what, load_reader<small_protocol>& /*reader*/)
                              { return std::holds_alternative<load_unavailable>(what); });
        CHECK_TRUE(reader.run({endpoint_id{"e"}, address, true, true}));
    }
}

// Guards against answers that arrive after the watch has ended.
TEST(load_reader, says_nothing_once_the_watch_has_ended)
{
    scripted_server endpoint(
        [](scripted_server::connection& from)
        {
            while (from.request())
            {
                from.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready");
            }
        });
    int reports = 0;
    running_reader reader(
        [&](const event& what, load_reader<small_protocol>& carrier)
        {
            const auto* reported = std::get_if<load_reported>(&what);
            if (reported != nullptr && reported->report.endpoint == endpoint_id{"e"})
            {
                ++reports;
                carrier.handle({endpoint_id{"e"}, {}, true, false});
                carrier.handle({endpoint_id{"other"}, endpoint.address(), true, true});
                return false;
            }
            return reported != nullptr;
        });
    CHECK_TRUE(reader.run({endpoint_id{"e"}, endpoint.address(), true, true}));
    LONGS_EQUAL(1, reports);
}
