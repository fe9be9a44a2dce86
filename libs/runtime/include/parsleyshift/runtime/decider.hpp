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

/// @brief What the daemon drives: takes every event with the time, appends actions, and names its next deadline.
///
/// All members are called on the decision thread only.
template <class T>
concept decider = requires(T& core, const T& view, const event& what, time_point now, std::vector<action>& out)
{
    core.handle(what, now, out);
    {
        view.next_deadline()
        } -> std::same_as<time_point>;
};

/// @brief A decider that knows the customers' keys; the daemon then rejects requests without the right key.
///
/// `key_sha256` returns the lower-case hex SHA-256 of the customer's key, or an empty text when the customer need not
/// prove who it is. Called once for each caller request that names a customer; should be O(1).
template <class T>
concept key_checking_decider = decider<T> && requires(const T& view, const customer_id& customer)
{
    {
        view.key_sha256(customer)
        } -> std::convertible_to<std::string>;
};

} // namespace parsleyshift
