#pragma once

#include <parsleyshift/client/caller_answer.hpp>     // caller_answer, kept_entries
#include <parsleyshift/client/client_connection.hpp> // client_request, client_response, body_sink
#include <parsleyshift/client/event_stream.hpp>      // event_stream
#include <parsleyshift/client/generation_check.hpp>  // generation_check
#include <parsleyshift/core/clock.hpp>               // duration, time_point

#include <algorithm> // find
#include <concepts>  // same_as
#include <cstddef>   // size_t
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move
#include <vector>    // vector

namespace parsleyshift
{

/// @brief How a caller reaches instances and waits; tests put in a fake.
template <class Transport>
concept caller_transport = requires(Transport& transport, const std::string& address, const client_request& call,
                                    const body_sink& sink, duration wait)
{
    {
        transport.call(address, call)
        } -> std::same_as<result<client_response>>;
    {
        transport.stream(address, call, sink)
        } -> std::same_as<result<client_response>>;
    {
        transport.now()
        } -> std::same_as<time_point>;
    transport.wait(wait);
};

/// @brief Who calls, and the bounds on trying again.
struct caller_options
{
    /// Addresses to ask for an entry before any answer is known.
    std::vector<std::string> addresses;
    std::string customer;
    std::string availability_zone;
    std::string customer_key;
    /// Requests sent for one operation, the first included.
    int max_tries = 6;
    /// Resumes in a row that bring no token.
    int max_idle_resumes = 6;
    /// Wait before the next try when the refusal names no time.
    duration default_wait{200};
    duration longest_wait{10'000};
};

/// @brief Whether a request whose fate is unknown may be sent again.
enum class repetition
{
    harmless,
    forbidden,
};

/// @brief Calls parsleyshift as a caller should: asks for an entry, keeps the answer as long as it says, goes to the
/// next entry on a refusal after the stated time, and resumes streams. Not for use by several threads.
template <caller_transport Transport>
class caller
{
  public:
    caller(Transport& transport, caller_options options) : transport_(transport), options_(std::move(options)) {}

    /// @brief The entry answer, asked for again when its time is over.
    caller_answer entry()
    {
        caller_answer last = unreachable("no address is known");
        for (const std::string& address : known_addresses())
        {
            last = entry_at(address);
            if (last.what == outcome::completed)
            {
                return last;
            }
        }
        return last;
    }
    /// @brief The entry answer that entry() found last.
    [[nodiscard]] const std::optional<kept_entries>& choice() const noexcept
    {
        return choice_;
    }
    /// @brief Sends a request to the ranked entries until one accepts it or the tries are spent.
    /// @param again whether it may be sent again after a broken connection
    caller_answer send(const client_request& request, repetition again)
    {
        return with_entries(
            [&](const std::string& address)
            {
                const auto answer = transport_.call(address, with_key(request));
                return answer ? read_caller_answer(answer.value()) : broken(answer.error());
            },
            again);
    }
    /// @brief Runs a streamed generation to its end over as many connections as it takes.
    /// @param body request; its entry_token is filled in
    /// @param sink receives each token once and in order; valid until the end of the call
    caller_answer generate(nlohmann::json body, const token_receiver& sink)
    {
        generation_check check{sink};
        caller_answer answer = with_entries(
            [&](const std::string& address)
            {
                if (choice_.has_value() && !choice_->token.empty())
                {
                    body["entry_token"] = choice_->token;
                }
                return open_stream(address, {"POST", "/v1/generations", body.dump(), ""}, check);
            },
            repetition::harmless, [&] { return !check.continuation().empty(); });
        return resume_to_end(check, std::move(answer));
    }

