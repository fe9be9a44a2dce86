#pragma once

#include <parsleyshift/client/caller_answer.hpp>     // caller_answer, entry_list
#include <parsleyshift/client/client_connection.hpp> // client_request, client_response, body_sink
#include <parsleyshift/client/event_stream.hpp>      // event_stream_parser
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

/// @brief Network access and clock of a caller; tests use a fake.
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

/// @brief Identity of a caller, and its retry limits.
struct caller_options
{
    /// "ip:port" of the instances that entry queries are sent to before an entry answer is cached.
    std::vector<std::string> addresses;
    std::string customer;
    std::string availability_zone;
    std::string customer_key;
    /// Maximum number of tries of one operation, including the first.
    int max_tries = 6;
    /// Maximum number of consecutive resumes that yield no token.
    int max_resumes_without_progress = 6;
    /// Delay in milliseconds before a retry if the rejection contains no retry_after_ms.
    duration default_retry_delay{200};
    /// Upper limit in milliseconds of the delay before a retry.
    duration max_retry_delay{10'000};
};

/// @brief Whether a request may be sent again if it is unknown whether it ran.
enum class repetition
{
    /// A second execution does no harm, for example of an idempotent call or an order with a key.
    harmless,
    forbidden,
};

/// @brief Client with which a caller sends its requests to the instances. It caches entry answers, retries rejected
/// requests at the next instance after the requested delay, and resumes streams. Not thread-safe.
template <caller_transport Transport>
class caller
{
  public:
    caller(Transport& transport, caller_options options) : transport_(transport), options_(std::move(options)) {}

    /// @brief Sends an entry query to the configured and cached addresses, in order, until one answers, and caches the
    /// entry answer.
    caller_answer fetch_entries()
    {
        caller_answer last = unreachable_answer("no instance address is configured");
        for (const std::string& address : query_addresses())
        {
            last = query_entries(address);
            if (last.what == outcome::completed)
            {
                return last;
            }
        }
        return last;
    }
    /// @brief The cached entry answer; empty before the first one.
    [[nodiscard]] const std::optional<entry_list>& cached_entries() const noexcept
    {
        return entries_;
    }
    /// @brief Sends a request to the instances of the entry answer, in order, until one accepts it or max_tries is
    /// reached.
    /// @param resend whether the request may be sent again if the connection breaks
    caller_answer send(const client_request& request, repetition resend)
    {
        return try_entries(
            [&](const std::string& address)
            {
                const auto answer = transport_.call(address, with_bearer(request));
                return answer ? read_caller_answer(answer.value()) : transport_failure(answer.error());
            },
            resend);
    }
    /// @brief Runs a streamed generation to its end and resumes it on a new connection if one breaks.
    /// @param body request body; its entry_token is set from the entry answer
    /// @param receiver callbacks that receive each token once and in order; must stay valid until the call returns
    caller_answer generate(nlohmann::json body, const token_receiver& receiver)
    {
        generation_check check{receiver};
        caller_answer answer = try_entries(
            [&](const std::string& address)
            {
                if (entries_.has_value() && !entries_->token.empty())
                {
                    body["entry_token"] = entries_->token;
                }
                return open_stream(address, {"POST", "/v1/generations", body.dump(), ""}, check);
            },
            repetition::harmless, [&] { return !check.continuation().empty(); });
        return resume_to_end(check, std::move(answer));
    }

