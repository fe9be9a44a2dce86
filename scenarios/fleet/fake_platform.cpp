// The platform of a fake fleet: the configuration service and the list of instances.

#include "fake_fleet.hpp" // fake_fleet

#include <algorithm> // any_of, for_each
#include <utility>   // exchange

namespace parsleyshift::scenarios
{
namespace
{

constexpr duration service_delay{5};

} // namespace

std::vector<listed_instance> fake_fleet::current_list() const
{
    std::vector<listed_instance> list;
    for (const auto& [name, known] : instances_)
    {
        if (known.core != nullptr)
        {
            list.push_back({name,
                            instance_role::entry,
                            {},
                            "callers:" + name,
                            peer_address_of(name),
                            zone_id{known.settings.availability_zone},
                            region_id{known.settings.region},
                            false});
        }
    }
    for (const auto& [name, known] : endpoints_)
    {
        const auto& settings = known->settings();
        if (known->alive())
        {
            list.push_back({name,
                            settings.engine ? instance_role::engine : instance_role::plain,
                            service_id{settings.service},
                            "endpoint:" + name,
                            {},
                            zone_id{settings.availability_zone},
                            region_id{settings.region},
                            known->leaving()});
        }
    }
    return list;
}

void fake_fleet::read(instance& from, const read_configuration& asked)
{
    ++configuration_calls_;
    const std::string name = from.settings.name;
    if (is_cut(name, "configuration"))
    {
        later(silence_timeout, [this, name, own = from.incarnation] { feed(name, own, configuration_unavailable{}); });
        return;
    }
    watches_.push_back({name, from.incarnation, asked.after, now_ + asked.wait});
    later(service_delay, [this] { answer_watches(); });
    later(asked.wait + service_delay, [this] { answer_watches(); });
}

void fake_fleet::answer_watches()
{
    // Feeding an answer can add watches, so the list is taken first.
    const std::vector<watch> taken = std::exchange(watches_, {});
    for (const auto& known : taken)
    {
        const auto answer = changes_after(known.after);
        if (answer.records.empty() && known.until > now_)
        {
            watches_.push_back(known);
            continue;
        }
        feed(known.instance, known.incarnation, answer);
    }
}

configuration_received fake_fleet::changes_after(revision after) const
{
    configuration_received answer;
    answer.complete = after == revision{};
    answer.highest_revision = stale_ ? stale_highest_ : highest_;
    const auto add = [&](const raw_record& record)
    {
        if (record.changed > after)
        {
            answer.records.push_back(record);
        }
    };
    if (stale_)
    {
        std::for_each(stale_records_.begin(), stale_records_.end(), add);
        return answer;
    }
    for (const auto& [key, record] : records_)
    {
        add(record);
    }
    return answer;
}

void fake_fleet::write_record(const std::string& kind, const std::string& name, int schema, const std::string& body)
{
    highest_ = highest_.next();
    records_[kind + "/" + name] = {kind, name, highest_, schema, false, body};
    later(service_delay, [this] { answer_watches(); });
}

void fake_fleet::withdraw_record(const std::string& kind, const std::string& name)
{
    highest_ = highest_.next();
    raw_record& record = records_[kind + "/" + name];
    record.kind = kind;
    record.name = name;
    record.changed = highest_;
    record.withdrawn = true;
    record.body.clear();
    later(service_delay, [this] { answer_watches(); });
}

void fake_fleet::set_stale_configuration(bool stale)
{
    stale_ = stale;
    stale_highest_ = highest_;
    stale_records_.clear();
    for (const auto& [key, record] : records_)
    {
        stale_records_.push_back(record);
    }
}

void fake_fleet::set_list_lag(duration lag)
{
    list_lag_ = lag;
}

} // namespace parsleyshift::scenarios
