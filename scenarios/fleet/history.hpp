#pragma once

#include <parsleyshift/core/error.hpp>       // error
#include <parsleyshift/core/ids.hpp>         // attempt_id
#include <parsleyshift/messages/request.hpp> // outcome

#include <cstdint>  // int64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift::scenarios
{

/// @brief What one caller saw of one request, over all instances that it tried.
struct caller_record
{
    std::string what;
    std::string key;
    time_point asked;
    token_list tokens;
    std::string continuation;
    std::optional<outcome> end;
    std::optional<error> why;
    std::string result;
    time_point ended;
    time_point settled_after = never;
    /// Tokens came at an offset that does not continue the stream.
    bool broken_order = false;
};

/// @brief One execution at an endpoint.
struct execution
{
    std::string endpoint;
    std::string operation;
    std::string payload;
    std::string key;
    time_point at;
};

/// @brief The callers' and the endpoints' own records of a run; the checker judges from these alone.
struct history
{
    std::map<std::uint64_t, caller_record> callers;
    std::vector<execution> executions;
    /// Endpoints that died while running a prompt, by prompt.
    std::map<std::string, int> deaths;
    /// Work that reached an endpoint after its grace time of leaving.
    int late_work = 0;
};

/// @brief Text of the token at a position of the generation for a prompt; tells generations apart.
std::string token_text(const std::string& prompt, std::uint64_t attempt, std::int64_t position);

/// @brief Every promise that the history breaks, one line each; empty when all hold.
std::vector<std::string> broken_promises(const history& seen);

} // namespace parsleyshift::scenarios
