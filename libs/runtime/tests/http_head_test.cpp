#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/runtime/http_head.hpp> // http_head_builder

#include <string>  // string
#include <utility> // move

using namespace parsleyshift;
using namespace std::string_literals;

namespace
{

/// Texts that would end a line or a head, or that recipients treat differently.
const std::string unsafe_texts[] = {"a\r\nb: c", "a\r\n\r\nb", "a\r", "a\nb: c", "a\0b"s,
                                    "a\x7f",     "a\x01",      " a",  "a\t"};

bool is_rejected(http_head_builder& head)
{
    const auto finished = std::move(head).finish();
    return finished.has_error() && finished.error().kind == error_kind::invalid_field;
}

} // namespace

TEST_GROUP(http_head){};

// Guards against a text of another system that ends its header field and begins another one, or ends the head.
TEST(http_head, rejects_field_values_that_recipients_would_read_differently)
{
    for (const std::string& value : unsafe_texts)
    {
        http_head_builder head;
        head.request_line("POST", "/x").field("X-First", "1").field("X-Value", value).field("X-Last", "2");
        CHECK_TEXT(is_rejected(head), value.c_str());
    }
}

// Guards against a part other than a value that brings a line of its own into the head.
TEST(http_head, rejects_other_parts_with_unsafe_bytes)
{
    for (const std::string& text : {"a b"s, "a\r\nb: c"s, "a\nb"s, "a\0b"s, ""s})
    {
        http_head_builder field;
        field.field(text, "1");
        CHECK_TEXT(is_rejected(field), text.c_str());
        http_head_builder target;
        target.request_line("GET", text);
        CHECK_TEXT(is_rejected(target), text.c_str());
        http_head_builder method;
        method.request_line(text, "/");
        CHECK_TEXT(is_rejected(method), text.c_str());
    }
    http_head_builder reason;
    reason.status_line(200, "OK\r\nX: y");
    CHECK(is_rejected(reason));
    http_head_builder status;
    status.status_line(0, "OK");
    CHECK(is_rejected(status));
}

// Guards against a check that refuses what HTTP allows.
TEST(http_head, writes_every_valid_part_unchanged)
{
    http_head_builder head;
    head.request_line("POST", "/a%20b/?x=1&y")
        .field("X-Own", "a b\tc, \"d\"")
        .field("X-Empty", "")
        .field("X", "\xc3\xa9");
    STRCMP_EQUAL("POST /a%20b/?x=1&y HTTP/1.1\r\nX-Own: a b\tc, \"d\"\r\nX-Empty: \r\nX: \xc3\xa9\r\n\r\n",
                 std::move(head).finish().value().c_str());
    http_head_builder response;
    response.status_line(404, "Not Found ");
    STRCMP_EQUAL("HTTP/1.1 404 Not Found \r\n\r\n", std::move(response).finish().value().c_str());
}

// Guards against a message that repeats the unsafe bytes or does not name the field.
TEST(http_head, names_the_rejected_part)
{
    http_head_builder head;
    head.field("X-Value", "a\r\nb: c");
    STRCMP_EQUAL("HTTP head: X-Value must not be \"a\\x0d\\x0ab: c\"", std::move(head).finish().error().detail.c_str());
}
