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

/// @brief A key and its value in the configuration service, which is listed by prefix and watched for changes.
struct store_item
{
    std::string key;
    std::string value;
    /// Revision of the last change of the item.
    revision changed;

    friend bool operator==(const store_item&, const store_item&) = default;
};

/// @brief One page of a listing, sorted by key.
struct store_page
{
    std::vector<store_item> items;
    /// There are more items after the last key of the page.
    bool more = false;
    /// Revision of the configuration service when the page was read.
    revision at_revision;
};

/// @brief A change of an item; `value` is empty if the item was removed.
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
    /// Revision up to which the changes are complete.
    revision at_revision;
};

/// @brief Parsed content of an item of the configuration service; std::monostate for items that do not concern
/// forwarded requests.
using store_entry = std::variant<std::monostate, forwarding_configuration, listed_instance>;

} // namespace parsleyshift
