#pragma once

#include <parsleyshift/configuration/record_acceptor.hpp> // record_judgement
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

/// @brief Accepts exactly the records that parse_record reads.
struct parsing_acceptor
{
    record_judgement operator()(const raw_record& record) const;
};

/// @brief Identifies a record.
struct record_key
{
    std::string kind;
    std::string name;

    friend auto operator<=>(const record_key&, const record_key&) = default;
};

/// @brief The records in force as typed values.
class record_view
{
  public:
    /// @brief Takes a record newly in force or withdrawn.
    /// @return its kind
    record_kind apply(const raw_record& record);

    /// @brief Takes a record that does not come from the configuration service.
    void put(const record_body& body);

    [[nodiscard]] const service_record* service(const service_id& name) const;
    [[nodiscard]] const customer_record* customer(const customer_id& name) const;
    /// @brief The record of a class, or nullptr.
    [[nodiscard]] const priority_record* priority(const class_id& name) const;
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
    /// @brief The records as they were written, by kind and name.
    [[nodiscard]] const std::map<record_key, raw_record>& raw() const noexcept
    {
        return raw_;
    }
    /// @brief The part that placement depends on. Linear in the records.
    [[nodiscard]] placement_configuration placement() const;

  private:
    void remove(record_kind kind, const std::string& name);

    std::map<record_key, raw_record> raw_;
    std::unordered_map<service_id, service_record> services_;
    std::unordered_map<customer_id, customer_record> customers_;
    std::unordered_map<model_id, model_record> models_;
    std::unordered_map<class_id, priority_record> priorities_;
    fleet_record fleet_;
    revision latest_placement_;
};

} // namespace parsleyshift::detail