  private:
    static caller_answer unreachable_answer(const std::string& message)
    {
        caller_answer answer = failed_answer(outcome::not_run, make_error(error_kind::no_endpoint, message));
        answer.unreachable = true;
        return answer;
    }
    /// Converts a transport error. Transports return no_endpoint if they could not connect to the instance; nothing was
    /// sent then, so the request did not run.
    static caller_answer transport_failure(const error& cause)
    {
        return cause.kind == error_kind::no_endpoint ? unreachable_answer(cause.detail)
                                                     : failed_answer(outcome::unknown, cause);
    }
    client_request with_bearer(client_request request) const
    {
        request.bearer = request.bearer.empty() ? options_.customer_key : request.bearer;
        return request;
    }
    [[nodiscard]] std::vector<std::string> query_addresses() const
    {
        std::vector<std::string> addresses = options_.addresses;
        if (entries_.has_value())
        {
            for (const entry_address& entry : entries_->entries)
            {
                if (std::find(addresses.begin(), addresses.end(), entry.address) == addresses.end())
                {
                    addresses.push_back(entry.address);
                }
            }
        }
        return addresses;
    }
    caller_answer query_entries(const std::string& address)
    {
        const std::string target =
            "/v1/entry?customer=" + url_escape(options_.customer) + "&zone=" + url_escape(options_.availability_zone);
        const auto answer = transport_.call(address, with_bearer({"GET", target, "", ""}));
        if (!answer)
        {
            return transport_failure(answer.error());
        }
        caller_answer entry_result = read_caller_answer(answer.value());
        if (entry_result.what != outcome::completed)
        {
            return entry_result;
        }
        auto entries = read_entry_list(entry_result.body, transport_.now());
        if (!entries.has_value())
        {
            return failed_answer(outcome::not_run,
                                 make_error(error_kind::no_endpoint, "the entry answer contains no instance"));
        }
        entries_ = std::move(entries);
        next_entry_ = 0;
        return entry_result;
    }
    /// Returns the address of the current instance. Sends an entry query first if the cached entry answer is missing or
    /// expired; if the query fails, an expired answer is still used.
    /// @param failure set if no address is available
    std::optional<std::string> current_address(caller_answer& failure)
    {
        if (!entries_.has_value() || transport_.now() >= entries_->expires_at)
        {
            const caller_answer query_result = fetch_entries();
            if (!entries_.has_value())
            {
                failure = query_result;
                return std::nullopt;
            }
        }
        return entries_->entries[next_entry_].address;
    }
    template <class SendOnce>
    caller_answer try_entries(SendOnce send_once, repetition resend)
    {
        return try_entries(send_once, resend, [] { return false; });
    }
    /// @param send_once sends the request to an address
    /// @param started returns true once the request has started at an instance and must be resumed instead of sent
    /// again
    template <class SendOnce, class Started>
    caller_answer try_entries(SendOnce send_once, repetition resend, Started started)
    {
        caller_answer last;
        bool reached_any = false;
        for (int tries = 1; tries <= options_.max_tries; ++tries)
        {
            if (tries > 1)
            {
                wait_before_retry(last);
            }
            const auto address = current_address(last);
            if (address.has_value())
            {
                last = send_once(*address);
            }
            reached_any = reached_any || !last.unreachable;
            last.tries = tries;
            const bool try_again =
                is_retryable(last) || (last.what == outcome::unknown && resend == repetition::harmless);
            if (started() || !try_again)
            {
                break;
            }
            select_next_entry();
        }
        last.unreachable = last.unreachable && !reached_any;
        return last;
    }
    /// Selects the next instance. After the last one, marks the cached entry answer as expired, so that the next try
    /// sends an entry query.
    void select_next_entry()
    {
        ++next_entry_;
        if (entries_.has_value() && next_entry_ >= entries_->entries.size())
        {
            next_entry_ = 0;
            entries_->expires_at = transport_.now();
        }
    }
    void wait_before_retry(const caller_answer& rejection)
    {
        const bool has_delay = rejection.why.has_value() && rejection.why->retry_after.has_value();
        transport_.wait(
            std::min(has_delay ? *rejection.why->retry_after : options_.default_retry_delay, options_.max_retry_delay));
    }
    caller_answer open_stream(const std::string& address, const client_request& request, generation_check& check)
    {
        event_stream_parser parser;
        const auto handle_event = [&check](const stream_event& event)
        {
            return check.handle(event);
        };
        const auto answer = transport_.stream(address, with_bearer(request),
                                              [&](std::string_view piece) { return parser.feed(piece, handle_event); });
        if (check.complete())
        {
            caller_answer completed;
            completed.what = outcome::completed;
            completed.body = {{"outcome", "completed"}, {"count", check.received()}};
            return completed;
        }
        if (check.failure().has_value())
        {
            return *check.failure();
        }
        if (!answer)
        {
            return transport_failure(answer.error());
        }
        if (answer.value().status != 200)
        {
            return read_caller_answer(answer.value());
        }
        return failed_answer(outcome::unknown,
                             make_error(error_kind::link_broken, "the stream ended without an end event"));
    }
    caller_answer resume_to_end(generation_check& check, caller_answer answer)
    {
        int resumes_without_progress = 0;
        int resumes = 0;
        const int tries = answer.tries;
        while (answer.what != outcome::completed && check.resumable() &&
               resumes_without_progress < options_.max_resumes_without_progress)
        {
            if (resumes_without_progress > 0)
            {
                wait_before_retry(answer);
            }
            const std::int64_t before = check.received();
            check.resume();
            select_next_entry();
            ++resumes;
            answer = resume_once(check);
            resumes_without_progress = check.received() > before ? 0 : resumes_without_progress + 1;
            if (rejected_permanently(answer))
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
        const auto address = current_address(failure);
        if (!address.has_value())
        {
            return failure;
        }
        const std::string target =
            "/v1/generations/" + url_escape(check.continuation()) + "?offset=" + std::to_string(check.received());
        return open_stream(*address, {"GET", target, "", ""}, check);
    }
    /// True if an instance rejected a resume permanently, as opposed to a broken connection or a temporary rejection.
    static bool rejected_permanently(const caller_answer& answer)
    {
        if (!answer.why.has_value() || answer.unreachable || is_retryable(answer))
        {
            return false;
        }
        const error_kind kind = answer.why->kind;
        return kind != error_kind::link_broken && kind != error_kind::shutting_down;
    }

    Transport& transport_;
    caller_options options_;
    std::optional<entry_list> entries_;
    std::size_t next_entry_ = 0;
};

} // namespace parsleyshift
