#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/client/caller.hpp> // caller

#include <string> // string, to_string
#include <vector> // vector

using namespace parsleyshift;
using nlohmann::json;

namespace
{

/// Behaviour of the fake instance for one request.
enum class fault
{
    none,
    unreachable,
    /// Rejects the request with queue_full.
    reject,
    /// Breaks the connection.
    break_connection,
    /// Ends the stream with the error shutting_down, after which the generation can be resumed.
    shut_down,
    skip_token,
    repeat_token,
    wrong_count,
    other_generation,
};

std::string event_text(const std::string& name, const json& data)
{
    return "event: " + name + "\ndata: " + data.dump() + "\n\n";
}

/// Fake instances that serve one generation. Each request that is no entry query consumes one element of `faults`.
struct fake_transport
{
    std::vector<fault> faults;
    std::size_t next = 0;
    std::int64_t total = 10;
    std::size_t piece_bytes = 7;
    time_point clock = at_ms(1'000);
    duration waited{0};
    std::vector<std::string> requests;

    result<client_response> call(const std::string& address, const client_request& request)
    {
        requests.push_back(address + " " + request.target);
        if (request.target.starts_with("/v1/entry"))
        {
            return client_response{
                200, json{{"entries", {{{"address", "a:1"}}, {{"address", "b:1"}}}}, {"keep_ms", 5'000}, {"token", "t"}}
                         .dump()};
        }
        const fault now = next_fault();
        if (now == fault::unreachable)
        {
            return make_error(error_kind::no_endpoint, "refused");
        }
        if (now == fault::break_connection)
        {
            return make_error(error_kind::link_broken, "connection reset");
        }
        return now == fault::reject ? rejection() : client_response{200, R"({"outcome":"completed","result":1})"};
    }
    result<client_response> stream(const std::string& address, const client_request& request, const body_sink& sink)
    {
        requests.push_back(address + " " + request.target);
        const fault now = next_fault();
        if (now == fault::unreachable)
        {
            return make_error(error_kind::no_endpoint, "refused");
        }
        if (now == fault::reject)
        {
            return rejection();
        }
        const std::size_t offset_position = request.target.find("offset=");
        const std::int64_t offset =
            offset_position == std::string::npos ? 0 : std::stoll(request.target.substr(offset_position + 7));
        const std::string text = body(offset, now);
        for (std::size_t start = 0; start < text.size(); start += piece_bytes)
        {
            if (!sink(std::string_view{text}.substr(start, piece_bytes)))
            {
                return client_response{200, ""};
            }
        }
        if (now == fault::break_connection)
        {
            return make_error(error_kind::link_broken, "connection reset");
        }
        return client_response{200, ""};
    }
    time_point now() const
    {
        return clock;
    }
    void wait(duration time)
    {
        clock += time;
        waited += time;
    }

  private:
    fault next_fault()
    {
        return next < faults.size() ? faults[next++] : fault::none;
    }
    static client_response rejection()
    {
        return {503, R"({"outcome":"not_run","kind":"queue_full","code":202,"message":"m","retry_after_ms":70})"};
    }
    std::string body(std::int64_t offset, fault now) const
    {
        const bool other_generation = now == fault::other_generation;
        std::string text = event_text("start", {{"generation", other_generation ? "h" : "g"}, {"continuation", "c"}});
        // An interrupted stream still delivers up to two tokens, so that the caller makes progress.
        const bool interrupted = now == fault::break_connection || now == fault::shut_down;
        const std::int64_t end = interrupted ? std::min(offset + 2, total) : total;
        for (std::int64_t token = offset; token < end; ++token)
        {
            const std::int64_t reported_offset = now == fault::skip_token     ? token + 1
                                                 : now == fault::repeat_token ? std::max<std::int64_t>(token - 1, 0)
                                                                              : token;
            text += event_text("tokens", {{"offset", reported_offset}, {"tokens", {std::to_string(token)}}});
        }
        if (now == fault::shut_down)
        {
            return text + event_text("error", {{"outcome", "failed"}, {"kind", "shutting_down"}});
        }
        const std::int64_t count = now == fault::wrong_count ? total - 1 : total;
        return interrupted ? text : text + event_text("end", {{"outcome", "completed"}, {"count", count}});
    }
};

caller_options options_for(const std::string& address)
{
    caller_options options;
    options.addresses = {address};
    options.customer = "a b";
    return options;
}

struct generation_output
{
    caller_answer answer;
    std::vector<std::string> tokens;
};

generation_output generate(fake_transport& transport)
{
    caller<fake_transport> client{transport, options_for("a:1")};
    generation_output output;
    // The callback `started` is not set.
    const token_receiver receiver{{},
                                  [&output](const std::string& token)
                                  {
                                      output.tokens.push_back(token);
                                  }};
    output.answer = client.generate(json{{"prompt", "p"}}, receiver);
    return output;
}

} // namespace

TEST_GROUP(client){};

// Guards against lost, duplicated or reordered tokens when a stream breaks at any position and is resumed at another
// instance.
TEST(client, recoverable_faults_neither_lose_nor_duplicate_tokens)
{
    test_support::check_property("every token arrives once and in order",
                                 []
                                 {
                                     fake_transport transport;
                                     transport.faults =
                                         *rc::gen::resize(5, rc::gen::container<std::vector<fault>>(rc::gen::element(
                                                                 fault::none, fault::unreachable, fault::reject,
                                                                 fault::break_connection, fault::shut_down)));
                                     RC_PRE(transport.faults.size() <= 5);
                                     transport.total = *rc::gen::inRange(0, 20);
                                     transport.piece_bytes = *rc::gen::inRange<std::size_t>(1, 200);
                                     const generation_output output = generate(transport);
                                     RC_ASSERT(output.answer.what == outcome::completed);
                                     RC_ASSERT(static_cast<std::int64_t>(output.tokens.size()) == transport.total);
                                     for (std::size_t index = 0; index < output.tokens.size(); ++index)
                                     {
                                         RC_ASSERT(output.tokens[index] == std::to_string(index));
                                     }
                                 });
}

// Guards against reporting a corrupt stream as complete: tokens are missing or repeated, the count is wrong or the
// resumed stream belongs to another generation.
TEST(client, corrupt_streams_are_reported_as_incomplete)
{
    for (const fault corruption : {fault::skip_token, fault::repeat_token, fault::wrong_count, fault::other_generation})
    {
        fake_transport transport;
        transport.faults = {fault::break_connection, corruption};
        const generation_output output = generate(transport);
        CHECK(output.answer.what == outcome::failed);
        CHECK(output.answer.why->kind == error_kind::incomplete_answer);
    }
}

// Guards against resending a non-idempotent call or order that may have run when its connection broke.
TEST(client, request_with_unknown_outcome_is_resent_only_if_harmless)
{
    for (const repetition resend : {repetition::forbidden, repetition::harmless})
    {
        fake_transport transport;
        transport.faults = {fault::break_connection};
        caller<fake_transport> client{transport, options_for("a:1")};
        const caller_answer answer = client.send({"POST", "/v1/calls", "{}", ""}, resend);
        CHECK(answer.what == (resend == repetition::harmless ? outcome::completed : outcome::unknown));
        LONGS_EQUAL(resend == repetition::harmless ? 2 : 1, answer.tries);
    }
}

// Guards against retrying at the same instance without the requested delay, and against entry queries before the cached
// answer has expired.
TEST(client, rejection_is_retried_at_the_next_instance_and_the_entry_answer_is_cached_until_it_expires)
{
    fake_transport transport;
    transport.faults = {fault::reject};
    caller<fake_transport> client{transport, options_for("seed:1")};
    CHECK(client.send({"POST", "/v1/calls", "{}", ""}, repetition::forbidden).what == outcome::completed);
    CHECK(client.send({"POST", "/v1/calls", "{}", ""}, repetition::forbidden).what == outcome::completed);
    LONGS_EQUAL(70, transport.waited.count());
    const std::vector<std::string> expected{"seed:1 /v1/entry?customer=a%20b&zone=", "a:1 /v1/calls", "b:1 /v1/calls",
                                            "b:1 /v1/calls"};
    CHECK(transport.requests == expected);
    transport.clock += duration{5'000};
    transport.requests.clear();
    client.send({"POST", "/v1/calls", "{}", ""}, repetition::forbidden);
    CHECK(transport.requests.front().find("/v1/entry") != std::string::npos);
}

// Guards against endless retries, and against reporting unreachable instances as a rejection.
TEST(client, tries_are_limited_and_unreachable_instances_are_reported)
{
    fake_transport transport;
    transport.faults = std::vector<fault>(100, fault::unreachable);
    caller<fake_transport> client{transport, options_for("a:1")};
    const caller_answer answer = client.send({"POST", "/v1/calls", "{}", ""}, repetition::harmless);
    CHECK(answer.unreachable);
    CHECK(answer.what == outcome::not_run);
    LONGS_EQUAL(6, answer.tries);
}

// Guards against unlimited memory use for an event that never ends.
TEST(client, event_size_is_limited)
{
    event_stream_parser parser;
    const std::string piece(event_stream_parser::max_event_bytes, 'x');
    const auto sink = [](const stream_event&)
    {
        return true;
    };
    CHECK(parser.feed("data: ", sink));
    CHECK_FALSE(parser.feed(piece, sink));
}
