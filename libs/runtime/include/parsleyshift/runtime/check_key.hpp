#pragma once

#include <parsleyshift/core/ids.hpp>              // customer_id
#include <parsleyshift/messages/action.hpp>       // request_rejected
#include <parsleyshift/runtime/inbound_event.hpp> // inbound_event

#include <functional> // function
#include <string>     // string

namespace parsleyshift
{

/// @brief Checks the key that a caller presented in a request for a customer.
/// @param expected_sha256 returns the lower-case hex SHA-256 of a customer's key, or an empty text when the customer
/// needs no key
/// @return true when the key matches, when the customer needs none, and for events without a customer
bool has_valid_key(const inbound_event& inbound, const std::function<std::string(const customer_id&)>& expected_sha256);

/// @brief Returns the rejection, with error unauthenticated, of a request whose key is missing or wrong.
request_rejected unauthenticated(const inbound_event& inbound);

} // namespace parsleyshift
