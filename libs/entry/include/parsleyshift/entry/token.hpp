#pragma once

#include <parsleyshift/core/clock.hpp>       // time_point
#include <parsleyshift/core/ids.hpp>         // instance_id, incarnation, revision
#include <parsleyshift/messages/request.hpp> // delivery

#include <cstdint> // uint64_t
#include <string>  // string

namespace parsleyshift
{

/// @brief Token of an entry answer, which carries the configuration revision that the caller has seen to the instance
/// that receives its next request.
struct entry_token
{
    instance_id instance;
    incarnation started;
    revision highest_revision;
    time_point issued;

    friend bool operator==(const entry_token&, const entry_token&) = default;
};

/// @brief Token with which any instance can resume a generation at its engine.
struct continuation_token
{
    instance_id instance;
    incarnation started;
    endpoint_id endpoint;
    /// Address of the endpoint as "ip:port".
    std::string endpoint_address;
    service_id service;
    attempt_id attempt;
    std::string generation;
    customer_id customer;
    class_id work_class;
    revision highest_revision;
    time_point expires;
    delivery delivery_mode = delivery::stream;

    friend bool operator==(const continuation_token&, const continuation_token&) = default;
};

/// @brief Token of an order key. Only the home instance, in the incarnation `started`, may send the order.
struct order_key_token
{
    instance_id home;
    incarnation started;
    /// Address of the home instance for peers as "ip:port".
    std::string home_peer_address;
    customer_id customer;
    service_id service;
    /// Sequence number of the key at its home instance.
    std::uint64_t sequence = 0;
    /// No byte of the order may be sent after this time.
    time_point send_deadline;
    time_point expires;

    friend bool operator==(const order_key_token&, const order_key_token&) = default;
};

} // namespace parsleyshift
