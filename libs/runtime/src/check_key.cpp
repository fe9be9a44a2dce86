#include <parsleyshift/runtime/check_key.hpp> // has_valid_key

#include "sha256.hpp" // equal_in_constant_time

#include <type_traits> // decay_t, is_same_v
#include <variant>     // visit

namespace parsleyshift
{

namespace
{

template <class T>
constexpr bool is_caller_event =
    std::is_same_v<T, generation_request> || std::is_same_v<T, call_request> || std::is_same_v<T, key_request> ||
    std::is_same_v<T, order_request> || std::is_same_v<T, entry_query>;

} // namespace

bool has_valid_key(const inbound_event& inbound, const std::function<std::string(const customer_id&)>& expected_sha256)
{
    return std::visit(
        [&](const auto& each)
        {
            if constexpr (is_caller_event<std::decay_t<decltype(each)>>)
            {
                const std::string key_sha256 = expected_sha256(each.customer);
                return key_sha256.empty() || equal_in_constant_time(key_sha256, inbound.key_sha256);
            }
            return true;
        },
        inbound.what);
}

request_rejected unauthenticated(const inbound_event& inbound)
{
    request_rejected rejected;
    rejected.why = make_error(error_kind::unauthenticated, "Authorization: the customer's key is required");
    std::visit(
        [&rejected](const auto& each)
        {
            if constexpr (is_caller_event<std::decay_t<decltype(each)>>)
            {
                rejected.request = each.request;
            }
        },
        inbound.what);
    return rejected;
}

} // namespace parsleyshift
