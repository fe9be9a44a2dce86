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

/// Passes the events of a load reader to a function until it returns true.
class running_reader
{
  public:
    using predicate = std::function<bool(const event&, load_reader<small_protocol>&)>;

    explicit running_reader(predicate finished)
        : is_finished_(std::move(finished)),
          reader_(
              context_, protocol_, [this](const event& what) { on_event(what); }, [] {})
    {
    }
    /// @return false when the function has not returned true in time
    template <class Action = watch_endpoint>
    bool run(const Action& requested)
    {
        reader_.handle(requested);
        context_.run_for(safety_timeout);
        return finished_;
    }

  private:
    void on_event(const event& what)
    {
        if (is_finished_(what, reader_))
        {
            finished_ = true;
            reader_.close();
            context_.stop();
        }
    }

    predicate is_finished_;
    small_protocol protocol_;
    asio::io_context context_{1};
    load_reader<small_protocol> reader_;
    bool finished_ = false;
};

/// Returns the result of a probe.
probe_result result_of_probe(const std::string& address)
{
    probe_result result = probe_result::unknown;
    running_reader reader(
        [&result](const event& what, load_reader<small_protocol>& /*reader*/)
        {
            const auto* probed = std::get_if<endpoint_probed>(&what);
            result = probed == nullptr ? result : probed->result;
            return probed != nullptr && probed->endpoint == endpoint_id{"e"} && probed->attempt == attempt_id{7};
        });
    CHECK_TRUE(reader.run(probe_endpoint{endpoint_id{"e"}, address, attempt_id{7}}));
    return result;
}

/// A server that sends one answer on each connection.
scripted_server answering(const std::string& answer)
{
    return scripted_server(
        [answer](scripted_server::connection& from)
        {
            from.request();
            from.send(answer);
        });
}

} // namespace

TEST_GROUP(load_reader){};

// Guards against a report that is requested only once, and against a leaving state that does not reach the core.
TEST(load_reader, polls_until_the_endpoint_leaves)
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

// Guards against a refused connection or an error status that counts as a load report.
TEST(load_reader, reports_an_endpoint_without_a_load_report)
{
    const scripted_server broken = answering("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
    const scripted_server invalid = answering("HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nready");
    for (const std::string& address : {broken.address(), invalid.address(), refused_address()})
    {
        running_reader reader([](const event& what, load_reader<small_protocol>& /*reader*/)
                              { return std::holds_alternative<load_unavailable>(what); });
        CHECK_TRUE(reader.run({endpoint_id{"e"}, address, true, true}));
    }
}

// Guards against events from responses that arrive after the watch has ended.
TEST(load_reader, emits_no_events_after_the_watch_has_ended)
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
        [&](const event& what, load_reader<small_protocol>& active_reader)
        {
            const auto* reported = std::get_if<load_reported>(&what);
            if (reported != nullptr && reported->report.endpoint == endpoint_id{"e"})
            {
                ++reports;
                active_reader.handle({endpoint_id{"e"}, {}, true, false});
                active_reader.handle({endpoint_id{"other"}, endpoint.address(), true, true});
                return false;
            }
            return reported != nullptr;
        });
    CHECK_TRUE(reader.run({endpoint_id{"e"}, endpoint.address(), true, true}));
    LONGS_EQUAL(1, reports);
}

// Guards against a dead endpoint that is taken for a live one, or the other way round.
TEST(load_reader, tells_whether_the_process_of_an_endpoint_runs)
{
    const scripted_server endpoint = answering("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    CHECK(result_of_probe(endpoint.address()) == probe_result::alive);
    CHECK(result_of_probe(refused_address()) == probe_result::refused);
}

// Guards against a broken answer that counts as none, so that the links seem lost, or as that of a live process.
TEST(load_reader, tells_a_broken_answer_from_none)
{
    for (const std::string answer : {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
                                     "HTTP/1.1 200 OK\r\nX y: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n"})
    {
        const scripted_server endpoint = answering(answer);
        CHECK_TEXT(result_of_probe(endpoint.address()) == probe_result::malformed, answer.c_str());
    }
    const scripted_server closing = answering("");
    CHECK(result_of_probe(closing.address()) == probe_result::unknown);
}
