#include <parsleyshift/routing/cold_endpoints.hpp> // cold_endpoints

#include <algorithm> // clamp, find, max, min
#include <utility>   // move

namespace parsleyshift
{
namespace
{

/// Time that a statement names, or the one of the service if it cannot be read; nothing if none is stated.
std::optional<duration> stated_time(const std::optional<duration>& left, const std::string& unreadable,
                                    const cold_start& service)
{
    if (!left && unreadable.empty())
    {
        return std::nullopt;
    }
    const duration unknown = service.lasts > duration{} ? service.lasts : cold_endpoints::unknown_time;
    return std::clamp(left.value_or(unknown), duration{}, cold_endpoints::max_time);
}

} // namespace

bool cold_endpoints::configure(const std::vector<forwarding_service>& services)
{
    std::unordered_map<service_id, paced_service> configured;
    bool changed = false;
    for (const forwarding_service& service : services)
    {
        if (service.cold.starts_per_second > 0.0)
        {
            const paced_service* known = find(service.name);
            changed = changed || known == nullptr || known->settings != service.cold;
            configured.emplace(service.name, paced_service{service.cold, known != nullptr && known->listed});
        }
    }
    changed = changed || configured.size() != services_.size();
    services_ = std::move(configured);
    return changed;
}

const cold_endpoints::paced_service* cold_endpoints::find(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

void cold_endpoints::end_list()
{
    for (auto& [name, service] : services_)
    {
        service.listed = true;
    }
}

cold_endpoints::known_process* cold_endpoints::find_or_replace(const endpoint_id& endpoint, incarnation process)
{
    const auto [found, is_new] = processes_.try_emplace(endpoint, known_process{process});
    known_process& known = found->second;
    if (is_new || known.process == process)
    {
        return &known;
    }
    if (process < known.process)
    {
        return nullptr;
    }
    cold_count_ -= known.cold ? 1 : 0;
    known = known_process{process};
    return &known;
}

cold_endpoints::change cold_endpoints::set(const endpoint_id& endpoint, known_process& known, time_point until,
                                           bool from_answer, time_point now)
{
    const bool is_cold = now < until;
    const bool is_extended = known.cold && is_cold && until > known.until + marked_extension;
    const bool begins = is_cold && !known.cold;
    const bool ends = !is_cold && known.cold;
    known.until = until;
    known.as_of = now;
    known.from_answer = from_answer;
    known.cold = is_cold;
    cold_count_ += begins ? 1 : 0;
    cold_count_ -= ends ? 1 : 0;
    next_end_ = is_cold ? std::min(next_end_, until) : next_end_;
    if (begins || is_extended)
    {
        std::erase_if(recent_,
                      [&](const learned& each) { return each.endpoint == endpoint || now - each.when >= notice_time; });
        recent_.push_back({now, endpoint});
        return change::cold;
    }
    return ends ? change::warm : change::none;
}

cold_endpoints::change cold_endpoints::record_listed(const listed_instance& row, time_point now)
{
    const paced_service* service = find(row.service);
    if (service == nullptr)
    {
        return change::none;
    }
    const endpoint_id endpoint{row.id};
    const auto before = processes_.find(endpoint);
    const bool appears = before == processes_.end() || before->second.process < row.started;
    known_process* known = find_or_replace(endpoint, row.started);
    if (known == nullptr)
    {
        return change::none;
    }
    std::optional<duration> left = stated_time(row.cold_left, row.cold_unreadable, service->settings);
    time_point counted_from = row.cold_as_of;
    if (!left)
    {
        if (!appears || !service->listed)
        {
            return change::none;
        }
        left = std::min(service->settings.lasts, max_time);
        counted_from = now;
    }
    const time_point until = *left > duration{} ? counted_from + *left : time_point::min();
    const bool is_later = until > known->until || (!known->from_answer && until != known->until);
    return is_later ? set(endpoint, *known, until, false, now) : change::none;
}

cold_endpoints::change cold_endpoints::record_answer(const endpoint_id& endpoint, const service_id& service,
                                                     incarnation process, const endpoint_statement& stated,
                                                     time_point sent, time_point now)
{
    const paced_service* paced = find(service);
    const std::optional<duration> left =
        paced == nullptr ? std::nullopt : stated_time(stated.cold_left, stated.cold_unreadable, paced->settings);
    known_process* known = left ? find_or_replace(endpoint, process) : nullptr;
    if (known == nullptr)
    {
        return change::none;
    }
    const time_point until = *left > duration{} ? now + *left : time_point::min();
    const bool is_later = until > known->until || (until < known->until && sent > known->as_of);
    return is_later ? set(endpoint, *known, until, true, now) : change::none;
}

cold_endpoints::change cold_endpoints::merge(const endpoint_notice& notice, time_point now)
{
    if (notice.cold_left <= duration{})
    {
        return change::none;
    }
    known_process* known = find_or_replace(notice.endpoint, notice.started);
    const time_point until = now + std::min(notice.cold_left, max_time);
    // Each hop adds its delay to the end of the cold time, also of one that is over here. Without a threshold,
    // instances would extend or renew it for each other for ever, and spread each change.
    if (known == nullptr || until <= known->until + notice_tolerance)
    {
        return change::none;
    }
    return set(notice.endpoint, *known, until, true, now);
}

std::optional<double> cold_endpoints::starts_per_second(const endpoint_id& endpoint, const service_id& service,
                                                        incarnation process, time_point now) const
{
    if (cold_count_ == 0)
    {
        return std::nullopt;
    }
    const paced_service* paced = find(service);
    const auto found = processes_.find(endpoint);
    // A later process than the listed one may already use the address.
    const bool is_cold = found != processes_.end() && found->second.process >= process && now < found->second.until;
    return paced != nullptr && is_cold ? std::optional{paced->settings.starts_per_second} : std::nullopt;
}

duration cold_endpoints::left(const endpoint_id& endpoint, time_point now) const
{
    const auto found = processes_.find(endpoint);
    return found != processes_.end() && now < found->second.until ? found->second.until - now : duration{};
}

void cold_endpoints::add_to(endpoint_notice& notice, time_point now) const
{
    const auto found = processes_.find(notice.endpoint);
    const bool is_cold = found != processes_.end() && now < found->second.until;
    if (is_cold && (!notice.leaving || notice.started == found->second.process))
    {
        notice.cold_left = found->second.until - now;
        notice.started = found->second.process;
    }
}

std::vector<endpoint_id> cold_endpoints::recent(time_point now) const
{
    std::vector<endpoint_id> endpoints;
    for (auto each = recent_.rbegin(); each != recent_.rend() && endpoints.size() < max_notices; ++each)
    {
        if (now - each->when < notice_time && left(each->endpoint, now) > duration{})
        {
            endpoints.push_back(each->endpoint);
        }
    }
    return endpoints;
}

std::vector<endpoint_id> cold_endpoints::take_warm(time_point now)
{
    std::vector<endpoint_id> warm;
    if (now < next_end_)
    {
        return warm;
    }
    next_end_ = never;
    for (auto& [endpoint, known] : processes_)
    {
        if (known.cold && known.until <= now)
        {
            known.cold = false;
            --cold_count_;
            warm.push_back(endpoint);
        }
        next_end_ = known.cold ? std::min(next_end_, known.until) : next_end_;
    }
    return warm;
}

void cold_endpoints::purge(const std::function<bool(const endpoint_id&)>& is_listed)
{
    std::erase_if(processes_, [&](const auto& each) { return !each.second.cold && !is_listed(each.first); });
}

} // namespace parsleyshift
