#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point
#include <parsleyshift/core/ids.hpp>        // customer_id
#include <parsleyshift/messages/action.hpp> // action
#include <parsleyshift/messages/event.hpp>  // event

#include <concepts> // same_as, convertible_to
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief Requirements on the decision logic that the daemon runs.
///
/// `handle` processes one event at the given time and appends the resulting actions; `next_deadline` returns the time
/// by which it must be called again. All members are called on the decision thread only.
template <class T>
concept decider = requires(T& core, const T& view, const event& what, time_point now, std::vector<action>& out)
{
    core.handle(what, now, out);
    {
        view.next_deadline()
        } -> std::same_as<time_point>;
};

/// @brief A decider that provides the key hashes of customers; the daemon then rejects requests whose key is missing or
/// wrong.
///
/// `key_sha256` returns the lower-case hex SHA-256 of the customer's key, or an empty text when the customer needs no
/// key. It is called once for each caller request that names a customer, and should take constant time.
template <class T>
concept key_providing_decider = decider<T> && requires(const T& view, const customer_id& customer)
{
    {
        view.key_sha256(customer)
        } -> std::convertible_to<std::string>;
};

} // namespace parsleyshift
