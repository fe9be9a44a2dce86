#pragma once

#include <parsleyshift/client/client_connection.hpp> // client_connection
#include <parsleyshift/core/clock.hpp>               // duration, millisecond_clock

#include <string> // string
#include <thread> // sleep_for
#include <vector> // vector

namespace parsleyshift
{

/// @brief Transport for the class caller over HTTP. It keeps one connection open per address.
class http_transport
{
  public:
    /// @param operation_timeout time limit of each connect, write and read
    explicit http_transport(duration operation_timeout) : operation_timeout_(operation_timeout) {}

    result<client_response> call(const std::string& address, const client_request& request)
    {
        return connection(address).call(request);
    }
    result<client_response> stream(const std::string& address, const client_request& request, const body_sink& sink)
    {
        return connection(address).stream(request, sink);
    }
    static time_point now()
    {
        return millisecond_clock::now();
    }
    static void wait(duration delay)
    {
        std::this_thread::sleep_for(delay);
    }

  private:
    static constexpr std::size_t max_connections = 64;

    client_connection& connection(const std::string& address)
    {
        for (client_connection& existing : connections_)
        {
            if (existing.address() == address)
            {
                return existing;
            }
        }
        if (connections_.size() >= max_connections)
        {
            connections_.erase(connections_.begin());
        }
        return connections_.emplace_back(address, operation_timeout_);
    }

    duration operation_timeout_;
    std::vector<client_connection> connections_;
};

} // namespace parsleyshift
