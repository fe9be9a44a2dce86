#pragma once

#include <parsleyshift/client/client_connection.hpp> // client_response
#include <parsleyshift/core/clock.hpp>               // duration, time_point
#include <parsleyshift/core/error.hpp>               // error_kind
#include <parsleyshift/messages/request.hpp>         // outcome

#include <nlohmann/json.hpp> // json

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Why a request did not complete, as the instance says it or as the client found out.
struct caller_problem
{
    /// Unknown to this build, when a later version of the daemon has added a kind: internal.
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;
    std::optional<duration> retry_after;
};

/// @brief What became of a request, for a caller.
struct caller_answer
{
    outcome what = outcome::unknown;
    /// Set unless the request completed.
    std::optional<caller_problem> why;
    /// Body of the answer; null when there was none.
    nlohmann::json body;
    /// No instance could be reached.
    bool unreachable = false;
    /// Requests sent, the first included.
    int tries = 0;
    /// Times a stream was resumed.
    int resumes = 0;
};

/// @brief One address of an entry answer.
struct entry_address
{
    std::string instance;
    std::string address;
    std::string availability_zone;
};

/// @brief Ranked addresses for a customer and the time for which to keep them.
struct kept_entries
{
    std::vector<entry_address> entries;
    std::string token;
    time_point keep_until;
};

/// @brief Reads an answer of the caller interface. Tolerates additional members.
caller_answer read_caller_answer(const client_response& answer);
/// @brief Reads an error body or an error event.
caller_problem read_problem(const nlohmann::json& body);
/// @brief Reads an entry answer. @param now time from which it may be kept
/// @return nothing when it holds no entry
std::optional<kept_entries> read_kept_entries(const nlohmann::json& body, time_point now);
/// @brief The answer for a request that failed in the client.
caller_answer failed_answer(outcome what, const error& cause);
/// @brief True when another instance or a later time may give a better answer, and the request did not run.
bool worth_retrying(const caller_answer& answer);

} // namespace parsleyshift
