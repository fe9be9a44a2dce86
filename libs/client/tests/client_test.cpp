#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/client/caller.hpp> // caller

#include <string> // string, to_string
#include <vector> // vector

using namespace parsleyshift;
using nlohmann::json;

namespace
{

/// What the fake instance does with one request.
enum class fault
{
    none,
    unreachable,
    refuse,
    cut,
    hand_over,
    skip_token,
    repeat_token,
    wrong_count,
    other_generation,
};

std::string event_text(const std::string& name, const json& data)
{
    return "event: " + name + "\ndata: " + data.dump() + "\n\n";
}

/// Instances that hold one generation; the faults are used up one request after the other.
struct fake_transport
{
    std::vector<fault> faults;
    std::size_t next = 0;
    std::int64_t total = 10;
    std::size_t piece_bytes = 7;
    time_point clock = at_ms(1'000);
    duration waited{0};
    std::vector<std::string> asked;

    result<client_response> call(const std::string& address, const client_request& request)
    {
        asked.push_back(address + " " + request.target);
        if (request.target.starts_with("/v1/entry"))
        {
            return client_response{
                200, json{{"entries", {{{"address", "a:1"}}, {{"address", "b:1"}}}}, {"keep_ms", 5'000}, {"token", "t"}}
                         .dump()};
        }
        const fault now = take_fault();
        if (now == fault::unreachable)
        {
            return make_error(error_kind::no_endpoint, "refused");
        }
        if (now == fault::cut)
        {
            return make_error(error_kind::link_broken, "cut");
        }
        return now == fault::refuse ? refusal() : client_response{200, R"({"outcome":"completed","result":1})"};
    }
    result<client_response> stream(const std::string& address, const client_request& request, const body_sink& sink)
    {
        asked.push_back(address + " " + request.target);
        const fault now = take_fault();
        if (now == fault::unreachable)
        {
            return make_error(error_kind::no_endpoint, "refused");
        }
        if (now == fault::refuse)
        {
            return refusal();
        }
        const std::size_t mark = request.target.find("offset=");
        const std::int64_t offset = mark == std::string::npos ? 0 : std::stoll(request.target.substr(mark + 7));
        const std::string text = body(offset, now);
        for (std::size_t start = 0; start < text.size(); start += piece_bytes)
        {
            if (!sink(std::string_view{text}.substr(start, piece_bytes)))
            {
                return client_response{200, ""};
            }
        }
        if (now == fault::cut)
        {
            return make_error(error_kind::link_broken, "cut");
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
    fault take_fault()
    {
        return next < faults.size() ? faults[next++] : fault::none;
    }
    static client_response refusal()
    {
        return {503, R"({"outcome":"not_run","kind":"queue_full","code":202,"message":"m","retry_after_ms":70})"};
    }
    std::string body(std::int64_t offset, fault now) const
    {
        const bool other = now == fault::other_generation;
        std::string text = event_text("start", {{"generation", other ? "h" : "g"}, {"continuation", "c"}});
        // A cut or handed-over stream still brings two tokens, so that the caller makes progress.
        const bool partly = now == fault::cut || now == fault::hand_over;
        const std::int64_t end = partly ? std::min(offset + 2, total) : total;
        for (std::int64_t token = offset; token < end; ++token)
        {
            const std::int64_t stated = now == fault::skip_token     ? token + 1
                                        : now == fault::repeat_token ? std::max<std::int64_t>(token - 1, 0)
                                                                     : token;
            text += event_text("tokens", {{"offset", stated}, {"tokens", {std::to_string(token)}}});
        }
        if (now == fault::hand_over)
        {
            return text + event_text("error", {{"outcome", "failed"}, {"kind", "shutting_down"}});
        }
        const std::int64_t count = now == fault::wrong_count ? total - 1 : total;
        return partly ? text : text + event_text("end", {{"outcome", "completed"}, {"count", count}});
    }
};

caller_options options_for(const std::string& address)
{
    caller_options options;
    options.addresses = {address};
    options.customer = "a b";
    return options;
}

struct generated
{
    caller_answer answer;
    std::vector<std::string> tokens;
};

generated generate(fake_transport& transport)
{
    caller<fake_transport> client{transport, options_for("a:1")};
    generated made;
    const token_receiver sink{{},
                              [&made](const std::string& token)
                              {
                                  made.tokens.push_back(token);
                              }};
    made.answer = client.generate(json{{"prompt", "p"}}, sink);
    return made;
}

} // namespace

TEST_GROUP(client){};

// Guards against lost, doubled or reordered tokens when streams break at any place and are resumed elsewhere.
TEST(client, faults_that_can_be_survived_lose_and_double_no_token)
{
    test_support::check_property(
        "every token arrives once and in order",
        []
        {
            fake_transport transport;
            transport.faults =
                *rc::gen::resize(5, rc::gen::container<std::vector<fault>>(rc::gen::element(
                                        fault::none, fault::unreachable, fault::refuse, fault::cut, fault::hand_over)));
            RC_PRE(transport.faults.size() <= 5);
            transport.total = *rc::gen::inRange(0, 20);
            transport.piece_bytes = *rc::gen::inRange<std::size_t>(1, 200);
            const generated made = generate(transport);
            RC_ASSERT(made.answer.what == outcome::completed);
            RC_ASSERT(static_cast<std::int64_t>(made.tokens.size()) == transport.total);
            for (std::size_t index = 0; index < made.tokens.size(); ++index)
            {
                RC_ASSERT(made.tokens[index] == std::to_string(index));
            }
        });
}

// Guards against a client that shows a damaged answer as complete.
TEST(client, damaged_streams_are_never_complete)
{
    for (const fault damage : {fault::skip_token, fault::repeat_token, fault::wrong_count, fault::other_generation})
    {
        fake_transport transport;
        transport.faults = {fault::cut, damage};
        const generated made = generate(transport);
        CHECK(made.answer.what == outcome::failed);
        CHECK(made.answer.why->kind == error_kind::incomplete_answer);
    }
}

// Guards against resending an order or call that may have run.
TEST(client, unknown_fate_is_sent_again_only_when_harmless)
{
    for (const repetition again : {repetition::forbidden, repetition::harmless})
    {
        fake_transport transport;
        transport.faults = {fault::cut};
        caller<fake_transport> client{transport, options_for("a:1")};
        const caller_answer answer = client.send({"POST", "/v1/calls", "{}", ""}, again);
        CHECK(answer.what == (again == repetition::harmless ? outcome::completed : outcome::unknown));
        LONGS_EQUAL(again == repetition::harmless ? 2 : 1, answer.tries);
    }
}

// Guards against hammering one instance, and against asking for entries more often than the answer says.
TEST(client, refusals_go_to_the_next_entry_after_the_stated_time)
{
    fake_transport transport;
    transport.faults = {fault::refuse};
    caller<fake_transport> client{transport, options_for("seed:1")};
    CHECK(client.send({"POST", "/v1/calls", "{}", ""}, repetition::forbidden).what == outcome::completed);
    CHECK(client.send({"POST", "/v1/calls", "{}", ""}, repetition::forbidden).what == outcome::completed);
    LONGS_EQUAL(70, transport.waited.count());
    const std::vector<std::string> expected{"seed:1 /v1/entry?customer=a%20b&zone=", "a:1 /v1/calls", "b:1 /v1/calls",
                                            "b:1 /v1/calls"};
    CHECK(transport.asked == expected);
    transport.clock += duration{5'000};
    transport.asked.clear();
    client.send({"POST", "/v1/calls", "{}", ""}, repetition::forbidden);
    CHECK(transport.asked.front().find("/v1/entry") != std::string::npos);
}

TEST(client, tries_are_bounded_and_an_unreachable_deployment_is_told_apart)
{
    fake_transport transport;
    transport.faults = std::vector<fault>(100, fault::unreachable);
    caller<fake_transport> client{transport, options_for("a:1")};
    const caller_answer answer = client.send({"POST", "/v1/calls", "{}", ""}, repetition::harmless);
    CHECK(answer.unreachable);
    CHECK(answer.what == outcome::not_run);
    LONGS_EQUAL(6, answer.tries);
}

// Guards against a server that sends one endless event.
TEST(client, events_are_bounded)
{
    event_stream events;
    const std::string piece(event_stream::max_event_bytes, 'x');
    const auto sink = [](const stream_event&)
    {
        return true;
    };
    CHECK(events.feed("data: ", sink));
    CHECK_FALSE(events.feed(piece, sink));
}
