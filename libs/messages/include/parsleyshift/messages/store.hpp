#pragma once

#include <parsleyshift/core/ids.hpp>          // revision
#include <parsleyshift/messages/forward.hpp>  // forwarding_configuration
#include <parsleyshift/messages/platform.hpp> // listed_instance

#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace parsleyshift
{

/// @brief An item of a store that is read by prefix and watched.
struct store_item
{
    std::string key;
    std::string value;
    /// Revision of the item's last change.
    revision changed;

    friend bool operator==(const store_item&, const store_item&) = default;
};

/// @brief A part of a listing, in the order of the keys.
struct store_page
{
    std::vector<store_item> items;
    /// Further items follow the last key.
    bool more = false;
    /// Revision of the store when the page was read.
    revision as_of;
};

/// @brief A change of an item; without a value the item was removed.
struct store_change
{
    std::string key;
    std::optional<std::string> value;
    revision changed;
};

/// @brief The changes after a revision, in order.
struct store_changes
{
    std::vector<store_change> changes;
    /// Revision up to which all changes are named.
    revision as_of;
};

/// @brief What an item of the store means to forwarded requests.
using store_entry = std::variant<std::monostate, forwarding_configuration, listed_instance>;

} // namespace parsleyshift
