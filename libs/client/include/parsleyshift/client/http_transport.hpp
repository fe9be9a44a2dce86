#pragma once

#include <parsleyshift/client/client_connection.hpp> // client_connection
#include <parsleyshift/core/clock.hpp>               // duration, millisecond_clock

#include <string> // string
#include <thread> // sleep_for
#include <vector> // vector

namespace parsleyshift
{

/// @brief Transport over HTTP that keeps one connection open for each address.
class http_transport
{
  public:
    /// @param stall longest time without any progress
    explicit http_transport(duration stall) : stall_(stall) {}

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
    static void wait(duration time)
    {
        std::this_thread::sleep_for(time);
    }

  private:
    static constexpr std::size_t max_connections = 64;

    client_connection& connection(const std::string& address)
    {
        for (client_connection& open : open_)
        {
            if (open.address() == address)
            {
                return open;
            }
        }
        if (open_.size() >= max_connections)
        {
            open_.erase(open_.begin());
        }
        return open_.emplace_back(address, stall_);
    }

    duration stall_;
    std::vector<client_connection> open_;
};

} // namespace parsleyshift
