#include <parsleyshift/records/check_records.hpp> // check_records

#include <parsleyshift/records/parse_record.hpp> // parse_record_with_issues

#include <algorithm> // find
#include <array>     // array
#include <cstddef>   // size_t
#include <set>       // set
#include <string>    // string, to_string
#include <utility>   // move
#include <variant>   // get_if
#include <vector>    // vector

namespace parsleyshift
{
namespace
{

/// Validates each record, then checks the references between the valid ones.
class record_checker
{
  public:
    std::vector<record_finding> check(const std::vector<raw_record>& records)
    {
        for (const raw_record& raw : records)
        {
            validate(raw);
        }
        for (const record_body& body : valid_records_)
        {
            check_references(body);
        }
        check_fleet();
        return std::move(findings_);
    }

  private:
    void validate(const raw_record& raw)
    {
        if (raw.withdrawn)
        {
            return;
        }
        auto body = parse_record_with_issues(raw);
        if (!body)
        {
            for (const json_issue& issue : body.error().all())
            {
                findings_.push_back({raw.kind, raw.name, severity::error, issue});
            }
            return;
        }
        if (!valid_names_[static_cast<std::size_t>(kind_of(body.value()))].insert(raw.name).second)
        {
            findings_.push_back({raw.kind,
                                 raw.name,
                                 severity::warning,
                                 {"name", "is used by two records of this kind", "remove one of them"}});
        }
        valid_records_.push_back(std::move(body).value());
    }
    [[nodiscard]] bool is_defined(record_kind kind, const std::string& name) const
    {
        return valid_names_[static_cast<std::size_t>(kind)].count(name) != 0;
    }
    void warn(record_kind kind, const std::string& name, std::string path, std::string reason, std::string remedy)
    {
        findings_.push_back({std::string{name_of(kind)},
                             name,
                             severity::warning,
                             {std::move(path), std::move(reason), std::move(remedy)}});
    }
    void check_references(const record_body& body)
    {
        if (const auto* service = std::get_if<service_record>(&body))
        {
            check_service(*service);
        }
        else if (const auto* model = std::get_if<model_record>(&body))
        {
            check_model(*model);
        }
    }
    void check_service(const service_record& service)
    {
        const std::string& name = service.name.value();
        if (!is_defined(record_kind::priority, service.default_class.value()))
        {
            warn(record_kind::service, name, "default_class",
                 "refers to the class " + service.default_class.value() + ", which no record defines",
                 "add the priority record");
        }
        for (std::size_t index = 0; index < service.models.size(); ++index)
        {
            const std::string& model = service.models[index].value();
            if (!is_defined(record_kind::model, model))
            {
                warn(record_kind::service, name, "models[" + std::to_string(index) + "]",
                     "refers to the model " + model + ", which no record defines", "add the model record");
            }
        }
        if (service.kind == service_kind::engine && service.models.empty())
        {
            warn(record_kind::service, name, "models", "is empty, so no request can run", "list a model");
        }
        if (service.kind == service_kind::plain && service.operations.empty())
        {
            warn(record_kind::service, name, "operations", "is empty, so no call can run", "list an operation");
        }
        check_shares(service);
    }
    void check_shares(const service_record& service)
    {
        double total_share = 0;
        bool has_models = false;
        for (const record_body& body : valid_records_)
        {
            const auto* model = std::get_if<model_record>(&body);
            if (model != nullptr && model->service == service.name)
            {
                has_models = true;
                total_share += model->share;
            }
        }
        if (has_models && total_share <= 0)
        {
            warn(record_kind::service, service.name.value(), "models", "have shares that add up to 0",
                 "give at least one model of the service a share above 0");
        }
    }
    void check_model(const model_record& model)
    {
        const std::string& name = model.name.value();
        const service_record* service = find_service(model.service);
        if (service == nullptr)
        {
            warn(record_kind::model, name, "service",
                 "refers to the service " + model.service.value() + ", which no record defines",
                 "add the service record");
            return;
        }
        const auto& models = service->models;
        if (std::find(models.begin(), models.end(), model.name) == models.end())
        {
            warn(record_kind::model, name, "service", "refers to a service that does not list the model",
                 "add the model to the service's models");
        }
    }
    [[nodiscard]] const service_record* find_service(const service_id& name) const
    {
        for (const record_body& body : valid_records_)
        {
            const auto* service = std::get_if<service_record>(&body);
            if (service != nullptr && service->name == name)
            {
                return service;
            }
        }
        return nullptr;
    }
    void check_fleet()
    {
        if (!is_defined(record_kind::fleet, std::string{fleet_record_name}))
        {
            warn(record_kind::fleet, std::string{fleet_record_name}, "",
                 "is missing; entry lookups use the default entry slots and shard size", "add the fleet record");
        }
    }

    std::vector<record_body> valid_records_;
    // Names of the valid records, by record_kind.
    std::array<std::set<std::string>, enum_names<record_kind>::rows.size()> valid_names_;
    std::vector<record_finding> findings_;
};

} // namespace

std::vector<record_finding> check_records(const std::vector<raw_record>& records)
{
    return record_checker{}.check(records);
}

} // namespace parsleyshift
