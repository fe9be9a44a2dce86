#pragma once

#include <parsleyshift/core/error.hpp> // result

#include <boost/asio/basic_socket_acceptor.hpp> // basic_socket_acceptor
#include <boost/asio/basic_stream_socket.hpp>   // basic_stream_socket
#include <boost/asio/basic_waitable_timer.hpp>  // basic_waitable_timer
#include <boost/asio/io_context.hpp>            // io_context
#include <boost/asio/ip/tcp.hpp>                // tcp

#include <chrono>      // steady_clock
#include <string_view> // string_view

namespace parsleyshift
{

namespace asio = boost::asio;

// Sockets and timers with the concrete executor type: the type-erased any_io_executor costs an allocation and an
// indirect call per operation.
using executor = asio::io_context::executor_type;
using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, executor>;
using tcp_acceptor = asio::basic_socket_acceptor<asio::ip::tcp, executor>;
using steady_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, executor>;

/// @brief Parses "ip:port".
/// @param field name of the address in the error message
/// @return error invalid_field when the text is not an IP address and a port
result<asio::ip::tcp::endpoint> parse_address(std::string_view address, std::string_view field);

/// @brief Opens a listening socket with SO_REUSEADDR.
/// @param field name of the address in the error message
/// @return error invalid_field when the address is malformed or cannot be bound
result<void> listen_on(tcp_acceptor& acceptor, std::string_view address, std::string_view field);

} // namespace parsleyshift
