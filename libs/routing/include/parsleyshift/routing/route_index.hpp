#pragma once

#include <parsleyshift/core/random_source.hpp> // random_source
#include <parsleyshift/messages/forward.hpp>   // forwarding_configuration

#include <cstddef>       // size_t
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief A customer as its key identifies it.
struct key_holder
{
    customer_id customer;
    /// Takes precedence over the route's priority.
    std::optional<int> priority;
};

/// @brief One version of the configuration of forwarded requests, with the look-ups that requests need.
class route_index
{
  public:
    route_index() = default;
    /// @brief Indexes a configuration. Of two routes with the same host and prefix, and of two customers with the same
    /// key, the first counts. O(routes + keys).
    explicit route_index(forwarding_configuration configuration);

    /// @brief The route of a host whose prefix begins the path and is the longest, or nullptr. Host names are compared
    /// without regard to case and port. O(slashes in the path).
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    /// @brief The holder of a key, or nullptr. O(1) on average.
    [[nodiscard]] const key_holder* holder_of(const std::string& key) const;
    /// @brief Draws a target of a route by weight. @return nullptr for a route without a target
    [[nodiscard]] static const route_target* draw(const route& from, random_source& random);
    /// @brief A service, or nullptr. O(1) on average.
    [[nodiscard]] const forwarding_service* service(const service_id& name) const;
    [[nodiscard]] const forwarding_configuration& configuration() const noexcept
    {
        return configuration_;
    }
    /// @brief True when requests need keys.
    [[nodiscard]] bool has_customers() const noexcept
    {
        return !configuration_.customers.empty();
    }

  private:
    forwarding_configuration configuration_;
    /// Positions of the routes by lower-case host and prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host_;
    std::unordered_map<std::string, key_holder> by_key_;
    std::unordered_map<service_id, std::size_t> services_;
};

} // namespace parsleyshift
