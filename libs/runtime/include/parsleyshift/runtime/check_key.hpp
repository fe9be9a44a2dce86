#pragma once

#include <parsleyshift/core/ids.hpp>              // customer_id
#include <parsleyshift/messages/action.hpp>       // request_rejected
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event

#include <functional> // function
#include <string>     // string

namespace parsleyshift
{

/// @brief Checks the presented key of an event that names a customer; other events pass.
/// @param expected hex SHA-256 of a customer's key, empty when the customer need not prove who it is
bool key_is_right(const inbound_event& taken, const std::function<std::string(const customer_id&)>& expected);

/// @brief The answer to a request without the right key.
request_rejected unauthenticated(const inbound_event& taken);

} // namespace parsleyshift
