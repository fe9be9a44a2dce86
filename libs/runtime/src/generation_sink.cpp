#include "generation_sink.hpp" // generation_sink

#include "endpoint_client.hpp" // endpoint_client

#include <iterator> // make_move_iterator
#include <utility>  // move

namespace parsleyshift
{

namespace
{

// Limit of the body of a response with another status than 200. Beyond it the connection is closed, and no event is
// emitted for the attempt.
constexpr std::size_t max_refusal_bytes = std::size_t{64} * 1024;

attempt_failure failure_of(unsigned status, const refusal& parsed_refusal, bool resumed)
{
    if (resumed && status == 404)
    {
        return attempt_failure::attempt_unknown;
    }
    if (status == 503 && parsed_refusal.not_started)
    {
        return parsed_refusal.leaving ? attempt_failure::leaving : attempt_failure::not_started;
    }
    return attempt_failure::endpoint_error;
}

} // namespace

generation_sink::generation_sink(endpoint_client& client, attempt_id attempt, bool resumed)
    : client_(client), attempt_(attempt), resumed_(resumed)
{
    batch_.attempt = attempt;
}

head_verdict generation_sink::on_head(const response_head& head, bool /*reused_connection*/)
{
    status_ = head.result_int();
    if (status_ == 200)
    {
        client_.emit(attempt_started{attempt_});
    }
    return head_verdict::accept;
}

bool generation_sink::on_body(std::string& body)
{
    if (status_ != 200)
    {
        return body.size() <= max_refusal_bytes;
    }
    std::size_t begin = 0;
    for (std::size_t end = body.find('\n'); end != std::string::npos; end = body.find('\n', begin))
    {
        const std::string_view line(body.data() + begin, end - begin);
        begin = end + 1;
        if (!ended_ && !line.empty() && !handle_line(line))
        {
            return false;
        }
    }
    flush_tokens();
    body.erase(0, begin);
    if (body.size() > client_.options_.max_line_bytes)
    {
        client_.count_malformed(error_kind::body_too_large);
        fail(attempt_failure::endpoint_error, "a line of the response exceeds max_line_bytes");
        return false;
    }
    return true;
}

bool generation_sink::handle_line(std::string_view line)
{
    auto parsed = parse_generation_line(line);
    if (parsed.has_error())
    {
        client_.count_malformed(parsed.error().kind);
        flush_tokens();
        fail(attempt_failure::endpoint_error, parsed.error().detail);
        return false;
    }
    if (auto* tokens = std::get_if<token_line>(&parsed.value()))
    {
        const auto next = batch_.offset + static_cast<std::int64_t>(batch_.tokens.size());
        if (!batch_.tokens.empty() && tokens->offset != next)
        {
            flush_tokens();
        }
        if (batch_.tokens.empty())
        {
            batch_.offset = tokens->offset;
            batch_.tokens = std::move(tokens->tokens);
        }
        else
        {
            batch_.tokens.insert(batch_.tokens.end(), std::make_move_iterator(tokens->tokens.begin()),
                                 std::make_move_iterator(tokens->tokens.end()));
        }
        return true;
    }
    flush_tokens();
    if (const auto* ended = std::get_if<end_line>(&parsed.value()))
    {
        finish(attempt_ended{attempt_, ended->count});
        return true;
    }
    fail(attempt_failure::endpoint_error, std::get<error_line>(parsed.value()).message);
    return true;
}

void generation_sink::flush_tokens()
{
    if (!batch_.tokens.empty())
    {
        attempt_tokens batch{attempt_, batch_.offset, std::move(batch_.tokens)};
        batch_.tokens.clear();
        client_.emit(std::move(batch));
    }
}

void generation_sink::on_done(std::string& body, answer_end /*end*/)
{
    if (ended_)
    {
        return;
    }
    if (status_ != 200)
    {
        const refusal parsed_refusal = parse_refusal(body);
        fail(failure_of(status_, parsed_refusal, resumed_),
             "HTTP status " + std::to_string(status_) + ": " + parsed_refusal.message);
        return;
    }
    if (!body.empty() && handle_line(body) && ended_)
    {
        return;
    }
    flush_tokens();
    fail(attempt_failure::link_broken, "the response ended without an end line");
}

void generation_sink::on_failed(attempt_failure failure, std::string message)
{
    fail(failure, std::move(message));
}

void generation_sink::fail(attempt_failure failure, std::string message)
{
    finish(attempt_failed{attempt_, failure, std::move(message)});
}

void generation_sink::finish(event last_event)
{
    if (!ended_)
    {
        ended_ = true;
        client_.attempts_.erase(attempt_);
        client_.emit(std::move(last_event));
    }
}

} // namespace parsleyshift
