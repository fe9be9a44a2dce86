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

/// @brief Why a request did not complete, as reported by the instance or determined by the client.
struct caller_problem
{
    /// internal for a kind that this version does not define, such as one added by a later daemon.
    error_kind kind = error_kind::internal;
    std::string message;
    /// What the caller can do about the error.
    std::string remedy;
    /// Time to wait before a retry.
    std::optional<duration> retry_after;
};

/// @brief Result of a request.
struct caller_answer
{
    outcome what = outcome::unknown;
    /// Set unless the request completed.
    std::optional<caller_problem> why;
    /// Body of the answer; null if there is no JSON object.
    nlohmann::json body;
    /// No instance could be reached.
    bool unreachable = false;
    /// Number of attempts, the first included.
    int tries = 0;
    /// Number of times that the stream was resumed.
    int resumes = 0;
};

/// @brief An instance of an entry answer.
struct entry_address
{
    std::string instance;
    /// "ip:port"
    std::string address;
    std::string availability_zone;
};

/// @brief Cached entry answer: the instances for a customer, best first.
struct entry_list
{
    std::vector<entry_address> entries;
    /// Entry token, sent with generation requests.
    std::string token;
    /// Time at which the cached answer expires.
    time_point expires_at;
};

/// @brief Parses an answer of the interface for callers. Unknown members are ignored.
caller_answer read_caller_answer(const client_response& answer);
/// @brief Parses the body of an error answer or the data of an error event.
caller_problem read_problem(const nlohmann::json& body);
/// @brief Parses an entry answer.
/// @param now start of the time for which the answer may be cached
/// @return empty if the answer contains no instance
std::optional<entry_list> read_entry_list(const nlohmann::json& body, time_point now);
/// @brief Makes the answer for a request that failed in the client.
caller_answer failed_answer(outcome what, const error& cause);
/// @brief True if the request did not run and may succeed later or at another instance.
bool is_retryable(const caller_answer& answer);

} // namespace parsleyshift
