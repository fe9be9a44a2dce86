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

/// @brief The customer that a key belongs to, and its priority.
struct key_holder
{
    customer_id customer;
    /// Overrides the route's priority.
    std::optional<int> priority;
    /// Regions in which the customer's requests may be served.
    region_set regions{};
};

/// @brief Lookup tables for one version of the configuration of forwarded requests.
class route_index
{
  public:
    route_index() = default;
    /// @brief Indexes a configuration. Of two routes with the same host and prefix, of two customers with the same key
    /// and of two services with the same name, the first is used. O(routes + keys + services).
    explicit route_index(forwarding_configuration configuration);

    /// @brief The route of the host with the longest prefix of the path, or nullptr. Host names are compared without
    /// case and port. O(slashes in the path).
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    /// @brief The holder of a key, or nullptr. O(1) on average.
    [[nodiscard]] const key_holder* holder_of(const std::string& key) const;
    /// @brief Draws a random target of a route, with probabilities in proportion to the weights. O(targets).
    /// @return nullptr for a route without targets
    [[nodiscard]] static const route_target* draw(const route& from, random_source& random);
    /// @brief The service with the name, or nullptr. O(1) on average.
    [[nodiscard]] const forwarding_service* service(const service_id& name) const;
    /// @brief The indexed configuration.
    [[nodiscard]] const forwarding_configuration& configuration() const noexcept
    {
        return configuration_;
    }
    /// @brief True when the configuration lists customers, so that requests need the key of one. The list may be
    /// empty; then no key is accepted.
    [[nodiscard]] bool requires_key() const noexcept
    {
        return configuration_.customers.has_value();
    }

  private:
    forwarding_configuration configuration_;
    /// Indexes into configuration_.routes by lower-case host and path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host_;
    std::unordered_map<std::string, key_holder> by_key_;
    /// Indexes into configuration_.services.
    std::unordered_map<service_id, std::size_t> services_;
};

} // namespace parsleyshift