  private:
    static caller_answer unreachable(const std::string& message)
    {
        caller_answer answer = failed_answer(outcome::not_run, make_error(error_kind::no_endpoint, message));
        answer.unreachable = true;
        return answer;
    }
    /// No byte was sent when no connection could be made.
    static caller_answer broken(const error& cause)
    {
        return cause.kind == error_kind::no_endpoint ? unreachable(cause.detail)
                                                     : failed_answer(outcome::unknown, cause);
    }
    client_request with_key(client_request request) const
    {
        request.bearer = request.bearer.empty() ? options_.customer_key : request.bearer;
        return request;
    }
    [[nodiscard]] std::vector<std::string> known_addresses() const
    {
        std::vector<std::string> known = options_.addresses;
        if (choice_.has_value())
        {
            for (const entry_address& entry : choice_->entries)
            {
                if (std::find(known.begin(), known.end(), entry.address) == known.end())
                {
                    known.push_back(entry.address);
                }
            }
        }
        return known;
    }
    caller_answer entry_at(const std::string& address)
    {
        const std::string target =
            "/v1/entry?customer=" + url_escape(options_.customer) + "&zone=" + url_escape(options_.availability_zone);
        const auto answer = transport_.call(address, with_key({"GET", target, "", ""}));
        if (!answer)
        {
            return broken(answer.error());
        }
        caller_answer read = read_caller_answer(answer.value());
        if (read.what != outcome::completed)
        {
            return read;
        }
        auto choice = read_kept_entries(read.body, transport_.now());
        if (!choice.has_value())
        {
            return failed_answer(outcome::not_run, make_error(error_kind::no_endpoint, "the answer names no entry"));
        }
        choice_ = std::move(choice);
        next_entry_ = 0;
        return read;
    }
    /// Address of the entry whose turn it is; asks for entries when the kept answer is too old.
    std::optional<std::string> current_entry(caller_answer& failure)
    {
        if (!choice_.has_value() || transport_.now() >= choice_->keep_until)
        {
            const caller_answer asked = entry();
            if (!choice_.has_value())
            {
                failure = asked;
                return std::nullopt;
            }
        }
        return choice_->entries[next_entry_].address;
    }
    template <class Try>
    caller_answer with_entries(Try attempt, repetition again)
    {
        return with_entries(attempt, again, [] { return false; });
    }
    /// @param started true when the request has begun at an instance, so that it must be resumed, not sent again
    template <class Try, class Started>
    caller_answer with_entries(Try attempt, repetition again, Started started)
    {
        caller_answer last;
        bool reached = false;
        for (int tries = 1; tries <= options_.max_tries; ++tries)
        {
            if (tries > 1)
            {
                wait_before_retry(last);
            }
            const auto address = current_entry(last);
            if (address.has_value())
            {
                last = attempt(*address);
            }
            reached = reached || !last.unreachable;
            last.tries = tries;
            const bool repeat =
                worth_retrying(last) || (last.what == outcome::unknown && again == repetition::harmless);
            if (started() || !repeat)
            {
                break;
            }
            advance();
        }
        last.unreachable = last.unreachable && !reached;
        return last;
    }
    /// Goes to the next entry; after the last one the kept answer has proved useless and is asked for again.
    void advance()
    {
        ++next_entry_;
        if (choice_.has_value() && next_entry_ >= choice_->entries.size())
        {
            next_entry_ = 0;
            choice_->keep_until = transport_.now();
        }
    }
    void wait_before_retry(const caller_answer& refusal)
    {
        const bool told = refusal.why.has_value() && refusal.why->retry_after.has_value();
        transport_.wait(std::min(told ? *refusal.why->retry_after : options_.default_wait, options_.longest_wait));
    }
    caller_answer open_stream(const std::string& address, const client_request& request, generation_check& check)
    {
        event_stream events;
        const auto take = [&check](const stream_event& event)
        {
            return check.take(event);
        };
        const auto answer = transport_.stream(address, with_key(request),
                                              [&](std::string_view piece) { return events.feed(piece, take); });
        if (check.complete())
        {
            caller_answer done;
            done.what = outcome::completed;
            done.body = {{"outcome", "completed"}, {"count", check.received()}};
            return done;
        }
        if (check.failure().has_value())
        {
            return *check.failure();
        }
        if (!answer)
        {
            return broken(answer.error());
        }
        if (answer.value().status != 200)
        {
            return read_caller_answer(answer.value());
        }
        return failed_answer(outcome::unknown, make_error(error_kind::link_broken, "the stream ended early"));
    }
    caller_answer resume_to_end(generation_check& check, caller_answer answer)
    {
        int idle = 0;
        int resumes = 0;
        const int tries = answer.tries;
        while (answer.what != outcome::completed && check.resumable() && idle < options_.max_idle_resumes)
        {
            if (idle > 0)
            {
                wait_before_retry(answer);
            }
            const std::int64_t before = check.received();
            check.resume();
            advance();
            ++resumes;
            answer = resume_once(check);
            idle = check.received() > before ? 0 : idle + 1;
            if (refused_for_good(answer))
            {
                break;
            }
        }
        answer.tries = tries;
        answer.resumes = resumes;
        return answer;
    }
    caller_answer resume_once(generation_check& check)
    {
        caller_answer failure;
        const auto address = current_entry(failure);
        if (!address.has_value())
        {
            return failure;
        }
        const std::string target =
            "/v1/generations/" + url_escape(check.continuation()) + "?offset=" + std::to_string(check.received());
        return open_stream(*address, {"GET", target, "", ""}, check);
    }
    /// An instance that answered a resume with a definite error; a broken connection or a refusal for now is none.
    static bool refused_for_good(const caller_answer& answer)
    {
        if (!answer.why.has_value() || answer.unreachable || worth_retrying(answer))
        {
            return false;
        }
        const error_kind kind = answer.why->kind;
        return kind != error_kind::link_broken && kind != error_kind::shutting_down;
    }

    Transport& transport_;
    caller_options options_;
    std::optional<kept_entries> choice_;
    std::size_t next_entry_ = 0;
};

} // namespace parsleyshift
