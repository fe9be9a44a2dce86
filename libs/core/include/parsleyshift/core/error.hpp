#pragma once

#include <parsleyshift/core/clock.hpp>      // duration
#include <parsleyshift/core/name_table.hpp> // enum_names

#include <boost/outcome/basic_result.hpp>     // basic_result
#include <boost/outcome/policy/terminate.hpp> // terminate
#include <boost/outcome/try.hpp>              // BOOST_OUTCOME_TRY

#include <array>       // array
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Numbered kinds of errors. 1xx: invalid input; 2xx: request refused; 3xx: endpoint or execution failed;
/// 4xx: internal error.
enum class error_kind
{
    malformed_request = 101,
    invalid_field = 102,
    unknown_field = 103,
    unknown_name = 104,
    body_too_large = 105,
    invalid_token = 106,
    token_expired = 107,
    /// The order key was chosen by the caller, which the service does not allow.
    own_key_not_allowed = 108,
    unauthenticated = 109,
    not_found = 110,
    unsupported_schema = 111,
    file_unreadable = 112,
    /// Another process listens on the address.
    address_in_use = 113,

    configuration_missing = 201,
    queue_full = 202,
    deadline_unreachable = 203,
    limit_exceeded = 204,
    no_endpoint = 205,
    quarantined = 206,
    shutting_down = 207,
    retry_budget_spent = 208,
    /// No endpoint of the service is in a region in which the request may be served.
    region_not_allowed = 209,

    endpoint_failed = 301,
    /// The connection broke, stalled or ended early.
    link_broken = 302,
    deadline_passed = 303,
    cancelled = 304,
    /// The instance that tracks the order did not answer or has restarted.
    home_unreachable = 305,
    /// The order key is past its expiry.
    key_expired = 306,
    incomplete_answer = 307,
    result_unknown = 308,

    internal = 401,
};

/// @brief Name and remedy of an error kind.
struct error_kind_row
{
    error_kind value;
    std::string_view name;
    std::string_view remedy;
};

template <>
struct enum_names<error_kind>
{
    static constexpr std::array rows{
        error_kind_row{error_kind::malformed_request, "malformed_request",
                       "send a well-formed HTTP/1.1 request with a JSON body"},
        error_kind_row{error_kind::invalid_field, "invalid_field", "correct the named field"},
        error_kind_row{error_kind::unknown_field, "unknown_field", "remove or rename the named field"},
        error_kind_row{error_kind::unknown_name, "unknown_name", "use a name that an accepted record defines"},
        error_kind_row{error_kind::body_too_large, "body_too_large", "send a smaller body"},
        error_kind_row{error_kind::invalid_token, "invalid_token", "send the token unchanged as it was issued"},
        error_kind_row{error_kind::token_expired, "token_expired", "request a new token"},
        error_kind_row{error_kind::own_key_not_allowed, "own_key_not_allowed",
                       "create an order key with POST /v1/orders/keys and send the order with it"},
        error_kind_row{error_kind::unauthenticated, "unauthenticated",
                       "send the customer key in the Authorization header"},
        error_kind_row{error_kind::not_found, "not_found", "check the path and the method"},
        error_kind_row{error_kind::unsupported_schema, "unsupported_schema",
                       "publish the record in a schema version that all instances read"},
        error_kind_row{error_kind::file_unreadable, "file_unreadable", "check that the file exists and can be read"},
        error_kind_row{error_kind::address_in_use, "address_in_use",
                       "end the process that uses the address, or choose another address"},
        error_kind_row{error_kind::configuration_missing, "configuration_missing",
                       "retry after the instance has received its configuration"},
        error_kind_row{error_kind::queue_full, "queue_full", "retry after the stated time"},
        error_kind_row{error_kind::deadline_unreachable, "deadline_unreachable",
                       "retry after the stated time or allow a later deadline"},
        error_kind_row{error_kind::limit_exceeded, "limit_exceeded",
                       "retry after the stated time or ask the operators for a higher limit"},
        error_kind_row{error_kind::no_endpoint, "no_endpoint", "retry after the stated time"},
        error_kind_row{error_kind::quarantined, "quarantined",
                       "do not resend this request; every endpoint that executed it failed"},
        error_kind_row{error_kind::shutting_down, "shutting_down",
                       "repeat the entry lookup and send the request to another instance"},
        error_kind_row{error_kind::retry_budget_spent, "retry_budget_spent", "retry after the stated time"},
        error_kind_row{error_kind::region_not_allowed, "region_not_allowed",
                       "ask the operators to allow a region in which the service has endpoints"},
        error_kind_row{error_kind::endpoint_failed, "endpoint_failed", "send the request again"},
        error_kind_row{error_kind::link_broken, "link_broken", "resume with the continuation token"},
        error_kind_row{error_kind::deadline_passed, "deadline_passed", "send the request again with a later deadline"},
        error_kind_row{error_kind::cancelled, "cancelled", "no action is needed"},
        error_kind_row{error_kind::home_unreachable, "home_unreachable",
                       "check the order at the service after the time in settled_after_ms"},
        error_kind_row{error_kind::key_expired, "key_expired",
                       "check the order at the service, then create a new order key"},
        error_kind_row{error_kind::incomplete_answer, "incomplete_answer", "send the request again"},
        error_kind_row{error_kind::result_unknown, "result_unknown",
                       "check the order at the service after the time in settled_after_ms"},
        error_kind_row{error_kind::internal, "internal", "report the message to the operators"},
    };
};

/// @brief What the caller or operator can do about an error, as a sentence fragment. Linear in the number of kinds.
constexpr std::string_view remedy_of(error_kind kind) noexcept
{
    for (const auto& row : enum_names<error_kind>::rows)
    {
        if (row.value == kind)
        {
            return row.remedy;
        }
    }
    return "report the message to the operators";
}

/// @brief An error with its kind, a description and, if known, the time after which to retry.
struct error
{
    error_kind kind = error_kind::internal;
    /// What was wrong, naming the field, file or endpoint.
    std::string detail;
    /// Delay before the caller should retry; empty if no delay is known.
    std::optional<duration> retry_after;

    /// @brief Number, name, detail and remedy in one line, for example
    /// "[102 invalid_field] customer.weight: must be positive; correct the named field".
    [[nodiscard]] std::string message() const;

    friend bool operator==(const error&, const error&) = default;
};

/// @brief A value or an error. Accessing the alternative that is not held terminates the process.
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// @brief Makes an error to return from a function that returns a result.
inline error make_error(error_kind kind, std::string detail, std::optional<duration> retry_after = std::nullopt)
{
    return error{kind, std::move(detail), retry_after};
}

} // namespace parsleyshift
