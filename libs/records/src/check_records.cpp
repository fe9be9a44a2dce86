#include <parsleyshift/records/check_records.hpp> // check_records

#include <parsleyshift/records/parse_record.hpp> // inspect_record

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

/// Collects the accepted records first, then checks the references between them.
class record_checker
{
  public:
    std::vector<record_finding> run(const std::vector<raw_record>& records)
    {
        for (const raw_record& raw : records)
        {
            read(raw);
        }
        for (const record_body& body : accepted_)
        {
            check(body);
        }
        check_fleet();
        return std::move(findings_);
    }

  private:
    void read(const raw_record& raw)
    {
        if (raw.withdrawn)
        {
            return;
        }
        auto body = inspect_record(raw);
        if (!body)
        {
            for (const json_issue& issue : body.error().all())
            {
                findings_.push_back({raw.kind, raw.name, severity::error, issue});
            }
            return;
        }
        if (!names_[static_cast<std::size_t>(kind_of(body.value()))].insert(raw.name).second)
        {
            findings_.push_back({raw.kind,
                                 raw.name,
                                 severity::warning,
                                 {"name", "is used by two records of this kind", "remove one of them"}});
        }
        accepted_.push_back(std::move(body).value());
    }
    [[nodiscard]] bool knows(record_kind kind, const std::string& name) const
    {
        return names_[static_cast<std::size_t>(kind)].count(name) != 0;
    }
    void warn(record_kind kind, const std::string& name, std::string path, std::string reason, std::string remedy)
    {
        findings_.push_back({std::string{name_of(kind)},
                             name,
                             severity::warning,
                             {std::move(path), std::move(reason), std::move(remedy)}});
    }
    void check(const record_body& body)
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
        if (!knows(record_kind::priority, service.default_class.value()))
        {
            warn(record_kind::service, name, "default_class",
                 "names the class " + service.default_class.value() + ", which no record defines",
                 "write the priority record");
        }
        for (std::size_t index = 0; index < service.models.size(); ++index)
        {
            const std::string& model = service.models[index].value();
            if (!knows(record_kind::model, model))
            {
                warn(record_kind::service, name, "models[" + std::to_string(index) + "]",
                     "names the model " + model + ", which no record defines", "write the model record");
            }
        }
        if (service.kind == service_kind::engine && service.models.empty())
        {
            warn(record_kind::service, name, "models", "is empty, so that no request can run", "list a model");
        }
        if (service.kind == service_kind::plain && service.operations.empty())
        {
            warn(record_kind::service, name, "operations", "is empty, so that no call can run", "list an operation");
        }
        check_shares(service);
    }
    void check_shares(const service_record& service)
    {
        double total = 0;
        bool listed = false;
        for (const record_body& body : accepted_)
        {
            const auto* model = std::get_if<model_record>(&body);
            if (model != nullptr && model->service == service.name)
            {
                listed = true;
                total += model->share;
            }
        }
        if (listed && total <= 0)
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
                 "names the service " + model.service.value() + ", which no record defines",
                 "write the service record");
            return;
        }
        const auto& listed = service->models;
        if (std::find(listed.begin(), listed.end(), model.name) == listed.end())
        {
            warn(record_kind::model, name, "service", "names a service that does not list the model",
                 "add the model to the service's models");
        }
    }
    [[nodiscard]] const service_record* find_service(const service_id& name) const
    {
        for (const record_body& body : accepted_)
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
        if (!knows(record_kind::fleet, std::string{fleet_record_name}))
        {
            warn(record_kind::fleet, std::string{fleet_record_name}, "", "is missing; entry answers use the defaults",
                 "write the fleet record");
        }
    }

    std::vector<record_body> accepted_;
    std::array<std::set<std::string>, enum_names<record_kind>::rows.size()> names_;
    std::vector<record_finding> findings_;
};

} // namespace

std::vector<record_finding> check_records(const std::vector<raw_record>& records)
{
    return record_checker{}.run(records);
}

} // namespace parsleyshift
