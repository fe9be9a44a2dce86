#pragma once

#include <parsleyshift/configuration/record_acceptor.hpp> // record_check_result
#include <parsleyshift/messages/platform.hpp>             // raw_record
#include <parsleyshift/placement/inputs.hpp>              // placement_configuration
#include <parsleyshift/records/parse_record.hpp>          // record_kind
#include <parsleyshift/records/record.hpp>                // service_record

#include <map>           // map
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // pair

namespace parsleyshift::detail
{

/// @brief Acceptor of the configuration store that accepts exactly the records that parse_record can parse.
struct parsing_acceptor
{
    /// @return accepted, or the error and whether the record is invalid or has a schema newer than this process
    /// supports
    record_check_result operator()(const raw_record& record) const;
};

/// @brief Kind and name, which together identify a record.
struct record_key
{
    std::string kind;
    std::string name;

    friend auto operator<=>(const record_key&, const record_key&) = default;
};

/// @brief The active configuration records, parsed into their types.
class record_view
{
  public:
    /// @brief Adds or replaces a record that became active, or removes one that is marked `withdrawn`. A body that
    /// cannot be parsed changes nothing.
    /// @return kind of the record
    record_kind apply(const raw_record& record);

    /// @brief Adds or replaces a record that does not come from the configuration service; raw() does not contain it.
    void put(const record_body& body);

    /// @brief The record of a service, or nullptr.
    [[nodiscard]] const service_record* service(const service_id& name) const;
    /// @brief The record of a customer, or nullptr.
    [[nodiscard]] const customer_record* customer(const customer_id& name) const;
    /// @brief The priority record of a work class, or nullptr.
    [[nodiscard]] const priority_record* priority(const class_id& name) const;
    /// @brief The fleet record; default values while there is none.
    [[nodiscard]] const fleet_record& fleet() const noexcept
    {
        return fleet_;
    }
    [[nodiscard]] const std::unordered_map<customer_id, customer_record>& customers() const noexcept
    {
        return customers_;
    }
    [[nodiscard]] const std::unordered_map<class_id, priority_record>& priorities() const noexcept
    {
        return priorities_;
    }
    /// @brief The records of the configuration service in unparsed form, ordered by kind and name.
    [[nodiscard]] const std::map<record_key, raw_record>& raw() const noexcept
    {
        return raw_;
    }
    /// @brief The records that model placement depends on. Linear in the number of records.
    [[nodiscard]] placement_configuration placement() const;

  private:
    void remove(record_kind kind, const std::string& name);

    std::map<record_key, raw_record> raw_;
    std::unordered_map<service_id, service_record> services_;
    std::unordered_map<customer_id, customer_record> customers_;
    std::unordered_map<model_id, model_record> models_;
    std::unordered_map<class_id, priority_record> priorities_;
    fleet_record fleet_;
    /// Latest revision of a record that placement depends on, including removed ones.
    revision latest_placement_;
};

} // namespace parsleyshift::detail
