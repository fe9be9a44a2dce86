#pragma once

#include <parsleyshift/core/clock.hpp>       // time_point
#include <parsleyshift/core/ids.hpp>         // instance_id, incarnation, revision
#include <parsleyshift/messages/request.hpp> // delivery

#include <cstdint> // uint64_t
#include <string>  // string

namespace parsleyshift
{

/// @brief Handed out with an entry answer; tells the instance that is asked next which revision the caller has seen.
struct entry_token
{
    instance_id instance;
    incarnation started;
    revision highest;
    time_point issued;

    friend bool operator==(const entry_token&, const entry_token&) = default;
};

/// @brief All that another instance needs to resume a generation at its engine.
struct continuation_token
{
    instance_id instance;
    incarnation started;
    endpoint_id endpoint;
    /// "ip:port" of the endpoint.
    std::string endpoint_address;
    service_id service;
    attempt_id attempt;
    std::string generation;
    customer_id customer;
    class_id work_class;
    revision highest;
    time_point expires;
    delivery how = delivery::stream;

    friend bool operator==(const continuation_token&, const continuation_token&) = default;
};

/// @brief An order key; only the home instance with this incarnation may send the order.
struct order_key_token
{
    instance_id home;
    incarnation started;
    /// "ip:port" of the home instance for peers.
    std::string home_peer_address;
    customer_id customer;
    service_id service;
    /// Number of the key at its home instance.
    std::uint64_t sequence = 0;
    /// No byte of the order may be sent after this time.
    time_point send_deadline;
    time_point expires;

    friend bool operator==(const order_key_token&, const order_key_token&) = default;
};

} // namespace parsleyshift
