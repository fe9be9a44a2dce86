#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/forwarding/http_relay.hpp> // forwarded_request_head

#include <string> // string

using namespace parsleyshift;

namespace
{

namespace http = boost::beast::http;

bool all(std::string_view /*field*/)
{
    return true;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_relay){};

// Guards against a request that reaches its endpoint with another method, target, body length or end-to-end field.
TEST(http_relay, passes_requests_on_unchanged)
{
    http_request asked{http::verb::post, "/a%20b/?x=1&y", 11, "12345"};
    asked.set(http::field::host, "h.example");
    asked.set("X-Own", "value");
    asked.chunked(true);
    const std::string head = forwarded_request_head(asked, all);
    STRCMP_EQUAL("POST /a%20b/?x=1&y HTTP/1.1\r\nHost: h.example\r\nX-Own: value\r\nContent-Length: 5\r\n",
                 head.c_str());
}

// Guards against fields of the caller's connection that would steer the endpoint's.
TEST(http_relay, withholds_fields_of_one_connection)
{
    http_request asked{http::verb::get, "/", 11};
    asked.set(http::field::connection, "close, X-Hop");
    asked.set("X-Hop", "1");
    asked.set(http::field::keep_alive, "timeout=1");
    asked.set(http::field::upgrade, "h2c");
    asked.set(http::field::te, "trailers");
    asked.set(http::field::expect, "100-continue");
    asked.set("X-Own", "value");
    STRCMP_EQUAL("GET / HTTP/1.1\r\nX-Own: value\r\n", forwarded_request_head(asked, all).c_str());
}

TEST(http_relay, frames_answers_for_the_callers_connection)
{
    response_head head;
    head.result(200);
    head.reason("Fine");
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::connection, "keep-alive");
    head.set(http::field::content_length, "77");
    head.set("X-Signature", "s");
    STRCMP_EQUAL("HTTP/1.1 200 Fine\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 forwarded_answer_head(head, {true, 0, true}).c_str());
    const std::string closing = forwarded_answer_head(head, {false, 5, false});
    CHECK(contains(closing, "Content-Length: 5\r\n"));
    CHECK(contains(closing, "Connection: close\r\n"));
    CHECK_FALSE(contains(closing, "77"));
}

// Guards against events that are cut, counted twice or not at all when a piece ends inside of one.
TEST(http_relay, splits_streams_into_whole_events_for_pieces_of_any_size)
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";
    const std::string rest = "id: 4\ndata: e\n";
    const std::string all_bytes = stream + rest;
    for (std::size_t size = 1; size <= all_bytes.size(); ++size)
    {
        event_splitter splitter;
        std::string whole;
        for (std::size_t at = 0; at < all_bytes.size(); at += size)
        {
            whole += splitter.take(std::string_view{all_bytes}.substr(at, size));
        }
        STRCMP_EQUAL(stream.c_str(), whole.c_str());
        STRCMP_EQUAL(rest.c_str(), splitter.rest().c_str());
        LONGS_EQUAL(3, splitter.events());
        STRCMP_EQUAL("3", splitter.last_id().c_str());
    }
}
