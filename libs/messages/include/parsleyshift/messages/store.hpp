#pragma once

#include <parsleyshift/core/clock.hpp>        // duration
#include <parsleyshift/core/ids.hpp>          // revision
#include <parsleyshift/core/name_table.hpp>   // enum_names
#include <parsleyshift/messages/forward.hpp>  // forwarding_configuration
#include <parsleyshift/messages/platform.hpp> // listed_instance

#include <array>    // array
#include <cstddef>  // size_t
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
    /// Era of all revisions in this message.
    source_era era{};
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
    /// Era of all revisions in this message.
    source_era era{};
};

/// @brief A zone that the operators evacuate.
struct evacuated_zone
{
    zone_id zone;
    /// Why the item's value could not be read; empty if it could.
    std::string unreadable{};
};

/// @brief Parsed content of an item of the configuration service; std::monostate for items that do not concern
/// forwarded requests.
using store_entry = std::variant<std::monostate, forwarding_configuration, listed_instance, evacuated_zone>;

/// @brief Where an instance reads the items of the configuration service from.
enum class store_read_source
{
    store,
    peer,
};

template <>
struct enum_names<store_read_source>
{
    static constexpr std::array rows{enum_name<store_read_source>{store_read_source::store, "store"},
                                     enum_name<store_read_source>{store_read_source::peer, "peer"}};
};

/// @brief How a read of the configuration service ended.
enum class store_read_result
{
    complete,
    /// No complete response in time.
    no_response,
    /// The source answered that it cannot provide the items.
    refused,
    /// The response cannot be decoded.
    malformed,
};

template <>
struct enum_names<store_read_result>
{
    static constexpr std::array rows{enum_name<store_read_result>{store_read_result::complete, "complete"},
                                     enum_name<store_read_result>{store_read_result::no_response, "no_response"},
                                     enum_name<store_read_result>{store_read_result::refused, "refused"},
                                     enum_name<store_read_result>{store_read_result::malformed, "malformed"}};
};

/// @brief A read of the configuration service that has ended, for logs and metrics.
struct store_read
{
    store_read_source source = store_read_source::store;
    store_read_result result = store_read_result::complete;
    /// What was read and from whom.
    std::string request;
    /// Size of the response, or of its part that arrived.
    std::size_t bytes = 0;
    duration elapsed{};
    /// Reason of a failure.
    std::string reason;
};

} // namespace parsleyshift
