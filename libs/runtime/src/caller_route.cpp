#include "caller_route.hpp" // route_call

#include "sha256.hpp" // equal_in_constant_time

#include <parsleyshift/wire/caller_codec.hpp> // parse_generation

#include <boost/url/parse.hpp>    // parse_origin_form
#include <boost/url/src.hpp>      // Boost.URL is compiled into this file
#include <boost/url/url_view.hpp> // url_view

#include <charconv> // from_chars
#include <optional> // optional
#include <utility>  // move
#include <vector>   // vector

namespace parsleyshift
{

namespace
{

using boost::beast::http::verb;
using boost::urls::url_view;

/// A parsed request target and its decoded path segments.
struct parsed_target
{
    std::vector<std::string> path;
    url_view url;

    /// Returns the value of a query parameter, or an empty text when it is missing.
    [[nodiscard]] std::string parameter(std::string_view name) const
    {
        for (const auto& each : url.params())
        {
            if (each.key == name)
            {
                return each.value;
            }
        }
        return {};
    }
};

error not_found(const caller_message& message)
{
    // The target is text of any length from the caller; only its start is quoted.
    return make_error(error_kind::not_found, "path: no route for " + std::string(to_string(message.method)) + " " +
                                                 std::string(message.target.substr(0, 128)));
}

result<parsed_target> parse_target(std::string_view target)
{
    const auto parsed = boost::urls::parse_origin_form({target.data(), target.size()});
    if (parsed.has_error())
    {
        return make_error(error_kind::malformed_request, "path: not a valid request target");
    }
    parsed_target out{{}, *parsed};
    for (const auto& segment : out.url.segments())
    {
        out.path.emplace_back(segment);
    }
    return out;
}

template <class Request>
result<caller_call> to_call(result<Request> parsed)
{
    if (parsed.has_error())
    {
        return std::move(parsed.error());
    }
    return caller_call{event{std::move(parsed.value())}};
}

/// Returns the call if the value of its parameter has the length of a name, the same as in request bodies.
result<caller_call> with_valid_length(std::string_view parameter, const std::string& value, event caller_event)
{
    if (value.empty() || value.size() > 256)
    {
        return make_error(error_kind::invalid_field, std::string(parameter) + ": must be a name of 1 to 256 bytes");
    }
    return caller_call{std::move(caller_event)};
}

result<caller_call> entry_call(const parsed_target& target)
{
    entry_query query;
    const std::string customer = target.parameter("customer");
    query.customer = customer_id{customer};
    query.availability_zone = zone_id{target.parameter("zone")};
    return with_valid_length("customer", customer, std::move(query));
}

result<caller_call> resume_call(const parsed_target& target)
{
    resume_request request;
    request.continuation = target.path[2];
    const std::string offset = target.parameter("offset");
    if (!offset.empty())
    {
        const char* end = offset.data() + offset.size();
        const auto number = std::from_chars(offset.data(), end, request.offset);
        if (number.ec != std::errc{} || number.ptr != end || request.offset < 0)
        {
            return make_error(error_kind::invalid_field, "offset: must be a non-negative integer");
        }
    }
    return caller_call{event{std::move(request)}};
}

std::optional<operator_query> parse_operator_query(const caller_message& message, const parsed_target& target)
{
    if (message.method != verb::get || target.path.size() != 2)
    {
        return std::nullopt;
    }
    const auto view = value_of<operator_view>(target.path[1]);
    if (!view)
    {
        return std::nullopt;
    }
    operator_query query;
    query.what = *view;
    query.customer = customer_id{target.parameter("customer")};
    query.service = service_id{target.parameter("service")};
    return query;
}

/// Returns the call if it is an operator call. Does not check the key.
std::optional<caller_call> operator_call(const caller_message& message, const parsed_target& target)
{
    if (message.method == verb::get && target.path.size() == 1 && target.path[0] == "metrics")
    {
        return local_call::metrics;
    }
    if (message.method == verb::post && target.path.size() == 2 && target.path[1] == "stop")
    {
        return local_call::stop;
    }
    if (auto query = parse_operator_query(message, target))
    {
        return caller_call{event{std::move(*query)}};
    }
    return std::nullopt;
}

result<caller_call> post_call(const caller_message& message, const parsed_target& target, const call_context& context)
{
    const auto& path = target.path;
    if (path.size() == 2 && path[1] == "generations")
    {
        return to_call(parse_generation(message.body, context.bounds));
    }
    if (path.size() == 2 && path[1] == "calls")
    {
        return to_call(parse_call(message.body, context.bounds));
    }
    if (path.size() == 2 && path[1] == "orders")
    {
        return to_call(parse_order(message.body, context.bounds));
    }
    if (path.size() == 3 && path[1] == "orders" && path[2] == "keys")
    {
        return to_call(parse_key_request(message.body, context.bounds));
    }
    return not_found(message);
}

result<caller_call> get_call(const caller_message& message, const parsed_target& target)
{
    const auto& path = target.path;
    if (path.size() == 2 && path[1] == "entry")
    {
        return entry_call(target);
    }
    if (path.size() == 3 && path[1] == "generations")
    {
        return resume_call(target);
    }
    if (path.size() == 3 && path[1] == "orders")
    {
        order_query query;
        query.key = path[2];
        return caller_call{event{std::move(query)}};
    }
    return not_found(message);
}

} // namespace

result<caller_call> route_call(const caller_message& message, const call_context& context)
{
    BOOST_OUTCOME_TRY(const parsed_target target, parse_target(message.target));
    if (auto call = operator_call(message, target))
    {
        if (context.operator_sha256.empty() || !equal_in_constant_time(message.key_sha256, context.operator_sha256))
        {
            return make_error(error_kind::unauthenticated, "Authorization: the operators' key is required");
        }
        return std::move(*call);
    }
    if (target.path.empty() || target.path[0] != "v1")
    {
        return not_found(message);
    }
    if (message.method == verb::post)
    {
        return post_call(message, target, context);
    }
    if (message.method == verb::get)
    {
        return get_call(message, target);
    }
    if (message.method == verb::delete_ && target.path.size() == 3 && target.path[1] == "generations")
    {
        cancel_request request;
        request.continuation = target.path[2];
        return caller_call{event{std::move(request)}};
    }
    return not_found(message);
}

void set_request(event& caller_event, request_id request)
{
    std::visit(
        [request](auto& each)
        {
            if constexpr (requires { each.request = request; })
            {
                each.request = request;
            }
        },
        caller_event);
}

std::string_view presented_key(std::string_view authorization) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.substr(0, scheme.size()) == scheme)
    {
        authorization.remove_prefix(scheme.size());
    }
    return authorization;
}

} // namespace parsleyshift
