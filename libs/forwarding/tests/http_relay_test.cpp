#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/forwarding/http_relay.hpp> // forwarded_request_head

#include <string> // string

using namespace parsleyshift;

namespace
{

namespace http = boost::beast::http;

bool accept_all(std::string_view /*field*/)
{
    return true;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_relay){};

// Guards against a forwarded request with another method, target, body length or end-to-end field than the original.
TEST(http_relay, forwards_method_target_and_fields_unchanged)
{
    http_request request{http::verb::post, "/a%20b/?x=1&y", 11, "12345"};
    request.set(http::field::host, "h.example");
    request.set("X-Own", "value");
    request.chunked(true);
    const std::string head = forwarded_request_head(request, accept_all).finish().value();
    STRCMP_EQUAL("POST /a%20b/?x=1&y HTTP/1.1\r\nHost: h.example\r\nX-Own: value\r\nContent-Length: 5\r\n\r\n",
                 head.c_str());
}

// Guards against fields of the caller's connection that would affect the connection to the endpoint.
TEST(http_relay, drops_connection_specific_fields)
{
    http_request request{http::verb::get, "/", 11};
    request.set(http::field::connection, "close, X-Hop");
    request.set("X-Hop", "1");
    request.set(http::field::keep_alive, "timeout=1");
    request.set(http::field::upgrade, "h2c");
    request.set(http::field::te, "trailers");
    request.set(http::field::expect, "100-continue");
    request.set("X-Own", "value");
    STRCMP_EQUAL("GET / HTTP/1.1\r\nX-Own: value\r\n\r\n",
                 forwarded_request_head(request, accept_all).finish().value().c_str());
}

// Guards against a forwarded response that keeps the framing of the endpoint's connection.
TEST(http_relay, frames_responses_for_the_callers_connection)
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
                 forwarded_response_head(head, {true, 0, true}).value().c_str());
    const std::string closing = forwarded_response_head(head, {false, 5, false}).value();
    CHECK(contains(closing, "Content-Length: 5\r\n"));
    CHECK(contains(closing, "Connection: close\r\n"));
    CHECK_FALSE(contains(closing, "77"));
}

// Guards against events that are cut off, counted twice or not counted when a chunk ends within one.
TEST(http_relay, splits_streams_into_complete_events_for_any_chunk_size)
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";
    const std::string remainder = "id: 4\ndata: e\n";
    const std::string all_bytes = stream + remainder;
    for (std::size_t size = 1; size <= all_bytes.size(); ++size)
    {
        event_splitter splitter;
        std::string complete;
        for (std::size_t at = 0; at < all_bytes.size(); at += size)
        {
            complete += splitter.append(std::string_view{all_bytes}.substr(at, size));
        }
        STRCMP_EQUAL(stream.c_str(), complete.c_str());
        STRCMP_EQUAL(remainder.c_str(), splitter.remainder().c_str());
        LONGS_EQUAL(3, splitter.event_count());
        STRCMP_EQUAL("3", splitter.last_event_id().c_str());
    }
}
